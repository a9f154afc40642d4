#include "decide/requestbudget.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <vector>

namespace fescuesill
{
namespace
{

constexpr Instant start{1h};

RequestBudget::Options limits(std::int64_t bytes, std::size_t connections = 100)
{
    RequestBudget::Options options;
    options.limit = Bytes(bytes);
    options.connections = connections;
    return options;
}

// Receives so many bytes on a new connection.
ConnectionId receive(RequestBudget &budget, std::int64_t bytes, Instant now)
{
    const ConnectionId id = budget.open(now);
    budget.onReceived(id, Bytes(bytes), now);
    return id;
}

// Drops until the rest fits, and returns what was dropped.
std::vector<ConnectionId> drop(RequestBudget &budget, Instant now)
{
    std::vector<ConnectionId> dropped;
    while (const auto id = budget.nextToDrop(now)) {
        budget.onIdle(*id, now);
        dropped.push_back(*id);
    }
    return dropped;
}

TEST(RequestBudget, DropsNothingWithinTheLimit)
{
    RequestBudget budget(limits(1000));
    receive(budget, 500, start);
    receive(budget, 500, start);
    EXPECT_EQ(drop(budget, start + 10s), std::vector<ConnectionId>());
    EXPECT_EQ(budget.counts().held, Bytes(1000));
}

// Guards against an ordinary request that is dropped for a crowd of large ones.
TEST(RequestBudget, DropsTheLargestAndNotTheNextOrdinaryRequest)
{
    RequestBudget budget(limits(1000));
    const ConnectionId large = receive(budget, 600, start);
    const ConnectionId larger = receive(budget, 390, start);
    receive(budget, 50, start);
    EXPECT_EQ(drop(budget, start), std::vector<ConnectionId>({large}));
    budget.onReceived(larger, Bytes(990), start);
    EXPECT_EQ(drop(budget, start), std::vector<ConnectionId>({larger}));
    EXPECT_EQ(budget.counts().dropped, 2);
}

// Guards against requests that are short of their end and stay, while those that go on are dropped.
TEST(RequestBudget, DropsAStalledRequestBeforeALargerOneThatGoesOn)
{
    RequestBudget budget(limits(1000));
    const ConnectionId stalled = receive(budget, 400, start);
    receive(budget, 700, start + 3s);
    EXPECT_EQ(drop(budget, start + 3s), std::vector<ConnectionId>({stalled}));
}

// Guards against a host on which no request of the largest size is ever received.
TEST(RequestBudget, ReceivesASingleRequestBeyondTheLimit)
{
    RequestBudget budget(limits(1000));
    const ConnectionId only = receive(budget, 5000, start);
    EXPECT_EQ(drop(budget, start + 1s), std::vector<ConnectionId>());
    EXPECT_TRUE(budget.start(only, Bytes(5000), start));
}

TEST(RequestBudget, NeverDropsARequestThatRuns)
{
    RequestBudget budget(limits(1000));
    const ConnectionId running = receive(budget, 700, start);
    ASSERT_TRUE(budget.start(running, Bytes(700), start));
    const ConnectionId arriving = receive(budget, 400, start);
    EXPECT_EQ(drop(budget, start + 10s), std::vector<ConnectionId>({arriving}));
}

// Guards against large requests that run for long and take the place of ordinary ones.
TEST(RequestBudget, RunsOrdinaryRequestsBesideLargeOnes)
{
    RequestBudget budget(limits(1000)); // an equal share is 10
    ASSERT_TRUE(budget.start(receive(budget, 400, start), Bytes(400), start));
    ASSERT_TRUE(budget.start(receive(budget, 350, start), Bytes(350), start));
    EXPECT_FALSE(budget.start(receive(budget, 100, start), Bytes(100), start));
    EXPECT_TRUE(budget.start(receive(budget, 10, start), Bytes(10), start));
    EXPECT_EQ(budget.counts().refused, 1);
}

TEST(RequestBudget, CountsWhatWaitsInTheKernelAndWhatIsNotAccepted)
{
    RequestBudget budget(limits(1000));
    const ConnectionId pipelining = receive(budget, 10, start);
    ASSERT_TRUE(budget.start(pipelining, Bytes(10), start));
    budget.onUnread(pipelining, Bytes(800));
    const ConnectionId slow = receive(budget, 10, start);
    ASSERT_TRUE(budget.start(slow, Bytes(10), start));
    budget.onUnsent(slow, Bytes(100), start);
    EXPECT_EQ(budget.counts().held, Bytes(920));
    receive(budget, 100, start);
    EXPECT_EQ(drop(budget, start), std::vector<ConnectionId>({pipelining}));
    EXPECT_EQ(budget.counts().held, Bytes(210));
}

TEST(RequestBudget, HoldsNothingOfConnectionsThatHaveEnded)
{
    RequestBudget budget(limits(1000));
    const ConnectionId running = receive(budget, 700, start);
    ASSERT_TRUE(budget.start(running, Bytes(700), start));
    budget.close(running);
    budget.close(running);
    EXPECT_EQ(budget.counts().held, Bytes(0));
    EXPECT_EQ(budget.counts().connections, 0);
    EXPECT_TRUE(budget.start(receive(budget, 900, start), Bytes(900), start));
}

// Guards against connections that send nothing and keep others out.
TEST(RequestBudget, ReplacesTheConnectionThatHasWaitedLongestForItsFirstRequest)
{
    RequestBudget budget(limits(1000, 3));
    const ConnectionId kept = budget.open(start);
    ASSERT_TRUE(budget.start(kept, Bytes(1), start));
    budget.onIdle(kept, start);
    const ConnectionId silent = budget.open(start + 1s);
    budget.open(start + 2s);
    EXPECT_TRUE(budget.isFull());
    EXPECT_EQ(budget.nextToReplace(start + 4s), silent);
    budget.close(silent);
    EXPECT_FALSE(budget.isFull());
    EXPECT_EQ(budget.counts().replaced, 1);
}

TEST(RequestBudget, ReplacesNoConnectionThatHasJustOpenedOrRuns)
{
    RequestBudget budget(limits(1000, 2));
    const ConnectionId running = budget.open(start);
    ASSERT_TRUE(budget.start(running, Bytes(1), start));
    budget.open(start + 10s);
    EXPECT_EQ(budget.nextToReplace(start + 10s + 500ms), std::nullopt);
}

// Against an oracle that sums up what each connection holds.
RC_GTEST_PROP(RequestBudget, KeepsWithinTheLimitButForWhatRunsOrIsAlone, ())
{
    struct Held {
        std::int64_t request = 0;
        bool isRunning = false;
    };
    RequestBudget budget(limits(1000));
    std::map<ConnectionId, Held> oracle;
    Instant now = start;
    const auto sum = [&](bool onlyRunning) {
        std::int64_t all = 0;
        for (const auto &[id, held] : oracle) {
            all += !onlyRunning || held.isRunning ? held.request : 0;
        }
        return all;
    };
    const int steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 500));
        const int chosen = *rc::gen::inRange(0, 8);
        const auto at =
            oracle.empty() ? oracle.end() : std::next(oracle.begin(), *rc::gen::inRange<int>(0, int(oracle.size())));
        if (chosen < 2 || at == oracle.end()) {
            oracle[budget.open(now)] = {};
        } else if (chosen < 5 && !at->second.isRunning) {
            at->second.request += *rc::gen::inRange(1, 400);
            budget.onReceived(at->first, Bytes(at->second.request), now);
        } else if (chosen == 5 && !at->second.isRunning) {
            at->second.isRunning = budget.start(at->first, Bytes(at->second.request), now);
        } else if (chosen == 6) {
            at->second = {};
            budget.onIdle(at->first, now);
        } else if (chosen == 7) {
            budget.close(at->first);
            oracle.erase(at);
        }
        for (const ConnectionId id : drop(budget, now)) {
            RC_ASSERT(!oracle.at(id).isRunning);
            RC_ASSERT(oracle.at(id).request > 0);
            oracle.at(id) = {};
        }
        RC_ASSERT(budget.counts().held == Bytes(sum(false)));
        const bool isAlone = std::any_of(oracle.begin(), oracle.end(),
                                         [&](const auto &held) { return held.second.request == sum(false); });
        RC_ASSERT(sum(false) <= 1000 || isAlone || sum(false) == sum(true));
    }
}

} // namespace
} // namespace fescuesill
