#include "decide/endpointrests.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

constexpr Instant start{1h};
const EndpointId one("e1");

TEST(EndpointRests, RestsAsLongAsAsked)
{
    const EndpointRests::Options options;
    const struct {
        const char *name;
        std::vector<Duration> asked; // at the start
        Duration rests;
    } cases[] = {
        {"not asked", {}, 0s},
        {"once", {3s}, 3s},
        {"longer later", {1s, 3s}, 3s},
        {"shorter later", {3s, 1s}, 3s},
        {"nothing", {0s}, 0s},
        {"less than nothing", {-3s}, 0s},
        {"too long", {100h}, options.longest},
    };
    for (const auto &each : cases) {
        EndpointRests rests(options);
        for (const Duration asked : each.asked) {
            rests.onAsked(one, asked, start);
        }
        EXPECT_EQ(rests.until(one).value_or(start), start + each.rests) << each.name;
        rests.expire(start + each.rests - 1us);
        EXPECT_EQ(rests.isResting(one), each.rests > 0s) << each.name;
        rests.expire(start + each.rests);
        EXPECT_FALSE(rests.isResting(one)) << each.name;
    }
}

// Guards against memory that grows with the names of endpoints that come and go.
TEST(EndpointRests, RemembersABoundedNumber)
{
    EndpointRests::Options options;
    options.maxEndpoints = 3;
    EndpointRests rests(options);
    for (int number = 0; number < 10; ++number) {
        rests.onAsked(EndpointId("e" + std::to_string(number)), 1s, start);
    }
    EXPECT_EQ(rests.size(), 3U);
    EXPECT_FALSE(rests.onAsked(EndpointId("e0"), 2s, start));
    EXPECT_EQ(rests.until(EndpointId("e0")), start + 2s);
}

// The oracle keeps every request for rest.
RC_GTEST_PROP(EndpointRests, EndsWithTheLatestRequest, ())
{
    EndpointRests rests({});
    std::map<int, Instant> until;
    Instant now = start;
    for (int step = 0; step < 60; ++step) {
        const int endpoint = *rc::gen::inRange(0, 4);
        const EndpointId id(std::to_string(endpoint));
        if (*rc::gen::inRange(0, 3) == 0) {
            const Duration rest = 1ms * *rc::gen::inRange(-100, 3000);
            rests.onAsked(id, rest, now);
            until[endpoint] = std::max(until[endpoint], now + rest);
        }
        now += 1ms * *rc::gen::inRange(0, 500);
        rests.expire(now);
        for (int other = 0; other < 4; ++other) {
            RC_ASSERT(rests.isResting(EndpointId(std::to_string(other))) == (now < until[other]));
        }
    }
}

} // namespace
} // namespace fescuesill
