#include "decide/prefillplan.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

RetryBudget::Options budgetOf(double maxBalance)
{
    return {0.1, maxBalance, maxBalance};
}

// Every prefill engine is unresponsive. Each generation that tries one sends at least twice, so without a check before
// the first prefill the retries exceed the budget by the number of generations. Once the budget is used up, generations
// must go directly to decode engines.
TEST(PrefillPlan, StaysWithinTheBudgetWhileAllPrefillEnginesAreUnresponsive)
{
    RetryBudget budget(budgetOf(2));
    const int generations = 300;
    int beyondFirst = 0;
    for (int number = 0; number < generations; ++number) {
        budget.onSuccess();
        PrefillPlan plan(true);
        int sends = 0;
        PrefillStep step = plan.first(budget, false);
        while (step == PrefillStep::AtPrefillEngine) {
            ++sends;
            step = plan.onFailed(budget);
        }
        ++sends; // to the decode engine
        beyondFirst += sends - 1;
    }
    EXPECT_LE(beyondFirst, generations * 0.1 + 2);
}

TEST(PrefillPlan, UsesPrefillEnginesWithoutFailures)
{
    RetryBudget budget(budgetOf(2));
    for (int number = 0; number < 100; ++number) {
        EXPECT_EQ(PrefillPlan(true).first(budget, true), PrefillStep::AtPrefillEngine);
    }
    EXPECT_EQ(budget.left(), 2);
}

// The retry budget is used up by other calls. Healthy engines are still tried, because a prefill at the decode engine
// would stall the answers that it decodes.
TEST(PrefillPlan, TriesHealthyEnginesWithoutBudget)
{
    RetryBudget budget({0.1, 2, 0});
    EXPECT_EQ(PrefillPlan(true).first(budget, true), PrefillStep::AtPrefillEngine);
    EXPECT_EQ(PrefillPlan(true).first(budget, false), PrefillStep::AtDecodeEngine);
}

TEST(PrefillPlan, TriesASecondEngineAfterOneFailure)
{
    RetryBudget budget(budgetOf(5));
    PrefillPlan plan(true);
    EXPECT_EQ(plan.first(budget, true), PrefillStep::AtPrefillEngine);
    EXPECT_EQ(plan.onFailed(budget), PrefillStep::AtPrefillEngine);
    EXPECT_EQ(plan.onFailed(budget), PrefillStep::AtDecodeEngine);
    EXPECT_EQ(budget.left(), 3);
}

TEST(PrefillPlan, PaysForThePrefillOfASecondSend)
{
    RetryBudget budget(budgetOf(1));
    EXPECT_EQ(PrefillPlan(false).first(budget, true), PrefillStep::AtPrefillEngine);
    EXPECT_EQ(PrefillPlan(false).first(budget, true), PrefillStep::AtDecodeEngine);
}

} // namespace
} // namespace fescuesill
