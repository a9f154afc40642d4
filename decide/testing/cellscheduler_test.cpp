#include "decide/testing/smallcell.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace fescuesill
{

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

// The decode engine dies just after the prefill result was transferred to it. The prefill engine still has the result,
// so the request continues on the other decode engine without another prefill.
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

// The prefill engine stalls during a prefill and reports nothing. The request is placed on the other engine.
TEST(CellScheduler, MovesAPrefillAwayFromAStalledEngine)
{
    auto cell = smallCell();
    cell.submit(request("r"), Instant(1s));
    const EngineId first = only<Place>(cell.poll(Instant(1s))).front().prefillEngine;
    std::vector<Place> secondPlaces;
    for (Instant now(1s); now < Instant(3s) && secondPlaces.empty(); now += 10ms) {
        secondPlaces = only<Place>(cell.poll(now));
    }
    ASSERT_EQ(secondPlaces.size(), 1U);
    EXPECT_FALSE(secondPlaces.front().prefillEngine == first);
}

// A decode engine stops generating and keeps its connections open, so nothing fails. It has the most free memory and
// would get every new request until its entries time out after seconds.
TEST(CellScheduler, AStalledDecodeEngineGetsNothingNew)
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

// The owner of the cell dies while the cell is full. The entries report to the new owner what they hold, and it places
// nothing on top of that.
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

// For any order of events, including duplicates and events that do not fit, every request ends exactly once, its memory
// is released, and nothing is left waiting.
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
        const auto countRefusals = [&](const std::vector<Action> &actions) {
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
            countRefusals(cell.poll(now));
        }
        for (const RequestId &id : open) {
            end(id, false);
            countRefusals(cell.poll(now));
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
            countRefusals(cell.poll(now));
        }
        EXPECT_EQ(cell.summary(now).freePieces.value() % 4, 0) << seed;
    }
}

} // namespace fescuesill
