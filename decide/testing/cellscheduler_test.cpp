#include "decide/cellscheduler.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace fescuesill
{

static EngineSpec engine(const std::string &name, Pool pool)
{
    return EngineSpec{EngineId(name), pool, Pieces(4), DataCentreId("a"), "", false};
}

static PlaceRequest request(const std::string &name, int rank = 1, Duration firstToken = 5s)
{
    PlaceRequest place;
    place.request = RequestId(name);
    place.workspace = WorkspaceId("w");
    place.requestClass.name = "c" + std::to_string(rank);
    place.requestClass.rank = rank;
    place.requestClass.firstToken = firstToken;
    place.prompt = Tokens(1000);
    return place;
}

template<typename Kind>
static std::vector<Kind> only(const std::vector<Action> &actions)
{
    std::vector<Kind> found;
    for (const Action &action : actions) {
        if (const auto *one = std::get_if<Kind>(&action)) {
            found.push_back(*one);
        }
    }
    return found;
}

static CellScheduler smallCell(CellScheduler::Options options = {})
{
    auto cell = CellScheduler::create(options).value();
    cell.setEngines({engine("p1", Pool::Prefill), engine("p2", Pool::Prefill), engine("d1", Pool::Decode),
                     engine("d2", Pool::Decode)},
                    Instant(1s));
    return cell;
}

TEST(CellScheduler, RefusesOptionsOutOfRange)
{
    CellScheduler::Options options;
    options.keepShare = 2;
    EXPECT_EQ(CellScheduler::create(options).error().option, "keepShare");
}

TEST(CellScheduler, PlacesOnAnIdleCellAtOnce)
{
    auto cell = smallCell();
    cell.submit(request("r"), Instant(1s));
    const auto places = only<Place>(cell.poll(Instant(1s)));
    ASSERT_EQ(places.size(), 1U);
    EXPECT_TRUE(places.front().decodeReady);
    cell.onPrefillDone(RequestId("r"), {Tokens(1000), Tokens(0), 800ms}, Instant(1100ms));
    cell.onFirstToken(RequestId("r"), Instant(1200ms));
    EXPECT_EQ(cell.summary(Instant(1200ms)).freePieces, Pieces(7));
    cell.onFinished(RequestId("r"), Instant(2s));
    EXPECT_EQ(cell.summary(Instant(2s)).freePieces, Pieces(8));
    EXPECT_EQ(cell.nextWake(), std::nullopt);
}

// Story: the decode engine dies just after the prefill result has moved there. The result is still on its prefill
// engine, so the request goes on at the other decode engine and the prompt is not read again.
TEST(CellScheduler, ResumesFromAHeldPrefillResultWhenTheDecodeEngineDies)
{
    auto cell = smallCell();
    cell.submit(request("r"), Instant(1s));
    const EngineId first = only<Place>(cell.poll(Instant(1s))).front().decodeEngine;
    cell.onPrefillDone(RequestId("r"), {Tokens(1000), Tokens(0), 800ms}, Instant(1100ms));
    cell.onEngineLost(first, Instant(1200ms));
    cell.onDecodeFailed(RequestId("r"), DecodeFault::Unreachable, true, Instant(1201ms));
    const auto actions = cell.poll(Instant(1201ms));
    const auto starts = only<StartDecode>(actions);
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_FALSE(starts.front().decodeEngine == first);
    EXPECT_TRUE(only<Place>(actions).empty());
    EXPECT_EQ(cell.counters().resumed, 1U);
    EXPECT_EQ(cell.counters().wastedRedone, Tokens(0));
}

// Story: the prefill engine stops answering in the middle of a read. Nothing is reported. The request is placed on the
// other engine, and the late report of the first one changes nothing.
TEST(CellScheduler, MovesAReadAwayFromAStalledEngine)
{
    auto cell = smallCell();
    cell.submit(request("r"), Instant(1s));
    const EngineId first = only<Place>(cell.poll(Instant(1s))).front().prefillEngine;
    std::vector<Place> again;
    for (Instant now(1s); now < Instant(3s) && again.empty(); now += 10ms) {
        again = only<Place>(cell.poll(now));
    }
    ASSERT_EQ(again.size(), 1U);
    EXPECT_FALSE(again.front().prefillEngine == first);
}

// Story: a decode engine stops writing and keeps its connections open, so nothing fails. It has the most free memory
// and would get all that comes until its entries give up after seconds.
TEST(CellScheduler, ASilentDecodeEngineGetsNothingNew)
{
    auto cell = smallCell();
    cell.adopt({request("silent"), EngineId("d1"), Tokens(10)}, Instant(1s));
    for (const char *name : {"a", "b"}) {
        cell.adopt({request(name), EngineId("d2"), Tokens(10)}, Instant(1s));
    }
    for (Instant now(1s); now <= Instant(3s); now += 100ms) {
        cell.onProgress(RequestId("a"), Tokens(20), now);
        cell.poll(now);
    }
    PlaceRequest place = request("new");
    place.arrival = Instant(3s);
    cell.submit(place, Instant(3s));
    const auto places = only<Place>(cell.poll(Instant(3s)));
    ASSERT_EQ(places.size(), 1U);
    EXPECT_EQ(places.front().decodeEngine, EngineId("d2"));
    cell.onProgress(RequestId("silent"), Tokens(20), Instant(3100ms));
    place.request = RequestId("later");
    cell.submit(place, Instant(3100ms));
    const auto later = only<Place>(cell.poll(Instant(3100ms)));
    ASSERT_EQ(later.size(), 1U);
    EXPECT_EQ(later.front().decodeEngine, EngineId("d1"));
}

TEST(CellScheduler, LeavingEnginesGetNothingNew)
{
    auto cell = smallCell();
    auto leaving = engine("p1", Pool::Prefill);
    leaving.leaving = true;
    cell.setEngines({leaving, engine("p2", Pool::Prefill), engine("d1", Pool::Decode)}, Instant(1s));
    for (int i = 0; i < 4; ++i) {
        cell.submit(request(std::to_string(i)), Instant(1s));
    }
    for (const Place &place : only<Place>(cell.poll(Instant(1s)))) {
        EXPECT_EQ(place.prefillEngine, EngineId("p2"));
        EXPECT_EQ(place.decodeEngine, EngineId("d1"));
    }
}

// Story: the owner of the cell dies with the cell full. The new owner hears from the entries what they hold, and places
// nothing on top of it.
TEST(CellScheduler, ANewOwnerCountsWhatEntriesHold)
{
    auto cell = smallCell();
    for (int i = 0; i < 8; ++i) {
        cell.adopt({request("held" + std::to_string(i)), EngineId(i < 4 ? "d1" : "d2"), Tokens(10)}, Instant(1s));
    }
    EXPECT_EQ(cell.summary(Instant(1s)).freePieces, Pieces(0));
    cell.submit(request("new", 1, 400ms), Instant(1s));
    EXPECT_TRUE(only<StartDecode>(cell.poll(Instant(1s))).empty());
    cell.onCancelled(RequestId("held0"), Instant(1s));
    EXPECT_EQ(cell.summary(Instant(1s)).freePieces, Pieces(1));
}

// Leaves one piece free of eight.
static void fillAllButOne(CellScheduler &cell)
{
    for (int i = 0; i < 7; ++i) {
        cell.adopt({request("held" + std::to_string(i)), EngineId(i < 4 ? "d1" : "d2"), Tokens(10)}, Instant(1s));
    }
}

// Story: a long request has to be placed again after its engine failed and finds the memory nearly full. It goes first
// and waits; an urgent one behind it, which needs only the piece that is free, is placed meanwhile. The long one is not
// starved: after twenty urgent ones it has the front for itself.
TEST(CellScheduler, UrgentRequestsPassAHeadThatCannotBePlaced)
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

// Story: the last free piece has been promised to a patient request that is being read. An urgent one comes. It is read
// as well and gets the piece; the patient one waits for the next.
TEST(CellScheduler, UrgentRequestsTakeWhatPatientOnesWerePromised)
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

// Story: three transfers share a link. A fourth live one waits for one of them to end; an urgent one goes at once, for
// waiting costs it more than sharing.
TEST(CellScheduler, UrgentResultsNeverWaitForALink)
{
    auto cell = CellScheduler::create({}).value();
    EngineSpec reader = engine("p1", Pool::Prefill);
    EngineSpec writer = engine("d1", Pool::Decode);
    writer.memory = Pieces(40);
    cell.setEngines({reader, writer}, Instant(1s));
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

static std::vector<CacheEvent> held(const std::vector<PrefixHash> &prefix)
{
    std::vector<CacheEvent> events;
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

// Story: a live request has a prompt of 4,000 tokens, which could not be read in time, but all engines hold nearly all
// of it. It was taken for hopeless and went after patient work.
TEST(CellScheduler, APromptIsJudgedByWhatHasToBeReadOfIt)
{
    auto cell = smallCell();
    cell.setEngines({engine("p1", Pool::Prefill), engine("d1", Pool::Decode)}, Instant(1s));
    cell.onCacheEvents(EngineId("p1"), held(blocks(15)), false);
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

// Story: one engine holds the prefix of a live request, but four transfers share its link. Reading all of the prompt
// elsewhere is the shorter way.
TEST(CellScheduler, ALiveRequestKeepsAwayFromACrowdedLink)
{
    CellScheduler::Options options;
    options.transferPerToken = 20us;
    auto cell = CellScheduler::create(options).value();
    EngineSpec writer = engine("d1", Pool::Decode);
    writer.memory = Pieces(60);
    cell.setEngines({engine("p1", Pool::Prefill), writer}, Instant(1s));
    for (int i = 0; i < 4; ++i) {
        PlaceRequest other = request(std::to_string(i), 0, 5s);
        other.prompt = Tokens(4000);
        other.arrival = Instant(1s);
        cell.submit(other, Instant(1s));
        ASSERT_EQ(only<Place>(cell.poll(Instant(1s))).size(), 1U);
        cell.onPrefillDone(other.request, {Tokens(4000), Tokens(0), 800ms}, Instant(1s));
        cell.poll(Instant(1s));
    }
    cell.setEngines({engine("p1", Pool::Prefill), engine("p2", Pool::Prefill), writer}, Instant(1s));
    cell.onCacheEvents(EngineId("p1"), held(blocks(3)), false);
    PlaceRequest live = request("live", 1, 800ms);
    live.prefix = blocks(3);
    live.arrival = Instant(1s);
    cell.submit(live, Instant(1s));
    const auto places = only<Place>(cell.poll(Instant(1s)));
    ASSERT_EQ(places.size(), 1U);
    EXPECT_EQ(places.front().prefillEngine, EngineId("p2"));
}

// Story: for a while first tokens come so late that the delay learnt from them is longer than the target leaves. Live
// requests are refused, so nothing teaches the cell that the way is free again. It must not stay like that.
TEST(CellScheduler, AnOldDelayRefusesNobodyForEver)
{
    for (const int rank : {0, 1}) {
        auto cell = smallCell();
        Instant now(1s);
        bool isRefused = false;
        const auto ask = [&](const std::string &name) {
            PlaceRequest place = request(name, rank, 500ms);
            place.arrival = now;
            cell.submit(place, now);
            cell.poll(now);
            return only<Refuse>(cell.poll(now + 1ms)).empty() && cell.counters().refused == 0;
        };
        for (int i = 0; i < 200 && !isRefused; ++i) {
            const std::string name = std::to_string(i);
            isRefused = !ask(name);
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

// Any order of events, also doubled ones and ones that do not fit: every request ends once, memory is given back, and
// nothing is left waiting.
TEST(CellScheduler, EveryRequestEndsOnceUnderRandomEvents)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        std::mt19937_64 random(seed);
        CellScheduler::Options options;
        options.shiftRoles = false;
        auto cell = smallCell(options);
        std::map<RequestId, int> ends;
        std::vector<RequestId> open;
        Instant now(1s);
        const auto take = [&](const std::vector<Action> &actions) {
            for (const Refuse &refuse : only<Refuse>(actions)) {
                ++ends[refuse.request];
                EXPECT_TRUE(refuse.refusal.retryAfter.has_value());
            }
        };
        const auto end = [&](const RequestId &id, bool finished) {
            const auto before = cell.counters();
            finished ? cell.onFinished(id, now) : cell.onCancelled(id, now);
            const auto &after = cell.counters();
            ends[id] += static_cast<int>(after.finished + after.cancelled - before.finished - before.cancelled);
        };
        for (int i = 0; i < 3000; ++i) {
            now += Duration(random() % 20000);
            if (open.empty() || random() % 4 == 0) {
                open.emplace_back(std::to_string(i));
                PlaceRequest place = request(open.back().value(), static_cast<int>(random() % 3));
                place.arrival = now;
                cell.submit(place, now);
            }
            const RequestId id = open[random() % open.size()];
            switch (random() % 9) {
            case 0:
            case 1:
                cell.onPrefillDone(id, {Tokens(800), Tokens(200), 800ms}, now);
                break;
            case 2:
                cell.onFirstToken(id, now);
                break;
            case 3:
                cell.onProgress(id, Tokens(static_cast<std::int64_t>(random() % 200)), now);
                break;
            case 4:
            case 5:
                end(id, true);
                break;
            case 6:
                end(id, false);
                break;
            case 7:
                cell.onDecodeFailed(id, static_cast<DecodeFault>(random() % 3), random() % 2 == 0, now);
                break;
            case 8:
                cell.onPrefillFailed(id, static_cast<PrefillFault>(random() % 2), now);
                break;
            }
            take(cell.poll(now));
        }
        for (const RequestId &id : open) {
            end(id, false);
            take(cell.poll(now));
        }
        for (const RequestId &id : open) {
            EXPECT_EQ(ends[id], 1) << "seed " << seed << " request " << id;
        }
        EXPECT_EQ(cell.nextWake(), std::nullopt) << seed;
        for (int i = 0; i < 200; ++i) {
            now += 1s;
            for (const char *name : {"p1", "p2", "d1", "d2"}) {
                cell.onLoadReport(EngineId(name), LoadReport{}, now);
            }
            take(cell.poll(now));
        }
        EXPECT_EQ(cell.summary(now).freePieces.value() % 4, 0) << seed;
    }
}

} // namespace fescuesill
