#include "decide/testing/smallcell.h"

#include <gtest/gtest.h>

namespace fescuesill
{

// Leaves one piece free of eight.
static void fillAllButOne(CellScheduler &cell)
{
    for (int i = 0; i < 7; ++i) {
        cell.adopt({request("held" + std::to_string(i)), EngineId(i < 4 ? "d1" : "d2"), Tokens(10)}, Instant(1s));
    }
}

// A long request is placed again after its engine failed and finds the memory nearly full. It is the head of the queue
// and waits; urgent requests behind it, which need only the piece that is free, are placed meanwhile. After twenty of
// them only the head may be placed, so the long request does not starve.
TEST(Placing, UrgentRequestsPassAHeadThatCannotBePlaced)
{
    auto cell = smallCell();
    PlaceRequest large = request("large", 2, 20s);
    large.requestClass.patience = 20s;
    large.prompt = Tokens(4000);
    large.arrival = Instant(1s);
    cell.submit(large, Instant(1s));
    ASSERT_EQ(only<Place>(cell.poll(Instant(1s))).size(), 1U);
    fillAllButOne(cell);
    cell.onPrefillFailed(RequestId("large"), PrefillFault::QueueFull, Instant(1s));
    EXPECT_TRUE(only<Place>(cell.poll(Instant(1s))).empty());
    int passed = 0;
    for (int i = 0; i < 30; ++i) {
        PlaceRequest urgent = request("urgent" + std::to_string(i), 0, 550ms);
        urgent.arrival = Instant(1s);
        cell.submit(urgent, Instant(1s));
        for (const Place &place : only<Place>(cell.poll(Instant(1s)))) {
            EXPECT_EQ(place.request, urgent.request);
            cell.onCancelled(place.request, Instant(1s));
            ++passed;
        }
        cell.onCancelled(urgent.request, Instant(1s));
    }
    EXPECT_EQ(passed, 20);
}

// The last free piece is promised to a patient request in prefill when an urgent one arrives. The urgent one is
// prefilled as well and gets the piece; the patient one waits for the next.
TEST(Placing, UrgentRequestsTakePiecesPromisedToPatientOnes)
{
    auto cell = smallCell();
    fillAllButOne(cell);
    for (const char *name : {"patient", "urgent"}) {
        PlaceRequest place = request(name, name[0] == 'u' ? 0 : 2, 550ms);
        place.arrival = Instant(1s);
        cell.submit(place, Instant(1s));
        EXPECT_EQ(only<Place>(cell.poll(Instant(1s))).size(), 1U) << name;
    }
    cell.onPrefillDone(RequestId("patient"), {Tokens(1000), Tokens(0), 800ms}, Instant(1100ms));
    cell.onPrefillDone(RequestId("urgent"), {Tokens(1000), Tokens(0), 800ms}, Instant(1100ms));
    const auto starts = only<StartDecode>(cell.poll(Instant(1100ms)));
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts.front().request, RequestId("urgent"));
}

// Three transfers share a link. A fourth interactive one waits for one of them to end. An urgent one starts
// immediately, since waiting costs it more than sharing.
TEST(Placing, UrgentResultsNeverWaitForALink)
{
    auto cell = CellScheduler::create({}).value();
    EngineSpec prefillEngine = engine("p1", Pool::Prefill);
    EngineSpec decodeEngine = engine("d1", Pool::Decode);
    decodeEngine.memory = Pieces(40);
    cell.setEngines({prefillEngine, decodeEngine}, Instant(1s));
    Instant now(1s);
    std::vector<std::string> started;
    for (const char *name : {"live1", "live2", "live3", "live4", "urgent"}) {
        PlaceRequest place = request(name, name[0] == 'u' ? 0 : 1, 800ms);
        place.arrival = now;
        cell.submit(place, now);
        const auto places = only<Place>(cell.poll(now));
        ASSERT_EQ(places.size(), 1U) << name;
        cell.onPrefillDone(place.request, {Tokens(1000), Tokens(0), 800ms}, now);
        const bool isStarted = places.front().decodeReady || !only<StartDecode>(cell.poll(now)).empty();
        EXPECT_EQ(isStarted, place.request != RequestId("live4")) << name;
        now += 1ms;
    }
}

// A transfer of 160 ms has ended, but that is reported only with the first token, a step or two later. When patient
// results on the same link waited for the report, links at two thirds of their rate delayed the whole cell.
TEST(Placing, PatientResultsWaitForTheTransferAndNotForItsToken)
{
    auto cell = CellScheduler::create({}).value();
    EngineSpec decodeEngine = engine("d1", Pool::Decode);
    decodeEngine.memory = Pieces(40);
    cell.setEngines({engine("p1", Pool::Prefill), decodeEngine}, Instant(1s));
    Instant now(1s);
    for (const char *name : {"first", "second"}) {
        PlaceRequest place = request(name, 2, 5s);
        place.prompt = Tokens(name[0] == 'f' ? 4000 : 1000);
        place.arrival = now;
        cell.submit(place, now);
        ASSERT_EQ(only<Place>(cell.poll(now)).size(), 1U) << name;
        cell.onPrefillDone(place.request, {Tokens(1000), Tokens(0), 800ms}, now);
    }
    EXPECT_TRUE(only<StartDecode>(cell.poll(now + 150ms)).empty());
    const auto starts = only<StartDecode>(cell.poll(now + 170ms));
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts.front().request, RequestId("second"));
}

