#include "programs/scheduler/schedulerstatus.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

double requestsShown(const prometheus::Registry &registry)
{
    for (const prometheus::MetricFamily &family : registry.Collect()) {
        if (family.name == "fescuesill_cell_requests" && !family.metric.empty()) {
            return family.metric.front().gauge.value;
        }
    }
    return -1;
}

// A cell with seven requests goes to another host. Its figures must not stay here, or they are counted on both hosts.
TEST(SchedulerMetrics, ALostCellShowsNothing)
{
    const auto registry = std::make_shared<prometheus::Registry>();
    SchedulerMetrics metrics(registry);
    DirectorStatus director;
    director.cells[CellId{ModelId("motor"), DataCentreId("athens")}].requests = 7;
    metrics.update(PeerStatus(), director);
    EXPECT_EQ(requestsShown(*registry), 7);
    metrics.update(PeerStatus(), DirectorStatus());
    EXPECT_EQ(requestsShown(*registry), 0);
}

} // namespace
} // namespace fescuesill
