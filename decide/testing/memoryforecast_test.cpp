#include "decide/memoryforecast.h"

#include <cmath>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

constexpr Instant start{Duration(1'000'000)};

GrowingRun run(std::int64_t prompt, std::int64_t output, Instant begun)
{
    return {Tokens(prompt), {Tokens(output), 0.0, Tokens(output)}, begun};
}

TEST(MemoryForecast, OneRunPeaksAtItsEnd)
{
    EXPECT_NEAR(peakMemory({run(5000, 3000, start)}, 1ms, start).value(), 8000, 10);
    EXPECT_EQ(peakMemory({}, 1ms, start).value(), 0);
}

// Eight generations of a burst start together, each small at first. An engine that counts only their current memory
// (40,000 of 60,000) would accept one more and run out two seconds later.
TEST(MemoryForecast, IncludesTheGrowthOfABurst)
{
    const std::vector<GrowingRun> burst(8, run(5000, 3000, start));
    EXPECT_NEAR(peakMemory(burst, 1ms, start).value(), 64000, 100);
}

// If staggered, the same eight never hold that much together: each ends before the next reaches its full size.
TEST(MemoryForecast, CountsRunsThatEndInTheMeantime)
{
    std::vector<GrowingRun> staggered;
    staggered.reserve(8);
    for (int number = 0; number < 8; ++number) {
        staggered.push_back(run(5000, 3000, start - std::chrono::milliseconds(number * 375)));
    }
    EXPECT_LT(peakMemory(staggered, 1ms, start).value(), 56000);
}

// The oracle advances time one token at a time.
RC_GTEST_PROP(MemoryForecast, AgreesWithStepwiseSimulation, ())
{
    const auto count = *rc::gen::inRange(1, 9);
    std::vector<GrowingRun> runs;
    for (int number = 0; number < count; ++number) {
        const auto age = std::chrono::milliseconds(*rc::gen::inRange(0, 300));
        runs.push_back(run(*rc::gen::inRange(1, 400), *rc::gen::inRange(301, 700), start - age));
    }
    std::int64_t peak = 0;
    for (int step = 0; step < 800; ++step) {
        const Instant now = start + std::chrono::milliseconds(step);
        std::int64_t held = 0;
        for (const GrowingRun &each : runs) {
            const std::int64_t made = (now - each.started) / 1ms;
            held += made <= each.output.median.value() ? each.prompt.value() + made : 0;
        }
        peak = std::max(peak, held);
    }
    // Estimates have a minimum spread of 5%, by which the two may differ.
    const auto forecast = peakMemory(runs, 1ms, start).value();
    RC_ASSERT(std::abs(forecast - peak) <= peak / 10 + 10);
}

TEST(ExpectedOutput, ALongAnswerIsExpectedToGoOn)
{
    const ExpectedOutput output{Tokens(1000), 0.5, Tokens(10000)};
    EXPECT_NEAR(output.remaining(Tokens(0)).value(), 1133, 40); // the mean of a lognormal lies above its median
    EXPECT_GT(output.remaining(Tokens(1500)).value(), 300);
    EXPECT_GT(output.remaining(Tokens(5000)).value(), 500);
    EXPECT_EQ(output.remaining(Tokens(10000)).value(), 0); // never beyond the caller's limit
    EXPECT_EQ((ExpectedOutput{Tokens(10), 0.1, Tokens(10)}).remaining(Tokens(20)).value(), 0);
}

// Lengths and errors of the estimates both have a spread of one half: the best regression line has a slope of one half
// and leaves a spread of 0.35.
TEST(OutputEstimate, LearnsHowFarToTrustEstimates)
{
    std::mt19937_64 random(7);
    std::normal_distribution<double> normal(0, 0.5);
    OutputEstimate estimate;
    for (int number = 0; number < 400; ++number) {
        const double made = 3000 * std::exp(normal(random));
        const double asked = made * std::exp(normal(random));
        estimate.learn(Tokens(std::llround(asked)), Tokens(std::llround(made)));
    }
    const ExpectedOutput large = estimate.expect(Tokens(9000), Tokens(20000));
    EXPECT_NEAR(large.median.value(), 5200, 900);
    EXPECT_NEAR(large.spread, 0.35, 0.07);
    EXPECT_EQ(estimate.expect(Tokens(9000), Tokens(100)).median.value(), 100);
    EXPECT_EQ(OutputEstimate().expect(Tokens(9000), Tokens(20000)).median.value(), 9000);
}

} // namespace
} // namespace fescuesill