static std::vector<CacheEvent> addedEvents(const std::vector<PrefixHash> &prefix)
{
    std::vector<CacheEvent> events;
    events.reserve(prefix.size());
    for (const PrefixHash hash : prefix) {
        events.push_back({CacheEvent::Kind::Added, hash});
    }
    return events;
}

static std::vector<PrefixHash> blocks(std::uint64_t count)
{
    std::vector<PrefixHash> prefix;
    for (std::uint64_t block = 1; block <= count; ++block) {
        prefix.push_back(PrefixHash{block});
    }
    return prefix;
}

// An interactive request has a prompt of 4,000 tokens, whose full prefill would miss the target, but all engines hold
// nearly all of it. Judged by its whole length it was placed after patient work.
TEST(Placing, AReusedPrefixDoesNotCountAsPrefill)
{
    auto cell = smallCell();
    cell.setEngines({engine("p1", Pool::Prefill), engine("d1", Pool::Decode)}, Instant(1s));
    cell.onCacheEvents(EngineId("p1"), addedEvents(blocks(15)), false);
    PlaceRequest first = request("first", 1, 5s);
    first.arrival = Instant(1s);
    cell.submit(first, Instant(1s));
    ASSERT_EQ(only<Place>(cell.poll(Instant(1s))).size(), 1U);
    PlaceRequest patient = request("patient", 2, 5s);
    patient.arrival = Instant(1s);
    PlaceRequest live = request("live", 1, 400ms);
    live.arrival = Instant(1s);
    live.prompt = Tokens(4000);
    live.prefix = blocks(15);
    cell.submit(patient, Instant(1s));
    cell.submit(live, Instant(1s));
    cell.onPrefillDone(RequestId("first"), {Tokens(1000), Tokens(0), 800ms}, Instant(1080ms));
    const auto places = only<Place>(cell.poll(Instant(1080ms)));
    ASSERT_FALSE(places.empty());
    EXPECT_EQ(places.front().request, RequestId("live"));
}

// One engine holds the prefix of an interactive request, but four transfers share its link. Computing the whole prompt
// on the other engine is faster.
TEST(Placing, AnInteractiveRequestAvoidsABusyLink)
{
    CellScheduler::Options options;
    options.transferPerToken = 20us;
    auto cell = CellScheduler::create(options).value();
    EngineSpec decodeEngine = engine("d1", Pool::Decode);
    decodeEngine.memory = Pieces(60);
    cell.setEngines({engine("p1", Pool::Prefill), decodeEngine}, Instant(1s));
    for (int i = 0; i < 4; ++i) {
        PlaceRequest other = request(std::to_string(i), 0, 5s);
        other.prompt = Tokens(4000);
        other.arrival = Instant(1s);
        cell.submit(other, Instant(1s));
        ASSERT_EQ(only<Place>(cell.poll(Instant(1s))).size(), 1U);
        cell.onPrefillDone(other.request, {Tokens(4000), Tokens(0), 800ms}, Instant(1s));
        cell.poll(Instant(1s));
    }
    cell.setEngines({engine("p1", Pool::Prefill), engine("p2", Pool::Prefill), decodeEngine}, Instant(1s));
    cell.onCacheEvents(EngineId("p1"), addedEvents(blocks(3)), false);
    PlaceRequest live = request("live", 1, 800ms);
    live.prefix = blocks(3);
    live.arrival = Instant(1s);
    cell.submit(live, Instant(1s));
    const auto places = only<Place>(cell.poll(Instant(1s)));
    ASSERT_EQ(places.size(), 1U);
    EXPECT_EQ(places.front().prefillEngine, EngineId("p2"));
}

// For a while first tokens are so late that the measured delay is longer than the target leaves. Interactive requests
// are refused, so no placed request updates the delay. The refusals must end nevertheless.
TEST(Placing, AnOldDelayStopsRefusingRequests)
{
    for (const int rank : {0, 1}) {
        auto cell = smallCell();
        Instant now(1s);
        bool isRefused = false;
        const auto isAccepted = [&](const std::string &name) {
            PlaceRequest place = request(name, rank, 500ms);
            place.arrival = now;
            cell.submit(place, now);
            cell.poll(now);
            return only<Refuse>(cell.poll(now + 1ms)).empty() && cell.counters().refused == 0;
        };
        for (int i = 0; i < 200 && !isRefused; ++i) {
            const std::string name = std::to_string(i);
            isRefused = !isAccepted(name);
            cell.onPrefillDone(RequestId(name), {Tokens(1000), Tokens(0), 800ms}, now + 80ms);
            cell.poll(now + 80ms);
            now += 2s;
            cell.onFirstToken(RequestId(name), now);
            cell.onFinished(RequestId(name), now);
        }
        ASSERT_TRUE(isRefused);
        now += 20s;
        PlaceRequest place = request("later", rank, 500ms);
        place.arrival = now;
        cell.submit(place, now);
        EXPECT_EQ(only<Place>(cell.poll(now)).size(), 1U);
    }
}

} // namespace fescuesill
