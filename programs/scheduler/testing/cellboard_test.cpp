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

MemberInfo hostIn(const std::string &host, const std::string &dataCentre)
{
    return MemberInfo{HostId(host), DataCentreId(dataCentre), "10.0.0.1:7000", MemberState::Alive, 1};
}

Declaration oneEngineIn(const std::string &dataCentre)
{
    Engine engine;
    engine.id = EngineId("e1");
    engine.dataCentre = DataCentreId(dataCentre);
    engine.model = ModelId("motor");
    Declaration declaration;
    declaration.engines.push_back(engine);
    return declaration;
}

// The only scheduler of a data centre dies, its engines run on. Their cell must get an owner elsewhere, or nobody
// cancels the streams that a dead entry has left there.
TEST(CellBoard, ACellWithoutASchedulerInItsDataCentreIsOwnedElsewhere)
{
    const Instant start{1h};
    Membership membership(hostIn("athens-a", "athens"), {}, 1, start);
    membership.onHostList({hostIn("piraeus-a", "piraeus")}, start);
    EXPECT_EQ(CellBoard::build(oneEngineIn("piraeus"), membership).news().front().owner, HostId("piraeus-a"));
    EXPECT_EQ(CellBoard::build(oneEngineIn("marousi"), membership).ownedBy(HostId("athens-a")).size()
                  + CellBoard::build(oneEngineIn("marousi"), membership).ownedBy(HostId("piraeus-a")).size(),
              1U);
}

RC_GTEST_PROP(CellBoard, NonsenseIsNoSummary, (const std::string &bytes))
{
    // From any host of the fleet, so it must never bring this one down.
    CellBoard::decode(bytes);
}

} // namespace
} // namespace fescuesill
