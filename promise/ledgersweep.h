#pragma once

// Deletes expired ledger rows in the parts of the key space that are assigned to this host.
//
//     LedgerSweep sweep(self, options);
//     SweepAction action = sweep.start();
//     while (true) {
//         sweep.setHosts(liveHosts);                       // empty: sweeping pauses
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
// In key order. Fewer rows than the limit mean that there are no more.
struct Rows {
    std::vector<SweepRow> rows;
};
struct ReadFailed {
};
struct Deleted {
};
// The row with this index was not at the expected version; nothing was deleted.
struct Conflict {
    std::size_t index = 0;
};
// Refused, or no reply: the delete may or may not have taken effect.
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
// Atomic, each row only at its version. Feed back Deleted, Conflict or DeleteFailed.
struct Delete {
    std::vector<Deletable> rows;
};
// Feed back TimerExpired after the duration.
struct Wait {
    Duration duration;
};
} // namespace sweep_action

// All reads are restricted to keys that begin with ledgerPrefix.
using SweepAction = std::variant<sweep_action::Read, sweep_action::Delete, sweep_action::Wait>;

class LedgerSweep
{
public:
    struct Options {
        // For the whole fleet, whatever its size: half a percent of the table's two thousand reads a second and just
        // over one percent of its several hundred commits a second. While two hosts consider a part their own, for some
        // seconds, it is swept at twice its rate.
        double readsPerSecond = 10;
        double deletesPerSecond = 5;
        // Rows of a page; with the largest stored answers a page has 5 MB.
        std::size_t page = 50;
        // The maximum number of rows that the table accepts in one commit.
        std::size_t rowsPerDelete = 100;
        // Conflicts after which a batch is left to the next pass, because another host is sweeping the part.
        int conflictsPerBatch = 3;
        // How far a clock may be ahead. Rows are kept this much longer, which is 0.6% of seven days.
        Duration clockMargin{1h};
        // Between two passes. In each pass every host finds the services in the table, with one read for each.
        Duration passPause{10min};
        Duration findPause{1s};
        // After a failed read or delete, to leave an overloaded table to the callers.
        Duration failurePause{30s};
    };

    struct Counts {
        std::uint64_t reads = 0;
        std::uint64_t rows = 0;
        std::uint64_t deleted = 0; // confirmed by the table
        std::uint64_t conflicts = 0;
        std::uint64_t malformed = 0; // kept and only counted here; fescuesillctl lists them
        std::uint64_t passes = 0;
    };

    LedgerSweep(HostId self, Options options);

    // The hosts of all data centres that are alive and not leaving.
    void setHosts(std::vector<HostId> hosts);
    SweepAction start();
    SweepAction on(const SweepEvent &event, Instant now);

    Counts counts() const;

private:
    enum class State {
        BetweenPasses,
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
    std::vector<std::string> services; // bounded by the services of the declaration
    std::size_t currentPart = 0;
    std::string cursor;
    bool isPartComplete = false;
    std::size_t limit;
    std::vector<sweep_action::Deletable> deletable; // at most rowsPerDelete plus a page
    int batchConflicts = 0;
    Counts totals;
};

} // namespace fescuesill
