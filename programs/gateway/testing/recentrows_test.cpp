#include "programs/gateway/recentrows.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

using Table = std::map<std::string, std::string>;

void change(Table &table, const peer::RegistryRow &row)
{
    if (row.isRemoved) {
        table.erase(row.key);
    } else {
        table[row.key] = row.value;
    }
}

// A host reads the table, falls behind by some changes and connects to the leader. The rows that the leader sends must
// bring it to exactly the leader's state. If the leader no longer has them all, it sends nothing and the host reads the
// table again.
RC_GTEST_PROP(RecentRows, BringAHostThatIsBehindToTheSameState, ())
{
    RecentRows recent;
    Table leader;
    std::map<std::int64_t, Table> states; // by version, as a host may have read the table
    std::int64_t version = *rc::gen::inRange<std::int64_t>(1, 1000);
    recent.restart(version);
    states[version] = leader;
    const int transactions = *rc::gen::inRange(1, 300);
    for (int number = 0; number < transactions; ++number) {
        const std::int64_t before = version;
        version += *rc::gen::inRange(1, 4); // other tables use the same sequence of versions
        std::vector<peer::RegistryRow> rows;
        const int changed = *rc::gen::inRange(1, 6);
        for (int each = 0; each < changed; ++each) {
            const std::string key = "e" + std::to_string(*rc::gen::inRange(0, 40));
            const bool isRemoved = *rc::gen::inRange(0, 4) == 0;
            rows.push_back(
                peer::RegistryRow{static_cast<std::uint64_t>(version), key, std::to_string(version), isRemoved});
            change(leader, rows.back());
        }
        recent.add(rows, before, version);
        states[version] = leader;
    }
    for (const auto &[has, state] : states) {
        if (!recent.covers(has)) {
            continue;
        }
        Table follower = state;
        const auto update = recent.after(has);
        for (const peer::RegistryRow &row : update.rows) {
            change(follower, row);
        }
        RC_ASSERT(follower == leader);
        RC_ASSERT(update.version == static_cast<std::uint64_t>(version));
    }
    RC_ASSERT(recent.covers(version));
    RC_ASSERT(!recent.covers(version + 1));
}

TEST(RecentRows, DoesNotServeAHostThatIsTooFarBehind)
{
    RecentRows recent;
    recent.restart(10);
    EXPECT_FALSE(recent.covers(9));
    EXPECT_TRUE(recent.covers(10));
    for (std::int64_t version = 11; version <= 10 + static_cast<std::int64_t>(RecentRows::maxRows) + 3; ++version) {
        const std::vector<peer::RegistryRow> row = {
            peer::RegistryRow{static_cast<std::uint64_t>(version), "e", "", false}};
        recent.add(row, version - 1, version);
    }
    EXPECT_FALSE(recent.covers(10));
    EXPECT_FALSE(recent.covers(12));
    EXPECT_TRUE(recent.covers(13));
    EXPECT_EQ(recent.after(13).rows.size(), RecentRows::maxRows);
    recent.restart(2000);
    EXPECT_FALSE(recent.covers(13));
    EXPECT_TRUE(recent.after(2000).rows.empty());
}

// Guards against followers that take the first change in a new store for a gap and read the store themselves.
TEST(RecentRows, CoverTheChangesFromAnEmptyStore)
{
    RecentRows recent;
    recent.restart(0);
    recent.add({}, 0, 2);
    recent.add({}, 2, 3);
    EXPECT_TRUE(recent.covers(0));
    recent.add({{4, "a", "", false}}, 3, 4);
    EXPECT_EQ(recent.after(0).rows.size(), 1U);
}

} // namespace
} // namespace fescuesill
