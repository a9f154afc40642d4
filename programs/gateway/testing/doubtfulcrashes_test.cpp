#include "programs/gateway/doubtfulcrashes.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

constexpr Instant start{1h};
const std::string address = "10.0.0.1:80";

EndpointRecord record(const std::string &id, std::int64_t incarnation, bool isLeaving = false)
{
    EndpointRecord made;
    made.id = EndpointId(id);
    made.incarnation = incarnation;
    made.address = address;
    made.isLeaving = isLeaving;
    return made;
}

// Each guards against an endpoint that ended under a request and is taken for one that runs, or the other way round.
TEST(DoubtfulCrashes, TheRegistryShowsWhatHasEnded)
{
    using Records = std::vector<EndpointRecord>;
    const struct {
        const char *name;
        Records before; // as the answer broke off
        Records after;
        bool hasEnded;
    } cases[] = {
        {"it is still there", {record("e", 5)}, {record("e", 5)}, false},
        {"it has started again", {record("e", 5)}, {record("e", 6)}, true},
        {"another one is at its address", {record("e", 5)}, {record("f", 1)}, true},
        {"another one beside it", {record("e", 5)}, {record("e", 5), record("f", 1)}, false},
        {"its row is gone", {record("e", 5)}, {}, true},
        {"it has left", {record("e", 5, true)}, {}, false},
        {"it leaves", {record("e", 5, true)}, {record("e", 5, true)}, false},
        {"it has left, and another one is there", {record("e", 5, true)}, {record("f", 1)}, true},
    };
    for (const auto &each : cases) {
        Records listed = each.before;
        DoubtfulCrashes doubtful([&listed](const std::string &) { return listed; });
        doubtful.add(address, {{{EndpointId("e"), 5}, start, start + 1s}, {}});
        EXPECT_TRUE(doubtful.takeConfirmed(start + 1s).empty()) << each.name;
        listed = each.after;
        EXPECT_EQ(doubtful.takeConfirmed(start + 2s).size(), each.hasEnded ? 1U : 0U) << each.name;
        listed = {};
        EXPECT_TRUE(doubtful.takeConfirmed(start + 1h).empty() || !each.hasEnded) << each.name;
    }
}

// Guards against an endpoint that says only after the answer broke off that it leaves.
TEST(DoubtfulCrashes, OneThatLeavesAMomentLaterHasNotEnded)
{
    std::vector<EndpointRecord> listed{record("e", 5)};
    DoubtfulCrashes doubtful([&listed](const std::string &) { return listed; });
    doubtful.add(address, {{{EndpointId("e"), 5}, start, start + 1s}, {}});
    listed = {record("e", 5, true)};
    EXPECT_TRUE(doubtful.takeConfirmed(start + 2s).empty());
    listed.clear();
    EXPECT_TRUE(doubtful.takeConfirmed(start + 3s).empty());
}

// Guards against a crash of another start or endpoint, or a planned stop, that is reported as the port of one closes.
TEST(DoubtfulCrashes, AClosedPortConfirmsThoseOfItsEndpoint)
{
    std::vector<EndpointRecord> listed{record("e", 5)};
    DoubtfulCrashes doubtful([&listed](const std::string &) { return listed; });
    const EndpointStart ended{EndpointId("e"), 5};
    for (const EndpointStart &endpoint :
         {ended, EndpointStart{EndpointId("e"), 4}, EndpointStart{EndpointId("f"), 5}, ended}) {
        doubtful.add(address, {{endpoint, start, start + 1s}, {}});
    }
    EXPECT_EQ(doubtful.takeOf(ended).size(), 2U);
    EXPECT_TRUE(doubtful.takeOf(ended).empty());
    doubtful.add(address, {{ended, start, start + 1s}, {}});
    listed = {record("e", 5, true)};
    EXPECT_TRUE(doubtful.takeOf(ended).empty());
}

} // namespace
} // namespace fescuesill
