#include "promise/configstore.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

const Instant start{100s};
const PeerReach majorityOfSix{4, 5, 5};
const PeerReach minorityOfSix{2, 5, 5};

ConfigRecord recordOf(std::int64_t version)
{
    return {ConfigVersion(version), "eleni", "why", "change-" + std::to_string(version), "text"};
}

ConfigStore servingStore()
{
    ConfigStore store({}, start);
    store.onTableRead(recordOf(3), start);
    store.onReach(majorityOfSix, start);
    store.onPeerVersion(HostId("b"), ConfigVersion(3), start);
    return store;
}

TEST(ConfigRecord, RoundTripsAndRejectsMalformedText)
{
    const auto back = decodeConfigRecord(encode(recordOf(7)));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->version, ConfigVersion(7));
    EXPECT_EQ(back->changeId, "change-7");
    for (const char *bad : {"", "7", "{}", R"({"version":0,"author":"","reason":"","change_id":"","text":""})",
                            R"({"version":1,"author":1,"reason":"","change_id":"","text":""})"}) {
        EXPECT_FALSE(decodeConfigRecord(bad)) << bad;
    }
}

TEST(ConfigStore, AStartingHostLearnsFromTheTableAndAPeerBeforeItServes)
{
    ConfigStore store({}, start);
    EXPECT_EQ(store.service(start), ConfigService::Learning);
    store.onReach(majorityOfSix, start);
    EXPECT_TRUE(store.onTableRead(recordOf(3), start));
    EXPECT_EQ(store.service(start), ConfigService::Learning);
    store.onPeerVersion(HostId("b"), ConfigVersion(4), start);
    EXPECT_EQ(store.wanted(), ConfigVersion(4));
    EXPECT_EQ(store.service(start), ConfigService::Learning);
    EXPECT_TRUE(store.onPeerRecord(HostId("b"), recordOf(4), start));
    EXPECT_EQ(store.service(start), ConfigService::Serving);
    EXPECT_EQ(store.version(), ConfigVersion(4));
}

TEST(ConfigStore, WithoutAPeerTheTableSufficesAfterStartWait)
{
    ConfigStore store({}, start);
    store.onReach({0, 5, 5}, start);
    store.onTableRead(recordOf(3), start);
    EXPECT_EQ(store.service(start + 1999ms), ConfigService::Learning);
    EXPECT_EQ(store.service(start + 2s), ConfigService::Serving);
}

// A host is replaced during a table outage. It must not serve an outdated configuration of the first peer that answers.
TEST(ConfigStore, AStartInAnOutageNeedsSeveralServingPeers)
{
    ConfigStore store({}, start);
    store.onTableFailed(start);
    store.onReach(majorityOfSix, start);
    store.onPeerRecord(HostId("b"), recordOf(3), start);
    store.onPeerRecord(HostId("c"), recordOf(5), start);
    EXPECT_EQ(store.service(start), ConfigService::Learning);
    store.onPeerVersion(HostId("d"), ConfigVersion(4), start);
    EXPECT_EQ(store.service(start), ConfigService::Serving);
    EXPECT_EQ(store.version(), ConfigVersion(5));
}

// The table is down for all hosts. No change can be accepted, so all of them continue to serve.
TEST(ConfigStore, AnOutageOfTheTableDoesNotStopTheFleet)
{
    ConfigStore store = servingStore();
    for (int second = 0; second < 600; ++second) {
        const Instant now = start + std::chrono::seconds(second);
        store.onTableFailed(now);
        store.onReach(majorityOfSix, now);
        ASSERT_EQ(store.service(now), ConfigService::Serving) << second;
    }
}

// Three hosts are cut off together from the table and from the other hosts. They must stop serving although they reach
// each other.
TEST(ConfigStore, APartitionedMinorityStopsServingAndLearnsAgain)
{
    ConfigStore store = servingStore();
    store.onReach(minorityOfSix, start + 5s);
    EXPECT_EQ(store.service(start + 9s), ConfigService::Serving);
    store.onReach(minorityOfSix, start + 10s);
    EXPECT_EQ(store.service(start + 10s), ConfigService::CutOff);
    // The partition ends; version 4 was accepted in the meantime.
    store.onReach(majorityOfSix, start + 20s);
    EXPECT_EQ(store.service(start + 20s), ConfigService::Learning);
    store.onTableRead(recordOf(4), start + 21s);
    store.onPeerVersion(HostId("b"), ConfigVersion(4), start + 21s);
    EXPECT_EQ(store.service(start + 21s), ConfigService::Serving);
}

// A process is frozen for a minute in which a change was accepted, and resumes with a queue of old events.
TEST(ConfigStore, AResumedHostLearnsBeforeItServes)
{
    ConfigStore store = servingStore();
    const Instant resumed = start + 60s;
    EXPECT_EQ(store.service(resumed), ConfigService::CutOff);
    store.onReach(majorityOfSix, resumed);
    EXPECT_EQ(store.service(resumed), ConfigService::Learning);
}

RC_GTEST_PROP(ConfigStore, TheVersionNeverDecreases, (const std::vector<std::uint8_t> &arrivals))
{
    ConfigStore store({}, start);
    std::int64_t highest = 0;
    Instant now = start;
    for (const std::uint8_t arrival : arrivals) {
        now += std::chrono::seconds(arrival % 7);
        const std::int64_t version = arrival / 8 + 1;
        if (arrival % 2 == 0) {
            store.onTableRead(recordOf(version), now);
        } else {
            store.onPeerRecord(HostId("b"), recordOf(version), now);
        }
        highest = std::max(highest, version);
        RC_ASSERT(store.version() == ConfigVersion(highest));
    }
}

} // namespace
} // namespace fescuesill
