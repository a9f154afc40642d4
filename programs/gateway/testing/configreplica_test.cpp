#include "programs/gateway/configreplica.h"

#include "decide/routingchange.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

using Config = std::shared_ptr<const RoutingConfig>;

Route routeAt(int place, int weight)
{
    Route route;
    route.name = "r" + std::to_string(place);
    route.host = "shop.example";
    route.prefix = "/p" + std::to_string(place) + "/";
    route.services = {{ServiceId("s"), weight}};
    return route;
}

// `weights` is indexed by place; a place without a weight has no route.
Config configOf(std::int64_t version, const std::map<int, int> &weights)
{
    std::vector<Route> routes;
    routes.reserve(weights.size());
    for (const auto &[place, weight] : weights) {
        routes.push_back(routeAt(place, weight));
    }
    RoutingConfig config;
    config.version = ConfigVersion(version);
    config.routes = RouteTable::create(std::move(routes)).value();
    return std::make_shared<const RoutingConfig>(std::move(config));
}

Config configWith(std::int64_t version, int routes)
{
    std::map<int, int> weights;
    for (int place = 0; place < routes; ++place) {
        weights[place] = 1;
    }
    return configOf(version, weights);
}

// The updates that a leader sends to its followers when it reads these rows in order.
std::vector<peer::ConfigUpdate> updatesOfLeader(const std::vector<std::pair<std::int64_t, Config>> &rows)
{
    ConfigReplica leader;
    std::vector<peer::ConfigUpdate> sent;
    for (const auto &[row, config] : rows) {
        if (const auto step = leader.takeRow(RowVersion(row), config)) {
            sent.push_back(updateOf(*step));
        }
    }
    return sent;
}

TEST(ConfigReplica, TakesASmallChangeFromTheLeader)
{
    const Config first = configWith(11, 3000);
    const auto sent = updatesOfLeader({{40, first}, {44, configWith(14, 3001)}});
    EXPECT_TRUE(sent[0].change.empty());
    EXPECT_FALSE(sent[1].change.empty());
    EXPECT_LT(sent[1].change.size(), 200U);
    ConfigReplica follower;
    EXPECT_EQ(follower.takeUpdate(sent[0]), ConfigReplica::UpdateOutcome::RowNeeded);
    follower.takeRow(RowVersion(40), first);
    EXPECT_EQ(follower.takeUpdate(sent[1]), ConfigReplica::UpdateOutcome::Applied);
    EXPECT_EQ(follower.config()->version, ConfigVersion(14));
    EXPECT_EQ(follower.config()->routes.all().size(), 3001U);
    EXPECT_EQ(follower.takeUpdate(sent[1]), ConfigReplica::UpdateOutcome::Known);
    EXPECT_EQ(follower.takeUpdate(sent[0]), ConfigReplica::UpdateOutcome::Known);
}

// Guards against a read of the first configuration by each host of a fleet.
TEST(ConfigReplica, TakesTheFirstConfigurationFromTheLeader)
{
    const auto sent = updatesOfLeader({{40, configWith(11, 30)}, {44, configWith(14, 31)}});
    ConfigReplica follower;
    EXPECT_EQ(follower.takeUpdate(sent[0]), ConfigReplica::UpdateOutcome::Applied);
    EXPECT_EQ(follower.config()->version, ConfigVersion(11));
    EXPECT_EQ(follower.config()->routes.all().size(), 30U);
    EXPECT_EQ(follower.row(), RowVersion(40));
    EXPECT_EQ(follower.takeUpdate(sent[1]), ConfigReplica::UpdateOutcome::Applied);
    ConfigReplica behind;
    behind.takeRow(RowVersion(36), configWith(8, 12)); // a complete configuration has no base
    EXPECT_EQ(behind.takeUpdate(sent[0]), ConfigReplica::UpdateOutcome::Applied);
    EXPECT_EQ(behind.config()->routes.all().size(), 30U);
    EXPECT_EQ(behind.takeUpdate(sent[0]), ConfigReplica::UpdateOutcome::Known);
}

TEST(ConfigReplica, ReadsALargeChangeFromTheStore)
{
    const auto sent = updatesOfLeader({{40, configWith(11, 10)}, {44, configWith(14, 5000)}});
    EXPECT_TRUE(sent[1].change.empty());
    ConfigReplica follower;
    follower.takeRow(RowVersion(40), configWith(11, 10));
    EXPECT_EQ(follower.takeUpdate(sent[1]), ConfigReplica::UpdateOutcome::RowNeeded);
}

// Guards against reading a large row twice because the next change arrives while the first read is still running.
TEST(ConfigReplica, AppliesAChangeThatArrivedBeforeItsBaseRow)
{
    const Config large = configWith(14, 5000);
    const auto sent = updatesOfLeader({{40, configWith(11, 10)}, {44, large}, {48, configWith(18, 5001)}});
    ConfigReplica follower;
    follower.takeRow(RowVersion(40), configWith(11, 10));
    follower.takeUpdate(sent[1]);
    EXPECT_EQ(follower.takeUpdate(sent[2]), ConfigReplica::UpdateOutcome::RowNeeded);
    const auto step = follower.takeRow(RowVersion(44), large);
    ASSERT_TRUE(step);
    EXPECT_EQ(step->config->version, ConfigVersion(18));
    EXPECT_EQ(follower.row(), RowVersion(48));
}

