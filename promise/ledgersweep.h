#pragma once

// Deletes ledger rows whose time is over, in the part of the key space that falls to this host.
//
//     LedgerSweep sweep(self, options);
//     SweepAction action = sweep.start();
//     while (true) {
//         sweep.setHosts(liveHosts);                       // empty: sweep nothing now
//         action = sweep.on(perform(action), sharedNow());
//     }

#include "promise/ledgerrecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fescuesill
{

struct SweepRow {
    std::string key;
    std::string value;
    RowVersion version;
};

namespace sweep_event
{
struct TimerExpired {
};
// In the order of their keys; fewer than asked for: there are no more.
struct Rows {
    std::vector<SweepRow> rows;
};
struct ReadFailed {
};
struct Deleted {
};
// The row with this index was not at its version; nothing was deleted.
struct Conflict {
    std::size_t index = 0;
};
// Refused, or no reply: it may have taken effect or not.
struct DeleteFailed {
};
} // namespace sweep_event

using SweepEvent = std::variant<sweep_event::TimerExpired, sweep_event::Rows, sweep_event::ReadFailed,
                                sweep_event::Deleted, sweep_event::Conflict, sweep_event::DeleteFailed>;

namespace sweep_action
{
// Feed back Rows or ReadFailed.
struct Read {
    std::string after;
    std::size_t limit = 0;
};
struct Deletable {
    std::string key;
    RowVersion version;
};
// All or nothing, each row only at its version. Feed back Deleted, Conflict or DeleteFailed.
struct Delete {
    std::vector<Deletable> rows;
};
// Feed back TimerExpired after the duration.
struct Wait {
    Duration duration;
};
} // namespace sweep_action

// All reads are of rows whose keys begin with ledgerPrefix.
using SweepAction = std::variant<sweep_action::Read, sweep_action::Delete, sweep_action::Wait>;

class LedgerSweep
{
public:
    struct Options {
        // Of the whole fleet, whatever its size: half a percent of the table's two thousand reads a second and just
        // over one percent of several hundred commits. Two owners for some seconds double a part's share.
        double readsPerSecond = 10;
        double deletesPerSecond = 5;
        // Rows of a page: the largest answers kept make 5 MB of it.
        std::size_t page = 50;
        // Rows of one commit; the table takes no larger ones.
        std::size_t rowsPerDelete = 100;
        // Conflicts after which a batch is left to the next pass: another sweeper is at work in the part.
        int conflictsPerBatch = 3;
        // By how much a clock may be ahead. Rows are kept this much longer, which costs 0.6% of seven days.
        Duration clockMargin{1h};
        // Between two passes. Each host looks for the services in the table once a pass, one read for each.
        Duration passPause{10min};
        Duration findPause{1s};
        // After a read or delete that failed: a table in trouble is left to the callers.
        Duration failurePause{30s};
    };

    struct Counts {
        std::uint64_t reads = 0;
        std::uint64_t rows = 0;
        std::uint64_t deleted = 0; // surely
        std::uint64_t conflicts = 0;
        std::uint64_t malformed = 0; // kept, and named in no other way: fescuesillctl lists them
        std::uint64_t passes = 0;
    };

    LedgerSweep(HostId self, Options options);

    // Hosts of all data centres that are alive and not leaving.
    void setHosts(std::vector<HostId> hosts);
    SweepAction start();
    SweepAction on(const SweepEvent &event, Instant now);

    Counts counts() const;

private:
    enum class State {
        BetweenPasses, // between passes
        FindingServices, // the services that have rows
        BeforeRead,
        Reading,
        BeforeDelete,
        Deleting,
    };

    SweepAction waitForNextPass();
    SweepAction findServices();
    SweepAction onServiceFound(const sweep_event::Rows &found);
    SweepAction beginParts();
    SweepAction wait(State next, Duration duration);
    SweepAction nextRead();
    SweepAction read(const std::string &after, std::size_t limit);
    SweepAction onPage(const sweep_event::Rows &page, Instant now);
    SweepAction afterPage();
    SweepAction sendDelete();
    SweepAction onConflict(std::size_t index);
    SweepAction onReadFailed();
    void examine(const SweepRow &row, Instant now);
    bool isOwnPart(const std::string &service) const;
    Duration pace(double fleetRate) const;

    HostId self;
    Options options;
    std::vector<HostId> hosts;
    State state = State::BetweenPasses;
    std::vector<std::string> services; // bounded by the declaration's services
    std::size_t currentPart = 0;
    std::string cursor;
    bool isPartComplete = false;
    std::size_t limit;
    std::vector<sweep_action::Deletable> deletable; // at most rowsPerDelete and a page
    int batchConflicts = 0;
    Counts totals;
};

} // namespace fescuesill
