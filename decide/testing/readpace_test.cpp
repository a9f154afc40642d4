#include "decide/readpace.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

constexpr Instant start{Duration(1'000'000)};

// How many of a flood start within a span.
int startedWithin(ReadPace &pace, Duration span)
{
    int started = 0;
    for (Duration at{0}; at <= span; at += 1ms) {
        while (pace.mayStart(start + at) && started < 1000) {
            pace.onStarted(Tokens(5000), start + at);
            ++started;
        }
    }
    return started;
}

TEST(ReadPace, FollowsTheSpeedOfThePool)
{
    struct Case {
        std::size_t engines;
        std::optional<double> perTokenUs;
        int least; // in the first second: the rate, and the queue of 150 ms
        int most;
    };
    const Case cases[] = {
        {6, 20.0, 66, 71}, // 60 a second
        {3, 20.0, 33, 37},         {6, 40.0, 33, 37},
        {6, std::nullopt, 66, 71}, {0, 20.0, 1000, 1000}, // nobody reads apart: nothing is held back
    };
    for (const Case &each : cases) {
        ReadPace pace({});
        pace.setPool(each.engines, each.perTokenUs);
        const int started = startedWithin(pace, 1s);
        EXPECT_GE(started, each.least) << each.engines;
        EXPECT_LE(started, each.most) << each.engines;
    }
}

TEST(ReadPace, SavesNothingUpWhileIdle)
{
    ReadPace pace({});
    pace.setPool(1, 20.0);
    pace.onStarted(Tokens(5000), start);
    const Instant later = start + 10s;
    for (int started = 0; started < 2; ++started) { // 100 ms each: the third would wait 200 ms
        ASSERT_TRUE(pace.mayStart(later));
        pace.onStarted(Tokens(5000), later);
    }
    EXPECT_FALSE(pace.mayStart(later));
    EXPECT_EQ(pace.nextStart(), later + 50ms);
}

} // namespace
} // namespace fescuesill