// Guards against reverting to an earlier configuration after a late read or an update from a former leader.
TEST(ConfigReplica, NeverRevertsToAnEarlierRow)
{
    ConfigReplica replica;
    ASSERT_TRUE(replica.takeRow(RowVersion(44), configWith(14, 3)));
    EXPECT_FALSE(replica.takeRow(RowVersion(40), configWith(11, 2)));
    EXPECT_FALSE(replica.takeRow(RowVersion(44), configWith(14, 3)));
    EXPECT_EQ(replica.config()->version, ConfigVersion(14));
}

TEST(ConfigReplica, KeepsTheLastReadableRow)
{
    ConfigReplica replica;
    replica.takeRow(RowVersion(40), configWith(11, 2));
    EXPECT_FALSE(replica.takeRow(RowVersion(44), nullptr));
    EXPECT_EQ(replica.row(), RowVersion(44));
    EXPECT_EQ(replica.config()->version, ConfigVersion(11));
    const auto sent = updatesOfLeader({{40, configWith(11, 2)}, {44, nullptr}, {48, configWith(18, 3)}});
    EXPECT_EQ(replica.takeUpdate(sent[1]), ConfigReplica::UpdateOutcome::Applied);
}

TEST(ConfigReplica, RefusesAChangeOfAnotherBase)
{
    const auto sent = updatesOfLeader({{40, configWith(11, 2)}, {44, configWith(14, 3)}});
    ConfigReplica replica;
    replica.takeRow(RowVersion(40), configWith(12, 7));
    EXPECT_EQ(replica.takeUpdate(sent[1]), ConfigReplica::UpdateOutcome::RowNeeded);
    EXPECT_EQ(replica.config()->version, ConfigVersion(12));
}

// One follower of a store whose row changes, with leaders that each read some of the rows. Updates are lost, duplicated
// and reordered, and reads of the store complete after newer updates. The follower's configuration must always equal
// the row that it names, never revert, and equal the last row once the follower has read the rows that it needs.
RC_GTEST_PROP(ConfigReplica, IsAlwaysAtOneRowOfTheStore, ())
{
    std::map<std::int64_t, Config> rows;
    std::map<int, int> weights;
    std::int64_t row = 1;
    const int changes = *rc::gen::inRange(1, 12);
    for (int number = 1; number <= changes; ++number) {
        for (int each = *rc::gen::inRange(0, 4); each >= 0; --each) {
            const int place = *rc::gen::inRange(0, 8);
            const int weight = *rc::gen::inRange(0, 4);
            weights[place] = weight;
            if (weight == 0) {
                weights.erase(place);
            }
        }
        row += *rc::gen::inRange(1, 4);
        const bool isReadable = *rc::gen::inRange(0, 8) > 0;
        rows[row] = isReadable ? configOf(number * 3, weights) : nullptr;
    }
    std::vector<peer::ConfigUpdate> sent;
    for (int leader = 0; leader < 2; ++leader) {
        ConfigReplica replica;
        for (const auto &[version, config] : rows) {
            if (*rc::gen::inRange(0, 3) == 0) {
                continue;
            }
            const auto step = replica.takeRow(RowVersion(version), config);
            sent.push_back(step ? updateOf(*step) : peer::ConfigUpdate{static_cast<std::uint64_t>(version), 0, {}});
        }
    }
    ConfigReplica follower;
    const auto check = [&] {
        const auto at = rows.find(follower.row().value());
        RC_ASSERT((follower.row() == RowVersion()) == (at == rows.end()));
        if (at != rows.end() && at->second) {
            RC_ASSERT(digestOf(*follower.config()) == digestOf(*at->second));
        }
    };
    const int events = sent.empty() ? 0 : *rc::gen::inRange(0, 40);
    for (int each = 0; each < events; ++each) {
        const RowVersion before = follower.row();
        if (*rc::gen::inRange(0, 3) == 0) {
            const auto read = std::next(rows.begin(), *rc::gen::inRange<int>(0, static_cast<int>(rows.size())));
            follower.takeRow(RowVersion(read->first), read->second);
        } else {
            follower.takeUpdate(sent[*rc::gen::inRange<std::size_t>(0, sent.size())]);
        }
        RC_ASSERT(!(follower.row() < before));
        check();
    }
    const auto &last = *rows.rbegin();
    const peer::ConfigUpdate lastUpdate{static_cast<std::uint64_t>(last.first), 0, {}};
    if (follower.takeUpdate(lastUpdate) == ConfigReplica::UpdateOutcome::RowNeeded) {
        follower.takeRow(RowVersion(last.first), last.second);
    }
    RC_ASSERT(follower.row() == RowVersion(last.first));
    check();
}

} // namespace
} // namespace fescuesill
