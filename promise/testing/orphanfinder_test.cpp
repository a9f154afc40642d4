#include "promise/orphanfinder.h"

#include "promise/cancellation.h"
#include "promise/draining.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

const Instant start{1000s};
const EngineId engine("athens-d1");
const HostId a("a");
const HostId b("b");
const StreamId s1("s1");
const std::vector<StreamId> none;
const std::vector<StreamId> onlyS1{s1};

OrphanFinder finderWith(std::set<HostId> live)
{
    OrphanFinder finder({}, start);
    finder.onEntries(std::move(live));
    return finder;
}

// An entry dies in the middle of an answer and its caller does not resume. The engine's memory must be released.
TEST(OrphanFinder, ReturnsAStreamOfADeadEntryAfterTheGraceUntilItIsGone)
{
    OrphanFinder finder = finderWith({b});
    const std::vector<EngineStream> list{{s1, a, true}};
    EXPECT_EQ(finder.onStreams(engine, list, start), none);
    EXPECT_EQ(finder.onStreams(engine, list, start + 14s), none);
    EXPECT_EQ(finder.onStreams(engine, list, start + 15s), onlyS1);
    EXPECT_EQ(finder.onStreams(engine, list, start + 16s), onlyS1);
    EXPECT_EQ(finder.onStreams(engine, {}, start + 17s), none);
}

TEST(OrphanFinder, LeavesWhatALiveEntryHoldsOrReads)
{
    OrphanFinder finder = finderWith({a, b});
    finder.onHold(b, s1);
    const std::vector<EngineStream> list{{s1, b, false}, {StreamId("s2"), a, true}};
    for (int second = 0; second < 60; ++second) {
        EXPECT_EQ(finder.onStreams(engine, list, start + std::chrono::seconds(second)), none);
    }
    finder.onRelease(b, s1);
    finder.onStreams(engine, list, start + 60s);
    EXPECT_EQ(finder.onStreams(engine, list, start + 75s), onlyS1);
}

// The caller resumes at another entry in time. The grace period starts again if that entry dies too.
TEST(OrphanFinder, AResumedStreamIsNoOrphan)
{
    OrphanFinder finder = finderWith({b});
    finder.onStreams(engine, {{s1, a, false}}, start);
    finder.onHolding(b, {s1});
    EXPECT_EQ(finder.onStreams(engine, {{s1, b, true}}, start + 15s), none);
    finder.onEntries({});
    EXPECT_EQ(finder.onStreams(engine, {{s1, b, true}}, start + 16s), none);
    EXPECT_EQ(finder.onStreams(engine, {{s1, b, true}}, start + 31s), onlyS1);
}

// A scheduler becomes the owner of a cell. No entry has reported yet what it holds; cancelling now would end the
// streams of all callers.
TEST(OrphanFinder, ANewOwnerWaitsForTheEntries)
{
    OrphanFinder finder({}, start);
    EXPECT_EQ(finder.onStreams(engine, {{s1, a, true}}, start + 14s), none);
    finder.onEntries({a});
    finder.onHolding(a, {s1});
    EXPECT_EQ(finder.onStreams(engine, {{s1, a, false}}, start + 60s), none);
}

TEST(Cancellation, RetriesUntilTheEngineConfirmsAndIsBounded)
{
    Cancellation cancellation({}, start);
    Instant now = start;
    CancelStep step = cancellation.start();
    int deletes = 0;
    while (step.kind == CancelStep::Delete) {
        ++deletes;
        step = cancellation.onFailed(now);
        now += step.wait;
        if (step.kind == CancelStep::Wait) {
            step = cancellation.onTimerExpired();
        }
    }
    EXPECT_EQ(step.kind, CancelStep::LeaveToOwner);
    EXPECT_GE(now - start, 60s);
    EXPECT_LT(deletes, 50);
    EXPECT_EQ(Cancellation({}, start).onConfirmed().kind, CancelStep::Confirmed);
}

// A rolling restart: the load balancer still sends requests for some seconds after the health check fails, and a long
// answer is in progress.
TEST(Draining, FailsTheHealthCheckFirstAndEndsNoRequest)
{
    Draining draining({});
    draining.onWork({2, 1, 1});
    EXPECT_TRUE(draining.isReady());
    draining.start(start);
    EXPECT_FALSE(draining.isReady());
    EXPECT_TRUE(draining.handsOverCells());
    EXPECT_TRUE(draining.admits(start + 2999ms));
    EXPECT_FALSE(draining.admits(start + 3s));
    EXPECT_EQ(drainingRefusal().run, RunState::NotRun);
    EXPECT_FALSE(draining.moves(start + 59s));
    EXPECT_TRUE(draining.moves(start + 60s));
    EXPECT_FALSE(draining.mayExit(start + 24h));
    draining.onWork({0, 0, 1});
    EXPECT_FALSE(draining.mayExit(start + 24h));
    draining.onWork({0, 0, 0});
    EXPECT_TRUE(draining.mayExit(start + 4s));
    EXPECT_FALSE(draining.mayExit(start + 1s));
}

// Guards against a request that has waited, is sent to an endpoint late in the grace period, and is cut off at its end.
TEST(Draining, SendsNoRequestThatTheEndOfTheGracePeriodMayCutOff)
{
    Draining draining({3s, 8s, 300ms});
    EXPECT_TRUE(draining.sends(start, start + 1h));
    EXPECT_FALSE(draining.isOver(start + 1h));
    draining.start(start);
    EXPECT_TRUE(draining.sends(start + 3999ms, start + 14s));
    EXPECT_FALSE(draining.sends(start + 4s, start + 14s));
    EXPECT_TRUE(draining.sends(start + 4s, start + 7700ms)); // answered in any case
    EXPECT_FALSE(draining.sends(start + 4s, start + 7701ms));
    EXPECT_FALSE(draining.isOver(start + 7699ms));
    EXPECT_TRUE(draining.isOver(start + 7700ms)); // in time for the last answers
}

// Guards against requests that are admitted, and then refused because they may not be sent.
TEST(Draining, SendsWhileItAdmits)
{
    Draining draining({5s, 8s, 300ms});
    draining.start(start);
    EXPECT_TRUE(draining.admits(start + 4999ms));
    EXPECT_TRUE(draining.sends(start + 4999ms, start + 14s));
    EXPECT_FALSE(draining.sends(start + 5s, start + 14s));
}

} // namespace
} // namespace fescuesill
