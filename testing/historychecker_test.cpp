#include "testing/historychecker.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

using namespace history;

const RequestId r1("r1");
const RequestId r2("r2");
const EngineId engine("d1");
const StreamId stream("s1");
const HostId host("a");
const EndpointId endpoint("e1");

History historyOf(const std::vector<HistoryEvent> &events)
{
    return History{events};
}

HistoryEvent at(int second, HistoryFact fact)
{
    return {Instant(std::chrono::seconds(second)), std::move(fact)};
}

struct BadCase {
    const char *name;
    Promise promise;
    History history;
    std::size_t shown;
};

std::vector<BadCase> badCases()
{
    return {
        {"memory freed too late", Promise::NoMemoryHeldForTheGone,
         historyOf({at(0, MemoryTaken{engine, stream, r1}), at(1, Gone{r1}), at(90, MemoryFreed{engine, stream})}), 3},
        {"memory never freed", Promise::NoMemoryHeldForTheGone,
         historyOf({at(0, MemoryTaken{engine, stream, r1}), at(1, Gone{r1}), at(90, Gone{r2})}), 2},
        {"two answers", Promise::NotAnsweredTwice,
         historyOf({at(0, Sent{r1, ""}), at(0, Wrote{r1, "x"}), at(1, Answered{r1, "x"}), at(2, Answered{r1, "x"})}),
         2},
        {"an answer and a refusal", Promise::NotAnsweredTwice,
         historyOf({at(0, Wrote{r1, "x"}), at(1, Answered{r1, "x"}), at(2, Refused{r1, RunState::MayHaveRun})}), 2},
        {"another's answer", Promise::OwnWholeAnswer,
         historyOf({at(0, Wrote{r1, "x"}), at(0, Wrote{r2, "y"}), at(1, Answered{r1, "y"})}), 2},
        {"half an answer", Promise::OwnWholeAnswer, historyOf({at(0, Wrote{r1, "xy"}), at(1, Answered{r1, "x"})}), 2},
        {"run in spite", Promise::NotRunMeansNotRun,
         historyOf({at(0, Sent{r1, "k"}), at(1, Refused{r1, RunState::NotRun}), at(9, Executed{r1, "k", "m"})}), 2},
        {"run before, by another request of the key", Promise::NotRunMeansNotRun,
         historyOf({at(0, Sent{r1, "k"}), at(1, Executed{r1, "k", "m"}), at(2, Sent{r2, "k"}),
                    at(3, Refused{r2, RunState::NotRun})}),
         2},
        {"two motors", Promise::AtMostOnce, historyOf({at(0, Executed{r1, "k", "m1"}), at(1, Executed{r2, "k", "m2"})}),
         2},
        {"work for the leaving", Promise::NothingNewForTheLeaving,
         historyOf({at(0, Leaving{endpoint}), at(6, WorkSent{endpoint, r1})}), 2},
        {"cut by a stop", Promise::PlannedStopCutsNothing, historyOf({at(0, StopBegan{host}), at(9, Cut{r1, host})}),
         2},
        {"one version, two changes", Promise::ConfigurationInForceAndKept,
         historyOf({at(0, ConfigAccepted{ConfigVersion(4), "x"}), at(1, ConfigAccepted{ConfigVersion(4), "y"})}), 2},
        {"a version reverts", Promise::ConfigurationInForceAndKept,
         historyOf({at(0, WorkTaken{host, ConfigVersion(4)}), at(1, WorkTaken{host, ConfigVersion(3)})}), 2},
        {"not in force after long", Promise::ConfigurationInForceAndKept,
         historyOf({at(0, ConfigAccepted{ConfigVersion(4), "x"}), at(21, WorkTaken{host, ConfigVersion(3)})}), 2},
    };
}

TEST(HistoryChecker, RejectsABadHistoryOfEachPromiseWithItsEvents)
{
    for (const BadCase &c : badCases()) {
        const auto violation = HistoryChecker({}).check(c.history);
        ASSERT_TRUE(violation) << c.name;
        EXPECT_EQ(violation->promise, c.promise) << c.name << '\n' << violation->text();
        EXPECT_EQ(violation->events.size(), c.shown) << c.name << '\n' << violation->text();
    }
}

TEST(HistoryChecker, AcceptsAGoodHistory)
{
    const History good = historyOf({
        at(0, Sent{r1, "k"}),
        at(1, Executed{r1, "k", "m"}),
        at(2, Sent{r2, "k"}),
        at(3, Answered{r2, "m"}),
        at(4, Refused{r1, RunState::MayHaveRun}),
        at(5, MemoryTaken{engine, stream, r1}),
        at(6, Gone{r1}),
        at(7, ConfigAccepted{ConfigVersion(4), "x"}),
        at(8, WorkTaken{host, ConfigVersion(3)}),
        at(9, WorkTaken{host, ConfigVersion(4)}),
        at(10, Leaving{endpoint}),
        at(14, WorkSent{endpoint, r1}),
        at(15, Cut{r2, host}),
        at(16, StopBegan{host}),
        at(40, MemoryFreed{engine, stream}),
        at(99, WorkTaken{host, ConfigVersion(4)}),
    });
    const auto violation = HistoryChecker({}).check(good);
    EXPECT_FALSE(violation) << violation->text();
}

} // namespace
} // namespace fescuesill
