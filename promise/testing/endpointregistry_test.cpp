#include "promise/endpointregistry.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

constexpr Instant start{Duration(1'000'000)};
const ServiceId service("s");

EndpointRecord record(const std::string &id, std::int64_t incarnation = 1)
{
    EndpointRecord made;
    made.id = EndpointId(id);
    made.incarnation = incarnation;
    made.service = service;
    made.address = "10.0.0.1:80";
    return made;
}

TEST(EndpointRegistry, ALeavingEndpointTakesNoNewWorkAtOnce)
{
    EndpointRegistry registry({});
    registry.onListed({record("a"), record("b")}, start);
    EXPECT_EQ(registry.usable(service).size(), 2U);
    EndpointRecord leaving = record("a");
    leaving.isLeaving = true;
    registry.onChanged(leaving, start);
    EXPECT_EQ(registry.usable(service).size(), 1U);
    EXPECT_FALSE(registry.mayUse(record("a")));
    registry.onRemoved(EndpointId("b"), start); // removed without announcing that it leaves
    EXPECT_TRUE(registry.usable(service).empty());
}

// Guards against an endpoint that is used again since a row from before its word arrives after it, or returns after an
// outage.
TEST(EndpointRegistry, AnEndpointThatSaidItLeavesIsUsedAgainOnlyOnceItStartedAgain)
{
    EndpointRegistry registry({});
    registry.onListed({record("a"), record("b")}, start);
    EXPECT_TRUE(registry.onLeavingStated(EndpointId("a"), 1));
    EXPECT_FALSE(registry.onLeavingStated(EndpointId("a"), 1));
    EXPECT_EQ(registry.usable(service).size(), 1U);
    registry.onChanged(record("a"), start);
    EXPECT_FALSE(registry.mayUse(record("a")));
    registry.onRemoved(EndpointId("a"), start);
    registry.onChanged(record("a"), start);
    EXPECT_EQ(registry.usable(service).size(), 1U);
    registry.onChanged(record("a", 2), start);
    EXPECT_EQ(registry.usable(service).size(), 2U);
    EXPECT_FALSE(registry.onLeavingStated(EndpointId("a"), 1)); // late, of the start before
    EXPECT_EQ(registry.usable(service).size(), 2U);
}

TEST(EndpointRegistry, KnowsThatAnEndpointLeavesBeforeItsRow)
{
    EndpointRegistry registry({});
    EXPECT_TRUE(registry.onLeavingStated(EndpointId("a"), 1));
    registry.onListed({record("a")}, start);
    EXPECT_TRUE(registry.usable(service).empty());
}

// Guards against memory that grows with the endpoints that have left.
TEST(EndpointRegistry, RemembersABoundedNumberOfEndpointsThatSaidTheyLeave)
{
    EndpointRegistry::Options options;
    options.maxLeaving = 3;
    EndpointRegistry registry(options);
    for (int number = 0; number < 10; ++number) {
        registry.onLeavingStated(EndpointId("e" + std::to_string(number)), 1);
    }
    EXPECT_EQ(registry.leaving().size(), 3U);
    EXPECT_EQ(registry.leaving().count(EndpointId("e9")), 1U);
}

// The table is unavailable for some seconds. Rows expire meanwhile, and live endpoints write them again within two
// seconds. A host that applied the first list after the outage would refuse every caller although every endpoint works.
TEST(EndpointRegistry, KeepsEndpointsWhoseRowsExpiredInAnOutage)
{
    EndpointRegistry registry({});
    registry.onListed({record("back"), record("gone")}, start);
    registry.onStoreLost(start + 1s);
    registry.onStoreRecovered(start + 6s, start + 6s);
    registry.onListed({}, start + 6s);
    EXPECT_EQ(registry.usable(service).size(), 2U);
    registry.onChanged(record("back"), start + 7s);
    registry.expire(start + 8s);
    ASSERT_EQ(registry.usable(service).size(), 1U);
    EXPECT_EQ(registry.usable(service)[0]->id, EndpointId("back"));
}

// The same with single changes instead of a list. An endpoint that announced that it leaves is not kept.
TEST(EndpointRegistry, KeepsNoLeavingEndpointAcrossAnOutage)
{
    EndpointRegistry registry({});
    EndpointRecord leaving = record("leaving");
    leaving.isLeaving = true;
    registry.onListed({record("live"), leaving}, start);
    registry.onStoreLost(start);
    registry.onStoreRecovered(start + 1s, start + 1s);
    registry.onRemoved(EndpointId("leaving"), start + 1s);
    registry.onRemoved(EndpointId("live"), start + 1s);
    EXPECT_EQ(registry.size(), 1U);
    registry.expire(start + 3s);
    EXPECT_EQ(registry.size(), 0U);
}

