#pragma once

// Batches single table writes into commits, because the platform accepts only several hundred commits a second in
// total.
//
//     WriteBatch batch(options);
//     if (!batch.add(ticket, write, now)) { ... queue full, the table is too slow: table::Refused ... }
//     if (std::optional<BatchCommit> commit = batch.take(now)) { ... send; then one of
//         batch.onCommitted(commit->id, versions) / onConflict(commit->id, index, row) / onRefused(id) / onNoReply(id)
//         ... }
//     for (const BatchResult &result : results) { ... resume the owner of result.ticket ... }
//     batch.due();     // the next time to call take()

#include "promise/tablerow.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace fescuesill
{

using WriteTicket = std::uint64_t;

struct BatchCommit {
    std::uint64_t id = 0;
    std::vector<TableWrite> writes;
};

struct BatchResult {
    WriteTicket ticket = 0;
    std::variant<table::Written, table::Conflict, table::Refused, table::NoReply> result;
};

class WriteBatch
{
public:
    struct Options {
        // How long a write waits for others: a tenth of the duration of a commit.
        Duration window{3ms};
        // Per commit; 64 rows with answers stay below about 4 MB.
        std::size_t maxWrites = 64;
        // Concurrent commits. More would only add load to a slow table.
        std::size_t maxInFlight = 4;
        // Waiting writes: about those of one second. Further writes are refused immediately.
        std::size_t maxWaiting = 1024;
    };

    explicit WriteBatch(Options options);

    // Returns false if too many writes are waiting.
    bool add(WriteTicket ticket, TableWrite write, Instant now);
    // The next commit, if one is due.
    std::optional<BatchCommit> take(Instant now);
    // The time from which take() returns a commit; none if no write can be sent or too many commits are in flight.
    std::optional<Instant> due() const;

    std::vector<BatchResult> onCommitted(std::uint64_t id, const std::vector<RowVersion> &versions);
    // Nothing was written; the write at this index caused the conflict.
    std::vector<BatchResult> onConflict(std::uint64_t id, std::size_t index, std::optional<TableRow> row);
    std::vector<BatchResult> onRefused(std::uint64_t id);
    std::vector<BatchResult> onNoReply(std::uint64_t id);

private:
    struct Item {
        WriteTicket ticket = 0;
        TableWrite write;
        Instant due;
    };
    using Items = std::vector<Item>;

    Items remove(std::uint64_t id);
    std::vector<BatchResult> completeAll(std::uint64_t id, const BatchResult &common);

    Options options;
    std::deque<Item> waiting;
    std::map<std::uint64_t, Items> inFlight;
    std::set<std::string> keysInFlight;
    // Halved by a conflict and doubled by a success; see the source.
    std::size_t limit;
    std::uint64_t lastId = 0;
};

} // namespace fescuesill
