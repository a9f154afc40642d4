#include "promise/placingroute.h"

#include "promise/deputychoice.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

constexpr Instant start{Duration(1'000'000)};
const std::string self = "10.1.0.20:7660";
const std::string other = "10.2.0.20:7660";

PlacingRoute following(const std::string &deputy)
{
    PlacingRoute route(self, {});
    route.onLeaderReached();
    route.onDeputyNamed(deputy);
    return route;
}

// The leader hangs: its followers place through the deputy instead of each placing alone.
TEST(PlacingRoute, TurnsToTheDeputyWhenTheLeaderIsLost)
{
    PlacingRoute route = following(other);
    EXPECT_EQ(route.path(start), PlacingPath::Leader);
    EXPECT_FALSE(route.wantedDeputy(start));
    route.onLeaderLost(start);
    EXPECT_EQ(route.path(start), PlacingPath::Waiting);
    EXPECT_EQ(route.wantedDeputy(start), other);
    route.onDeputyReached();
    EXPECT_EQ(route.path(start), PlacingPath::Deputy);
    route.onLeaderReached(); // the leader of the next term, which names its own deputy
    EXPECT_EQ(route.path(start), PlacingPath::Leader);
    EXPECT_FALSE(route.wantedDeputy(start));
    route.onLeaderLost(start);
    EXPECT_FALSE(route.wantedDeputy(start));
}

TEST(PlacingRoute, ActsAsLeaderOnlyWhileItHasNoLeader)
{
    PlacingRoute route = following(self);
    EXPECT_FALSE(route.isActingLeader());
    route.onLeaderLost(start);
    EXPECT_TRUE(route.isActingLeader());
    EXPECT_FALSE(route.wantedDeputy(start)); // no link to itself
    route.onLeading(true);
    EXPECT_FALSE(route.isActingLeader());
    route.onLeading(false);
    EXPECT_FALSE(route.isActingLeader());
}

// Only this host lost the leader: the deputy still follows it and refuses; the leader may become reachable again.
TEST(PlacingRoute, PlacesAloneWhereTheDeputyKeepsRefusing)
{
    PlacingRoute route = following(other);
    route.onLeaderLost(start);
    Instant now = start;
    for (; now < start + 450ms; now += 100ms) {
        EXPECT_EQ(route.wantedDeputy(now), other);
        route.onDeputyReached();
        route.onDeputyLost(now);
        EXPECT_EQ(route.path(now), PlacingPath::Waiting);
        EXPECT_FALSE(route.wantedDeputy(now + 99ms));
    }
    EXPECT_EQ(route.path(now), PlacingPath::Alone);
    EXPECT_EQ(route.wantedDeputy(now), other); // and continues to connect
}

// The leader hangs during a rolling restart: the deputy stops as well, and the host that it named takes over.
TEST(PlacingRoute, TurnsToTheNextDeputyWhenTheFirstIsLost)
{
    PlacingRoute route = following(other);
    route.onLeaderLost(start);
    route.onDeputyReached();
    route.onNextDeputyNamed("10.3.0.20:7660");
    const Instant later = start + 3s;
    route.onDeputyLost(later);
    EXPECT_EQ(route.path(later), PlacingPath::Waiting);
    EXPECT_EQ(route.wantedDeputy(later), "10.3.0.20:7660");

    PlacingRoute next = following(other);
    next.onLeaderLost(start);
    next.onDeputyReached();
    next.onNextDeputyNamed(self);
    EXPECT_FALSE(next.isActingLeader());
    next.onDeputyLost(later);
    EXPECT_TRUE(next.isActingLeader());
    next.onStopping();
    EXPECT_FALSE(next.isActingLeader());
}

// Guards against a fleet that tries one deputy after the other while it connects to a new leader.
TEST(PlacingRoute, WaitsForANamedLeaderAndNotForTheNextDeputy)
{
    for (const std::string &next : {std::string("10.3.0.20:7660"), self}) {
        PlacingRoute route = following(other);
        route.onLeaderLost(start);
        route.onDeputyReached();
        route.onNextDeputyNamed(next);
        route.onLeaderNamed(start + 3s);
        EXPECT_EQ(route.path(start + 3s), PlacingPath::Deputy); // until it ends
        route.onDeputyLost(start + 3s);
        EXPECT_EQ(route.path(start + 3s), PlacingPath::Waiting);
        EXPECT_FALSE(route.wantedDeputy(start + 3s));
        EXPECT_FALSE(route.isActingLeader());
        EXPECT_EQ(route.path(start + 3500ms), PlacingPath::Alone); // the named leader cannot be reached
        route.onLeaderReached();
        EXPECT_EQ(route.path(start + 3600ms), PlacingPath::Leader);
    }
}

// Guards against hosts that all place alone in the moments between reading who leads and reaching it.
TEST(PlacingRoute, WaitsForTheFirstLeader)
{
    PlacingRoute route(self, {});
    EXPECT_EQ(route.path(start), PlacingPath::Alone);
    route.onLeaderNamed(start);
    EXPECT_EQ(route.path(start + 400ms), PlacingPath::Waiting);
    route.onLeaderUnknown(); // the named host refuses, since it does not lead
    EXPECT_EQ(route.path(start + 400ms), PlacingPath::Alone);
}

TEST(PlacingRoute, ADeputyPlacesUntilItReachesTheNewLeader)
{
    PlacingRoute route = following(self);
    route.onLeaderLost(start);
    route.onLeaderNamed(start + 3s);
    EXPECT_TRUE(route.isActingLeader());
    route.onLeaderReached();
    EXPECT_FALSE(route.isActingLeader());
}

TEST(PlacingRoute, StaysAloneWithoutADeputy)
{
    PlacingRoute route = following("");
    route.onLeaderLost(start);
    EXPECT_FALSE(route.wantedDeputy(start));
    EXPECT_FALSE(route.isActingLeader());
    route.onDeputyReached(); // over a link that was opened earlier
    EXPECT_EQ(route.path(start), PlacingPath::Alone);
}

TEST(DeputyChoice, ChangesOnlyWhenTheDeputyLeaves)
{
    DeputyChoice<int> choice;
    EXPECT_TRUE(choice.deputy().empty());
    choice.add(3, "c");
    choice.add(1, "a");
    EXPECT_EQ(choice.deputy(), "c");
    choice.remove(1);
    EXPECT_EQ(choice.deputy(), "c");
    choice.add(5, "e");
    choice.remove(3);
    EXPECT_EQ(choice.deputy(), "e");
    choice.remove(3);
    choice.remove(5);
    EXPECT_TRUE(choice.deputy().empty());
}

} // namespace
} // namespace fescuesill
