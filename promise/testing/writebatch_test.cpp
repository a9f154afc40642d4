#include "promise/writebatch.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace fescuesill
{
namespace
{

const Instant start{1000s};

TEST(WriteBatch, IsDueAfterItsWindowOrWhenFull)
{
    WriteBatch batch({});
    EXPECT_FALSE(batch.due());
    batch.add(1, {"a", "", absent}, start);
    EXPECT_FALSE(batch.take(start + 2ms));
    EXPECT_EQ(batch.take(start + 3ms)->writes.size(), 1U);
    for (int i = 0; i < 64; ++i) {
        batch.add(10 + i, {"k" + std::to_string(i), "", absent}, start + 3ms);
    }
    EXPECT_EQ(batch.take(start + 3ms)->writes.size(), 64U);
}

TEST(WriteBatch, AWriteWaitsForAnEarlierWriteOfTheSameKey)
{
    WriteBatch batch({});
    batch.add(1, {"a", "first", absent}, start);
    batch.add(2, {"a", "second", absent}, start);
    const auto commit = batch.take(start + 3ms);
    EXPECT_EQ(commit->writes.size(), 1U);
    EXPECT_FALSE(batch.due());
    EXPECT_FALSE(batch.take(start + 1s));
    batch.onCommitted(commit->id, {RowVersion(1)});
    EXPECT_EQ(batch.take(start + 1s)->writes.front().value, "second");
}

TEST(WriteBatch, RefusesWritesBeyondItsQueueLimit)
{
    WriteBatch::Options options;
    options.maxWaiting = 2;
    WriteBatch batch(options);
    EXPECT_TRUE(batch.add(1, {"a", "", absent}, start));
    EXPECT_TRUE(batch.add(2, {"b", "", absent}, start));
    EXPECT_FALSE(batch.add(3, {"c", "", absent}, start));
}

// One commit holds bookings of many callers, some of them repeats. Each must end as if it had been written alone, and
// the conflicts of the repeats must not fail the others.
TEST(WriteBatch, EndsEachWriteAsIfItWereAlone)
{
    std::mt19937 random(20261202);
    WriteBatch batch({});
    std::map<std::string, std::int64_t> table;
    std::map<WriteTicket, bool> written;
    int commits = 0;
    Instant now = start;
    for (WriteTicket ticket = 1; ticket <= 500; ++ticket) {
        batch.add(ticket, {"k" + std::to_string(random() % 300), "", absent}, now);
    }
    for (int step = 0; step < 2000; ++step) {
        now += 3ms;
        const auto commit = batch.take(now);
        if (!commit) {
            continue;
        }
        ++commits;
        const auto taken = std::find_if(commit->writes.begin(), commit->writes.end(),
                                        [&](const TableWrite &write) { return table.count(write.key) != 0; });
        std::vector<BatchResult> results;
        if (taken != commit->writes.end()) {
            const auto index = static_cast<std::size_t>(taken - commit->writes.begin());
            results = batch.onConflict(commit->id, index, TableRow{"", RowVersion(table[taken->key])});
        } else {
            std::vector<RowVersion> versions;
            for (const TableWrite &write : commit->writes) {
                table[write.key] = 1;
                versions.emplace_back(1);
            }
            results = batch.onCommitted(commit->id, versions);
        }
        for (const BatchResult &result : results) {
            EXPECT_EQ(written.count(result.ticket), 0U);
            written[result.ticket] = std::holds_alternative<table::Written>(result.result);
        }
    }
    EXPECT_EQ(written.size(), 500U);
    EXPECT_EQ(static_cast<std::size_t>(
                  std::count_if(written.begin(), written.end(), [](const auto &entry) { return entry.second; })),
              table.size());
    EXPECT_LT(commits, 1000); // less than twice the cost of single writes
}

} // namespace
} // namespace fescuesill
