#include "decide/endpointlimits.h"

#include <deque>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

constexpr Instant start{Duration(1'000'000)};
const EndpointId endpoint("e1");

EndpointLimits limitsOf(double perSecond)
{
    EndpointLimits limits({});
    limits.set(endpoint, CallRate{perSecond}, start);
    return limits;
}

TEST(EndpointLimits, AllowsAllCallsWithoutALimit)
{
    EndpointLimits limits({});
    for (int call = 0; call < 1000; ++call) {
        EXPECT_EQ(limits.take(endpoint, 1, start), 0ms);
    }
    EXPECT_FALSE(limits.limitOf(endpoint));
}

TEST(EndpointLimits, StatesTheTimeUntilTheNextPermit)
{
    EndpointLimits limits = limitsOf(4);
    EXPECT_EQ(limits.take(endpoint, 1, start), 250ms);
    EXPECT_EQ(limits.take(endpoint, 0.5, start), 500ms);
    EXPECT_EQ(limits.take(endpoint, 1, start + 250ms), 0ms);
    EXPECT_EQ(limits.take(endpoint, 1, start + 250ms), 250ms);
}

// Guards against a limit of zero that can never end, because no call is sent whose answer could show it.
TEST(EndpointLimits, SendsACallNowAndThenWithALimitOfZero)
{
    EndpointLimits limits = limitsOf(0);
    EXPECT_EQ(limits.take(endpoint, 1, start), 2s);
    EXPECT_EQ(limits.take(endpoint, 1, start + 2s), 0ms);
}

// Guards against answers in flight that end a limit which was stated after their calls were sent.
TEST(EndpointLimits, EndsOnlyByAnAnswerToALaterCall)
{
    EndpointLimits limits({});
    EXPECT_TRUE(limits.onAnswer(endpoint, CallRate{4}, start, start + 10ms));
    EXPECT_FALSE(limits.onAnswer(endpoint, CallRate{4}, start, start + 11ms));
    EXPECT_FALSE(limits.onAnswer(endpoint, std::nullopt, start + 10ms, start + 12ms));
    EXPECT_TRUE(limits.limitOf(endpoint));
    EXPECT_TRUE(limits.onAnswer(endpoint, CallRate{5}, start, start + 13ms));
    EXPECT_TRUE(limits.onAnswer(endpoint, std::nullopt, start + 14ms, start + 30ms));
    EXPECT_FALSE(limits.limitOf(endpoint));
}

TEST(EndpointLimits, HoldsABoundedNumberOfLimits)
{
    EndpointLimits::Options options;
    options.maxLimits = 2;
    EndpointLimits limits(options);
    for (const char *id : {"a", "b", "c"}) {
        limits.set(EndpointId(id), CallRate{1}, start);
    }
    EXPECT_EQ(limits.all().size(), 2U);
    limits.forget(EndpointId("a"));
    EXPECT_EQ(limits.all().size(), 1U);
}

TEST(EndpointLimits, SuspendsAnEndpointForATime)
{
    EndpointLimits limits = limitsOf(4);
    EXPECT_EQ(limits.suspendedFor(endpoint, start), 0ms);
    limits.suspend(endpoint, 300ms, start);
    EXPECT_EQ(limits.suspendedFor(endpoint, start + 100ms), 200ms);
    EXPECT_EQ(limits.suspendedFor(endpoint, start + 400ms), 0ms);
}

// Hosts with equal shares ask at random times, in bursts and after pauses, while the limit changes. In no window of
// four seconds may they together get more than the highest limit in it allows, plus its burst.
RC_GTEST_PROP(EndpointLimits, GiveNoMorePermitsThanTheLimitInAnyWindow, ())
{
    constexpr Duration window{4s};
    const int hosts = *rc::gen::inRange(1, 6);
    std::vector<EndpointLimits> limits(static_cast<std::size_t>(hosts), EndpointLimits({}));
    const double highest = *rc::gen::inRange(1, 60);
    for (EndpointLimits &each : limits) {
        each.set(endpoint, CallRate{highest}, start);
    }
    std::deque<Instant> given;
    Instant now = start;
    const int calls = *rc::gen::inRange(1, 2000);
    for (int call = 0; call < calls; ++call) {
        now += Duration(*rc::gen::inRange(0, 100) == 0 ? 3'000'000 : *rc::gen::inRange(0, 20'000));
        EndpointLimits &host = limits[static_cast<std::size_t>(*rc::gen::inRange(0, hosts))];
        if (*rc::gen::inRange(0, 50) == 0) {
            host.set(endpoint, CallRate{highest * *rc::gen::inRange(1, 11) / 10}, now);
        }
        if (host.take(endpoint, 1.0 / hosts, now) > 0ms) {
            continue;
        }
        given.push_back(now);
        while (given.front() <= now - window) {
            given.pop_front();
        }
        RC_ASSERT(static_cast<double>(given.size()) <= highest * 4.25 + hosts);
    }
}

} // namespace
} // namespace fescuesill
