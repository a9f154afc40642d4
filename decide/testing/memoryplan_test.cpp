#include "decide/memoryplan.h"

#include "decide/requestbudget.h"

#include <gtest/gtest.h>
#include <vector>

namespace fescuesill
{
namespace
{

constexpr std::int64_t megabyte = 1 << 20;
constexpr std::size_t connectionsWanted = 1500;

struct PlanCase {
    const char *name;
    std::int64_t megabytes;
    std::size_t files;
};

const std::vector<PlanCase> cases = {
    {"smallest host", 64, 256},        {"a host with 88 MB", 88, 4100},   {"a host with 110 MB", 110, 4100},
    {"a host with 260 MB", 260, 4100}, {"a host with 512 MB", 512, 8192}, {"a large host", 32768, 1048576},
};

// What a process of its own needs before anyone sends to it.
constexpr std::int64_t ownMemory = 14 * megabyte;

TEST(MemoryPlan, AllPartsFitIntoTheMemoryTogether)
{
    for (const PlanCase &host : cases) {
        SCOPED_TRACE(host.name);
        const MemoryPlan plan = MemoryPlan::of({Bytes(host.megabytes * megabyte), host.files}, connectionsWanted);
        const std::int64_t connections = static_cast<std::int64_t>(plan.connections) * (12 << 10);
        const std::int64_t links = static_cast<std::int64_t>(plan.links) * (28 << 10);
        const std::int64_t tunnels = static_cast<std::int64_t>(plan.tunnels) * (40 << 10);
        const std::int64_t held = plan.requests.value() * 3 / 2 + plan.checks.value() + 2 * plan.replies.value();
        EXPECT_LE(ownMemory + connections + links + tunnels + held, host.megabytes * megabyte);
    }
}

// Guards against callers that take the descriptors of endpoints, links, tunnels and the store.
TEST(MemoryPlan, DescriptorsSufficeForAllParts)
{
    for (const PlanCase &host : cases) {
        SCOPED_TRACE(host.name);
        const MemoryPlan plan = MemoryPlan::of({Bytes(host.megabytes * megabyte), host.files}, connectionsWanted);
        EXPECT_LE(2 * plan.connections + plan.links + 2 * plan.tunnels + 24, host.files);
    }
}

TEST(MemoryPlan, GivesCallersTheConnectionsThatTheSettingsAllow)
{
    const MemoryPlan plan = MemoryPlan::of({Bytes(260 * megabyte), 4100}, 1400);
    EXPECT_EQ(plan.connections, 1400);
}

// Guards against a host that refuses some of a crowd of small requests although it has the memory.
TEST(MemoryPlan, RunsASmallRequestOnEachConnection)
{
    for (const PlanCase &host : cases) {
        SCOPED_TRACE(host.name);
        const MemoryPlan plan = MemoryPlan::of({Bytes(host.megabytes * megabyte), host.files}, connectionsWanted);
        RequestBudget::Options options;
        options.limit = plan.requests;
        options.connections = plan.connections;
        RequestBudget budget(options);
        constexpr Bytes smallRequest(14 << 10); // with what it takes beside its bytes
        for (std::size_t i = 0; i < plan.connections; ++i) {
            ASSERT_TRUE(budget.start(budget.open(Instant()), smallRequest, Instant()));
        }
    }
}

TEST(MemoryPlan, HoldsTwoOfTheLargestRequestsOfTheSmallestHost)
{
    EXPECT_GE(MemoryPlan::of({Bytes(64 * megabyte), 4100}, connectionsWanted).requests, Bytes(8 * megabyte));
}

} // namespace
} // namespace fescuesill
