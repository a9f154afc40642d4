#include "programs/gateway/registryrelay.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

constexpr LinkId first{1};
constexpr LinkId second{2};

StoreRow row(const std::string &key, std::int64_t version)
{
    return {key, "value " + std::to_string(version), version, false};
}

StoreRow removedRow(const std::string &key, std::int64_t version)
{
    return {key, {}, version, true};
}

using Rows = std::map<std::string, std::string>;

// What a follower does with an update; false if changes are missing before it.
bool apply(const peer::RegistryUpdate &update, std::int64_t &has, Rows &rows)
{
    if (static_cast<std::int64_t>(update.after) > has) {
        return false;
    }
    for (const peer::RegistryRow &changed : update.rows) {
        if (static_cast<std::int64_t>(changed.version) <= has) {
            continue;
        }
        if (changed.isRemoved) {
            rows.erase(changed.key);
        } else {
            rows[changed.key] = changed.value;
        }
    }
    has = std::max(has, static_cast<std::int64_t>(update.version));
    return true;
}

TEST(RegistryRelay, ForwardsTheChangesSinceTheLastUpdate)
{
    RegistryRelay relay;
    relay.onListed({row("a", 4), row("b", 7)}, 9);
    EXPECT_FALSE(relay.nextUpdate());
    relay.onChanged({}, 9, 12);
    EXPECT_FALSE(relay.nextUpdate());
    relay.onChanged({row("a", 13), removedRow("b", 14)}, 12, 15);
    const auto update = relay.nextUpdate();
    ASSERT_TRUE(update);
    EXPECT_EQ(update->after, 9U);
    EXPECT_EQ(update->version, 15U);
    EXPECT_EQ(update->rows.size(), 2U);
    EXPECT_FALSE(relay.nextUpdate());
}

// Guards against a list by every host of the fleet each time that the store drops its history.
TEST(RegistryRelay, ForwardsALaterListAsChanges)
{
    RegistryRelay relay;
    relay.onListed({row("a", 4), row("b", 7), row("c", 8)}, 9);
    relay.onListed({row("a", 4), row("b", 11), row("d", 12)}, 13);
    const auto update = relay.nextUpdate();
    ASSERT_TRUE(update);
    EXPECT_EQ(update->after, 9U);
    Rows rows{{"a", "value 4"}, {"b", "value 7"}, {"c", "value 8"}};
    std::int64_t has = 9;
    ASSERT_TRUE(apply(*update, has, rows));
    EXPECT_EQ(rows, (Rows{{"a", "value 4"}, {"b", "value 11"}, {"d", "value 12"}}));
}

// Guards against followers that take their table for complete although the host that forwards it has missed rows.
TEST(RegistryRelay, NotifiesFollowersOfRowsThatMayHaveComeAndGone)
{
    RegistryRelay relay;
    relay.onListed({row("a", 4)}, 9);
    relay.onListed({row("a", 4)}, 13);
    const auto update = relay.nextUpdate();
    ASSERT_TRUE(update);
    EXPECT_TRUE(update->hasGap);
    EXPECT_FALSE(relay.nextUpdate());
    EXPECT_TRUE(relay.changesAfter(9)->hasGap);
    EXPECT_FALSE(relay.changesAfter(13)->hasGap);
    relay.onChanged({row("b", 15)}, 13, 15);
    EXPECT_FALSE(relay.nextUpdate()->hasGap);
    relay.onGap(17); // by a host that reads for this one
    relay.onChanged({row("b", 17)}, 15, 17);
    EXPECT_TRUE(relay.nextUpdate()->hasGap);
}

// Guards against new followers that read the store for a second because they listed it later than the leader.
TEST(RegistryRelay, KeepsAFollowerThatIsAheadUntilItHasCaughtUp)
{
    RegistryRelay relay;
    relay.onListed({}, 9);
    relay.addFollower(first, 12);
    EXPECT_TRUE(relay.followerUpdates().empty());
    relay.onChanged({row("a", 13)}, 9, 14);
    const auto updates = relay.followerUpdates();
    ASSERT_EQ(updates.size(), 1U);
    EXPECT_EQ(updates[0].first, first);
    EXPECT_EQ(updates[0].second.after, 12U);
    EXPECT_EQ(updates[0].second.rows.size(), 1U);
    EXPECT_TRUE(relay.followerUpdates().empty());
}

// Guards against a follower that waits for updates although the changes that it lacks are no longer held.
TEST(RegistryRelay, NotifiesAFollowerThatIsTooOld)
{
    RegistryRelay relay;
    relay.onListed({}, 100);
    relay.addFollower(second, 40);
    const auto updates = relay.followerUpdates();
    ASSERT_EQ(updates.size(), 1U);
    EXPECT_GT(updates[0].second.after, 40U);
}

TEST(RegistryRelay, HoldsTheChangesAfterAVersion)
{
    RegistryRelay relay;
    relay.onListed({}, 9);
    relay.onChanged({row("a", 11), row("b", 13)}, 9, 14);
    EXPECT_EQ(relay.changesAfter(9)->rows.size(), 2U);
    EXPECT_EQ(relay.changesAfter(12)->rows.size(), 1U);
    EXPECT_EQ(relay.changesAfter(14)->rows.size(), 0U);
    EXPECT_FALSE(relay.changesAfter(8));
    EXPECT_FALSE(relay.changesAfter(15));
}

// A store with random changes, lists and feeds against a follower that applies only updates: the follower's rows are
// those of the store whenever it has the store's version.
RC_GTEST_PROP(RegistryRelay, KeepsAFollowerEqualToTheStore, ())
{
    RegistryRelay relay;
    std::map<std::string, StoreRow> table;
    std::vector<StoreRow> history;
    std::int64_t version = *rc::gen::inRange<std::int64_t>(0, 3);
    std::int64_t read = version;
    Rows rows;
    std::int64_t has = version;
    relay.onListed({}, version);
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        const std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
        const int action = *rc::gen::inRange(0, 5);
        if (action <= 1) {
            table[key] = row(key, ++version);
            history.push_back(table[key]);
        } else if (action == 2 && table.count(key) > 0) {
            table.erase(key);
            history.push_back(removedRow(key, ++version));
        } else if (action == 3) {
            std::vector<StoreRow> changed;
            std::copy_if(history.begin(), history.end(), std::back_inserter(changed),
                         [read](const StoreRow &each) { return each.version > read; });
            relay.onChanged(changed, read, version);
            read = version;
        } else if (action == 4) {
            std::vector<StoreRow> all;
            all.reserve(table.size());
            for (const auto &[name, each] : table) {
                all.push_back(each);
            }
            relay.onListed(all, version);
            read = version;
        }
        if (const auto update = relay.nextUpdate()) {
            RC_ASSERT(apply(*update, has, rows));
            Rows expected;
            for (const auto &[name, each] : table) {
                expected[name] = each.value;
            }
            RC_ASSERT(has == version);
            RC_ASSERT(rows == expected);
        }
    }
}

} // namespace
} // namespace fescuesill
