#include "promise/ledgersweep.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace fescuesill
{
namespace
{

const Instant start{1000h};
const HostId self("athens-a");
const HostId other("athens-b");

LedgerRecord recordOf(LedgerState state, Instant expiry)
{
    LedgerRecord record;
    record.attempt = AttemptId("a");
    record.entry = self;
    record.state = state;
    record.deadline = start - 200h;
    record.expiry = expiry;
    return record;
}

// A fake of the platform's table. Versions continue across a delete.
class MapTable
{
public:
    void put(const std::string &key, const std::string &value)
    {
        this->rows[key] = {key, value, RowVersion(++this->versions[key])};
    }
    SweepEvent read(const sweep_action::Read &wanted) const
    {
        sweep_event::Rows found;
        for (auto row = this->rows.upper_bound(wanted.after); row != this->rows.end(); ++row) {
            if (found.rows.size() < wanted.limit) {
                found.rows.push_back(row->second);
            }
        }
        return found;
    }
    SweepEvent remove(const sweep_action::Delete &batch)
    {
        for (std::size_t i = 0; i < batch.rows.size(); ++i) {
            const auto row = this->rows.find(batch.rows[i].key);
            if (row == this->rows.end() || row->second.version != batch.rows[i].version) {
                return sweep_event::Conflict{i};
            }
        }
        for (const sweep_action::Deletable &row : batch.rows) {
            ++this->versions[row.key];
            this->rows.erase(row.key);
        }
        return sweep_event::Deleted{};
    }
    SweepEvent perform(const SweepAction &action)
    {
        if (const auto *wanted = std::get_if<sweep_action::Read>(&action)) {
            return this->read(*wanted);
        }
        if (const auto *batch = std::get_if<sweep_action::Delete>(&action)) {
            return this->remove(*batch);
        }
        return sweep_event::TimerExpired{};
    }

    std::map<std::string, SweepRow> rows;
    std::map<std::string, std::int64_t> versions;
};

void runPass(LedgerSweep &sweep, MapTable &table, SweepAction action, Instant now)
{
    const auto passes = sweep.counts().passes;
    while (sweep.counts().passes == passes) {
        action = sweep.on(table.perform(action), now);
    }
}

TEST(LedgerSweep, DeletesOnlyRowsThatAreSettledAndExpired)
{
    LedgerRecord stated = recordOf(LedgerState::Done, start - 3h);
    stated.stated = LedgerStatement{"eleni", "seen", "c1", start - 200h, true};
    struct Case {
        std::string key;
        std::string value;
        bool isKept;
    };
    std::vector<Case> cases = {
        {"call/allotments/w/done", encode(recordOf(LedgerState::Done, start - 2h)), false},
        {"call/bookings-b/w/released", encode(recordOf(LedgerState::Released, start - 2h)), false},
        {"call/bookings/w/open", encode(recordOf(LedgerState::Open, start - 2h)), true},
        {"call/bookings/w/closed", encode(recordOf(LedgerState::Closed, start - 2h)), true},
        {"call/bookings/w/stated", encode(stated), true},
        {"call/bookings/w/fresh", encode(recordOf(LedgerState::Done, start + 1h)), true},
        {"call/bookings/w/clocks", encode(recordOf(LedgerState::Done, start - 1h)), true},
        {"call/bookings/w/malformed", "}", true},
    };
    for (int i = 0; i < 230; ++i) {
        cases.push_back(
            {"call/deposits/w/" + std::to_string(i), encode(recordOf(LedgerState::Done, start - 2h)), false});
    }
    MapTable table;
    for (const Case &one : cases) {
        table.put(one.key, one.value);
    }
    LedgerSweep sweep(self, {});
    sweep.setHosts({self});
    runPass(sweep, table, sweep.start(), start);
    for (const Case &one : cases) {
        EXPECT_EQ(table.rows.count(one.key) == 1, one.isKept) << one.key;
    }
    EXPECT_EQ(sweep.counts().deleted, 232U);
    EXPECT_EQ(sweep.counts().malformed, 1U);
}

TEST(LedgerSweep, EachPartIsAssignedToOneHostAndTheHostsShareOneRate)
{
    MapTable table;
    for (int i = 0; i < 40; ++i) {
        table.put("call/service" + std::to_string(i) + "/w/k", encode(recordOf(LedgerState::Done, start - 2h)));
    }
    double rate = 0;
    std::uint64_t rows = 0;
    for (const HostId &host : {self, other}) {
        MapTable copy = table;
        LedgerSweep sweep(host, {});
        sweep.setHosts({self, other});
        SweepAction action = sweep.start();
        std::string lastFound;
        while (sweep.counts().rows == 0) {
            const auto *wait = std::get_if<sweep_action::Wait>(&action);
            const Duration pause = wait != nullptr ? wait->duration : Duration(0);
            action = sweep.on(copy.perform(action), start);
            const auto *read = std::get_if<sweep_action::Read>(&action);
            if (read != nullptr && read->limit > 1 && sweep.counts().rows == 0) {
                rate += 1 / std::chrono::duration<double>(pause).count();
            }
        }
        runPass(sweep, copy, action, start);
        rows += sweep.counts().rows;
    }
    EXPECT_EQ(rows, 40U);
    EXPECT_NEAR(rate, LedgerSweep::Options().readsPerSecond, 0.1);
}

TEST(LedgerSweep, AHostThatKnowsNoLiveHostsSweepsNothing)
{
    MapTable table;
    table.put("call/bookings/w/k", encode(recordOf(LedgerState::Done, start - 2h)));
    LedgerSweep sweep(self, {});
    SweepAction action = sweep.start();
    for (int i = 0; i < 10; ++i) {
        ASSERT_TRUE(std::holds_alternative<sweep_action::Wait>(action));
        action = sweep.on(table.perform(action), start);
    }
}

// One page is larger than the client accepts, because its answers are large. The sweep must not stop at it.
TEST(LedgerSweep, ReadsFewerRowsAfterAFailedReadAndPausesForCallers)
{
    MapTable table;
    for (int i = 0; i < 20; ++i) {
        table.put("call/bookings/w/" + std::to_string(i), encode(recordOf(LedgerState::Done, start - 2h)));
    }
    LedgerSweep sweep(self, {});
    sweep.setHosts({self});
    SweepAction action = sweep.start();
    while (sweep.counts().passes == 0) {
        const auto *read = std::get_if<sweep_action::Read>(&action);
        const bool isTooMuch = read != nullptr && read->limit > 3;
        action = sweep.on(isTooMuch ? SweepEvent(sweep_event::ReadFailed{}) : table.perform(action), start);
        if (isTooMuch) {
            EXPECT_EQ(std::get<sweep_action::Wait>(action).duration, LedgerSweep::Options().failurePause);
        }
    }
    EXPECT_TRUE(table.rows.empty());
}

// Two hosts sweep the same part, either may be frozen between read and delete for any time, deletes fail, replies are
// lost, and callers continue to use the keys. No row may be deleted that is open, or settled and not yet expired, at
// the time of the delete.
RC_GTEST_PROP(LedgerSweep, RowsChangedAfterTheReadAreNotDeleted, ())
{
    MapTable table;
    LedgerSweep first(self, {});
    LedgerSweep second(other, {});
    first.setHosts({self});
    second.setHosts({other});
    LedgerSweep *const sweeps[] = {&first, &second};
    SweepAction actions[] = {first.start(), second.start()};
    const LedgerState states[] = {LedgerState::Open, LedgerState::Done, LedgerState::Released, LedgerState::Closed};
    for (int step = 0; step < 300; ++step) {
        if (*rc::gen::inRange(0, 3) == 0) {
            const std::string key = "call/bookings/w/" + std::to_string(*rc::gen::inRange(0, 5));
            const Instant expiry = *rc::gen::arbitrary<bool>() ? start - 2h : start + 2h;
            table.put(key, encode(recordOf(states[*rc::gen::inRange(0, 4)], expiry)));
            continue;
        }
        const int who = *rc::gen::inRange(0, 2);
        const auto before = table.rows;
        SweepEvent event = table.perform(actions[who]);
        for (const auto &[key, row] : before) {
            const LedgerRecord record = *decodeLedgerRecord(row.value);
            const bool isSettled = record.state == LedgerState::Done || record.state == LedgerState::Released;
            RC_ASSERT(table.rows.count(key) == 1 || (isSettled && record.expiry < start));
        }
        if (std::holds_alternative<sweep_event::Deleted>(event) && *rc::gen::arbitrary<bool>()) {
            event = sweep_event::DeleteFailed{};
        }
        actions[who] = sweeps[who]->on(event, start);
    }
}

} // namespace
} // namespace fescuesill
