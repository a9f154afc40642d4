#include "programs/scheduler/cellboard.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

TEST(CellBoard, ASummarySurvivesTheWire)
{
    CellSummary summary;
    summary.queueDelay = 120ms;
    summary.prefillPerToken = 75us;
    summary.memoryUse = 0.5;
    summary.freePieces = Pieces(37);
    summary.accepting = false;
    const auto back = CellBoard::decode(CellBoard::encode(summary));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->queueDelay, summary.queueDelay);
    EXPECT_EQ(back->prefillPerToken, summary.prefillPerToken);
    EXPECT_DOUBLE_EQ(back->memoryUse, summary.memoryUse);
    EXPECT_EQ(back->freePieces, summary.freePieces);
    EXPECT_EQ(back->accepting, summary.accepting);
}

RC_GTEST_PROP(CellBoard, NonsenseIsNoSummary, (const std::string &bytes))
{
    // From any host of the fleet, so it must never bring this one down.
    CellBoard::decode(bytes);
}

} // namespace
} // namespace fescuesill