TEST(EndpointRegistry, RemovesEndpointsAfterTheGracePeriod)
{
    EndpointRegistry registry({});
    registry.onListed({record("a")}, start);
    registry.onStoreLost(start);
    registry.onStoreRecovered(start + 1s, start + 1s);
    registry.onRemoved(EndpointId("a"), start + 4s);
    EXPECT_EQ(registry.size(), 0U);
}

// Guards against using an endpoint that left during an outage for seconds after the table's recovery.
TEST(EndpointRegistry, BoundsTheUseOfMissingEndpointsIfTheRecoveryIsNoticedLate)
{
    struct Case {
        const char *name;
        Duration noticed; // after the last failed read began
        Duration kept; // after the last failed read began
    };
    const Case cases[] = {
        {"noticed at once", 0ms, 2000ms},
        {"noticed after a short read and a pause", 700ms, 2700ms},
        {"noticed after the longest read and a pause", 850ms, 2750ms},
        {"noticed much later", 2350ms, 2750ms},
        {"noticed too late for any use", 3s, 0ms},
    };
    for (const Case &each : cases) {
        EndpointRegistry registry({});
        registry.onListed({record("gone")}, start);
        registry.onStoreLost(start + 1s);
        const Instant failed = start + 10s;
        registry.onStoreRecovered(failed, failed + each.noticed);
        registry.onRemoved(EndpointId("gone"), failed + each.noticed);
        if (each.kept > 0ms) {
            registry.expire(failed + each.kept - 1ms);
            EXPECT_EQ(registry.usable(service).size(), 1U) << each.name;
            registry.expire(failed + each.kept);
        }
        EXPECT_TRUE(registry.usable(service).empty()) << each.name;
    }
}

TEST(EndpointRegistry, DistinguishesIncarnationsOfAnEndpoint)
{
    EndpointRegistry registry({});
    registry.onListed({record("a", 1)}, start);
    EXPECT_TRUE(registry.mayUse(record("a", 1)));
    registry.onChanged(record("a", 2), start);
    EXPECT_FALSE(registry.mayUse(record("a", 1)));
    EXPECT_TRUE(registry.mayUse(record("a", 2)));
}

// Guards against a host that takes its list for complete although endpoints came and went unseen.
TEST(EndpointRegistry, CountsTheGapsInWhichEndpointsMayHaveComeAndGone)
{
    EndpointRegistry registry({});
    registry.onListed({record("a")}, start);
    registry.onChanged(record("b"), start);
    registry.onRemoved(EndpointId("b"), start);
    EXPECT_EQ(registry.gaps(), 0U);
    registry.onRemoved(EndpointId("c"), start); // never seen
    EXPECT_EQ(registry.gaps(), 1U);
    registry.onListed({record("a")}, start);
    EXPECT_EQ(registry.gaps(), 2U);
    registry.onMissed();
    EXPECT_EQ(registry.gaps(), 3U);
}

TEST(EndpointRegistry, TakesNoRowOfAnotherWriterForAMissedEndpoint)
{
    EndpointRegistry registry({});
    registry.onListed({record("a")}, start);
    EXPECT_TRUE(registry.onUnreadable(EndpointId("odd"), start).empty());
    EXPECT_EQ(registry.onUnreadable(EndpointId("a"), start).size(), 1U);
    EXPECT_TRUE(registry.usable(service).empty());
    registry.onRemoved(EndpointId("odd"), start);
    registry.onRemoved(EndpointId("a"), start);
    EXPECT_EQ(registry.gaps(), 0U);
}

// Guards against a version that joins and leaves between two looks at the list, and counts as never seen.
TEST(EndpointRegistry, KnowsTheVersionsOfEnginesThatCameAndWent)
{
    EndpointRegistry registry({});
    EndpointRecord engine = record("a");
    engine.part = EndpointPart::Decode;
    engine.version = SoftwareVersion("v1");
    registry.onListed({engine}, start);
    EXPECT_EQ(registry.takeSeenVersions(service), std::set<SoftwareVersion>{engine.version});
    EXPECT_TRUE(registry.takeSeenVersions(service).empty());
    engine.id = EndpointId("b");
    engine.version = SoftwareVersion("v2");
    registry.onChanged(engine, start);
    registry.onRemoved(engine.id, start);
    EXPECT_EQ(registry.versions(service), std::set<SoftwareVersion>{SoftwareVersion("v1")});
    EXPECT_EQ(registry.takeSeenVersions(service), std::set<SoftwareVersion>{engine.version});
}

} // namespace
} // namespace fescuesill
