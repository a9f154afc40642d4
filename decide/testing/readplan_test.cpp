#include "decide/readplan.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

RetryBudget::Options budgetOf(double most)
{
    return {0.1, most, most};
}

// Every prefill engine is dark. Each generation that asked one sends at least twice, so without a check before the
// first read the fleet overspends its retries by as many as it has callers; generations must go straight to decode
// engines once the budget is used up, and be served there.
TEST(ReadPlan, StaysWithinTheBudgetWhileAllPrefillEnginesAreDark)
{
    RetryBudget budget(budgetOf(2));
    const int generations = 300;
    int beyondFirst = 0;
    for (int number = 0; number < generations; ++number) {
        budget.onSuccess();
        ReadPlan read(true);
        int sends = 0;
        ReadStep step = read.first(budget, false);
        while (step == ReadStep::AskPrefill) {
            ++sends;
            step = read.onFailed(budget);
        }
        ++sends; // to the decode engine
        beyondFirst += sends - 1;
    }
    EXPECT_LE(beyondFirst, generations * 0.1 + 2);
}

TEST(ReadPlan, AsksPrefillWhileAllIsWell)
{
    RetryBudget budget(budgetOf(2));
    for (int number = 0; number < 100; ++number) {
        EXPECT_EQ(ReadPlan(true).first(budget, true), ReadStep::AskPrefill);
    }
    EXPECT_EQ(budget.left(), 2);
}

// Retries are used up by something else. Engines that have no fault are still asked: reading at the decode engine would
// stall the answers that it writes.
TEST(ReadPlan, AsksSoundEnginesWithoutBudget)
{
    RetryBudget budget({0.1, 2, 0});
    EXPECT_EQ(ReadPlan(true).first(budget, true), ReadStep::AskPrefill);
    EXPECT_EQ(ReadPlan(true).first(budget, false), ReadStep::AtDecode);
}

TEST(ReadPlan, AsksASecondEngineAfterOneFailure)
{
    RetryBudget budget(budgetOf(5));
    ReadPlan read(true);
    EXPECT_EQ(read.first(budget, true), ReadStep::AskPrefill);
    EXPECT_EQ(read.onFailed(budget), ReadStep::AskPrefill);
    EXPECT_EQ(read.onFailed(budget), ReadStep::AtDecode);
    EXPECT_EQ(budget.left(), 3);
}

TEST(ReadPlan, PaysForAReadOfASecondSend)
{
    RetryBudget budget(budgetOf(1));
    EXPECT_EQ(ReadPlan(false).first(budget, true), ReadStep::AskPrefill);
    EXPECT_EQ(ReadPlan(false).first(budget, true), ReadStep::AtDecode);
}

} // namespace
} // namespace fescuesill
