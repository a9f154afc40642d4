#include "programs/gateway/eventlosses.h"

#include "wire/clock.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

class EventLossesTest : public testing::Test
{
protected:
    EventLosses::Send sendTo(std::vector<peer::Message> &messages)
    {
        return [&messages](const peer::Message &message) {
            messages.push_back(message);
        };
    }
    // Counts of three hosts, each with enough stalls.
    void reportLoss()
    {
        for (const char *address : {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}) {
            this->losses.onCounts(address, {100, 2});
        }
    }

    EventLosses losses{HostId("g1"), 200ms};
    std::vector<peer::Message> up;
    std::vector<peer::Message> down;
    Instant now = steadyNow();
};

// Guards against a leader that gets a message for each event, or from hosts without streams.
TEST_F(EventLossesTest, ReportsAtMostOnceASecondAndOnlyEvents)
{
    this->losses.setUplink(this->sendTo(this->up));
    this->losses.onTick(this->now);
    EXPECT_TRUE(this->up.empty());
    for (int tick = 0; tick < 20; ++tick) {
        this->losses.add({3, 1, 1});
        this->losses.onTick(this->now + tick * 100ms);
    }
    ASSERT_EQ(this->up.size(), 2U);
    EXPECT_EQ(std::get<peer::EventCounts>(this->up[0]).events, 3U);
    EXPECT_EQ(std::get<peer::EventCounts>(this->up[1]).events, 30U);
    EXPECT_EQ(std::get<peer::EventCounts>(this->up[1]).stalls, 10U);
}

// Guards against counts that grow without bound while there is no leader, and that a leader would ignore as invalid.
TEST_F(EventLossesTest, BoundsItsCounts)
{
    this->losses.add({1'000'000, 1, 200'000});
    this->losses.setUplink(this->sendTo(this->up));
    this->losses.onTick(this->now);
    ASSERT_EQ(this->up.size(), 1U);
    EXPECT_EQ(std::get<peer::EventCounts>(this->up[0]).events, 100'000U);
    EXPECT_EQ(std::get<peer::EventCounts>(this->up[0]).stalls, 100'000U);
}

// Guards against a leader whose hosts do not learn that packets are lost, or learn it again and again.
TEST_F(EventLossesTest, TheLeaderAnnouncesAChangeOnce)
{
    this->losses.setFollowers(this->sendTo(this->down));
    this->losses.setDeciding(true);
    this->reportLoss();
    for (int tick = 0; tick < 3; ++tick) {
        this->losses.onTick(this->now + tick * 100ms);
    }
    EXPECT_TRUE(this->losses.isSeen());
    ASSERT_EQ(this->down.size(), 1U);
    EXPECT_TRUE(std::get<peer::EventLoss>(this->down[0]).isSeen);
    this->losses.onTick(this->now + 10min);
    EXPECT_FALSE(this->losses.isSeen());
    ASSERT_EQ(this->down.size(), 2U);
    this->losses.sendVerdict(this->sendTo(this->up));
    ASSERT_EQ(this->up.size(), 1U);
    EXPECT_FALSE(std::get<peer::EventLoss>(this->up[0]).isSeen);
}

// Guards against invalid counts, such as of another version, that count as loss.
TEST_F(EventLossesTest, IgnoresInvalidCounts)
{
    this->losses.setDeciding(true);
    const peer::EventCounts invalid[] = {{100'001, 5}, {~0ULL, 5},     {1ULL << 63, 5},
                                         {100, ~0ULL}, {100, 100'001}, {1, 2}};
    for (const peer::EventCounts &counts : invalid) {
        for (const char *address : {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}) {
            this->losses.onCounts(address, counts);
        }
    }
    this->losses.onTick(this->now);
    EXPECT_FALSE(this->losses.isSeen());
}

// Guards against a verdict that ends with its leader while the next one still learns, or that never ends.
TEST_F(EventLossesTest, AVerdictOutlivesItsLeaderForATime)
{
    for (const bool leadsNext : {false, true}) {
        EventLosses follower(HostId("g2"), 200ms);
        follower.setUplink(this->sendTo(this->up));
        follower.onVerdict({true});
        follower.onTick(this->now + 10min);
        EXPECT_TRUE(follower.isSeen());
        follower.setUplink({});
        follower.setDeciding(leadsNext);
        follower.onTick(steadyNow() + 29s);
        EXPECT_TRUE(follower.isSeen());
        follower.onTick(steadyNow() + 31s);
        EXPECT_FALSE(follower.isSeen());
    }
}

// Guards against a host that holds events or sends messages although its setting is left out.
TEST_F(EventLossesTest, DoesNothingWithoutTheSetting)
{
    EventLosses off(HostId("g1"), std::nullopt);
    off.setFollowers(this->sendTo(this->down));
    off.setUplink(this->sendTo(this->up));
    off.onVerdict({true});
    off.add({100, 100, 10});
    off.onTick(this->now);
    EXPECT_FALSE(off.isSeen());
    off.setUplink({});
    off.setDeciding(true);
    for (const char *address : {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}) {
        off.onCounts(address, {100, 10});
    }
    off.onTick(this->now + 2s);
    off.sendVerdict(this->sendTo(this->up));
    EXPECT_FALSE(off.isSeen());
    EXPECT_TRUE(this->up.empty() && this->down.empty());
}

} // namespace
} // namespace fescuesill
