#include "decide/poolplan.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

constexpr Instant start{Duration(1'000'000)};

// Observes the same sizes and need several times a second.
std::optional<PoolMove> observeFor(PoolPlan &plan, const PoolSizes &sizes, const PoolNeed &need, Instant &now,
                                   Duration span)
{
    for (const Instant end = now + span; now < end; now += 100ms) {
        if (const auto move = plan.observe(sizes, need, now)) {
            return move;
        }
    }
    return std::nullopt;
}

TEST(PoolPlan, FindsTheSplitThatServesMost)
{
    struct Case {
        PoolSizes now;
        PoolNeed need;
        int prefill; // of the best split
    };
    const Case cases[] = {
        {{5, 7}, {1.2, 4.3}, 4}, // three would suffice, but not with the loss of one
        {{21, 39}, {5.0, 17.1}, 15},
        {{2, 2}, {0.1, 1.9}, 2}, // the minimum of a pool
        {{3, 9}, {2.5, 2.5}, 6},
    };
    for (const Case &each : cases) {
        const PoolPlan plan(PoolPlan::Options{});
        EXPECT_NEAR(plan.best(each.now, each.need).prefill, each.prefill, 1) << each.need.decode;
    }
}

// The best split serves as much as any, over random needs and sizes.
TEST(PoolPlan, IsNeverWorseThanAnyOtherSplit)
{
    PoolPlan::Options options;
    options.downShare = 0;
    const PoolPlan plan(options);
    for (int all = 4; all <= 85; all += 3) {
        for (int part = 1; part < 20; ++part) {
            const PoolNeed need{part * 0.05 * all, (20 - part) * 0.05 * all};
            const PoolSizes best = plan.best({all / 2, all - all / 2}, need);
            for (int prefill = 2; prefill <= all - 2; ++prefill) {
                EXPECT_GE(plan.served(best, need), plan.served({prefill, all - prefill}, need) - 1e-9);
            }
        }
    }
}

// Long answers: decode memory runs short while prefill engines are idle. All spare ones move at once.
TEST(PoolPlan, MovesIdlePrefillEnginesBeforeABurst)
{
    PoolPlan plan(PoolPlan::Options{});
    Instant now = start;
    const auto move = observeFor(plan, {21, 39}, {4.0, 24.0}, now, 3s);
    ASSERT_TRUE(move);
    EXPECT_EQ(move->pool, Pool::Decode);
    EXPECT_GE(move->engines, 5);
    EXPECT_LE(now, start + 1500ms);
    const PoolSizes moved{21 - move->engines, 39 + move->engines};
    EXPECT_FALSE(observeFor(plan, moved, {4.0, 24.0}, now, 60s)); // settled on a steady load
    EXPECT_FALSE(observeFor(plan, moved, {8.0, 48.0}, now, 10s)); // a burst of the same mix changes nothing
}

TEST(PoolPlan, MovesNothingUnderALightLoad)
{
    PoolPlan plan(PoolPlan::Options{});
    Instant now = start;
    EXPECT_FALSE(observeFor(plan, {21, 39}, {1.0, 8.0}, now, 60s));
}

// A move of a decode engine interrupts no answer, but the engine is unavailable for seconds, so a crash that lasts five
// seconds must not cause one.
TEST(PoolPlan, MovesOneToPrefillAtATimeAndOnlyAfterALongShortage)
{
    PoolPlan plan(PoolPlan::Options{});
    Instant now = start;
    const PoolNeed longPrompts{9.0, 10.0};
    EXPECT_FALSE(observeFor(plan, {4, 14}, longPrompts, now, 5s));
    EXPECT_FALSE(observeFor(plan, {9, 9}, longPrompts, now, 5s)); // the engines recovered
    const auto move = observeFor(plan, {4, 14}, longPrompts, now, 12s);
    ASSERT_TRUE(move);
    EXPECT_EQ(move->pool, Pool::Prefill);
    EXPECT_EQ(move->engines, 1);
    EXPECT_FALSE(observeFor(plan, {5, 13}, longPrompts, now, 14s));
    EXPECT_TRUE(observeFor(plan, {5, 13}, longPrompts, now, 5s));
}

// Prefill at the minimum of its pool keeps its engines, however short of memory decode is.
TEST(PoolPlan, NeverGoesBelowTheMinimumOfAPool)
{
    PoolPlan plan(PoolPlan::Options{});
    Instant now = start;
    EXPECT_FALSE(observeFor(plan, {2, 10}, {0.01, 30.0}, now, 60s));
}

} // namespace
} // namespace fescuesill
