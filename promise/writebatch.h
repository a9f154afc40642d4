#pragma once

// Puts single writes to the table together into commits: the platform takes several hundred a second for all of us.
//
//     WriteBatch batch(options);
//     if (!batch.add(ticket, write, now)) { ... full: the store cannot keep up; table::Refused ... }
//     if (std::optional<BatchCommit> commit = batch.take(now)) { ... send; then one of
//         batch.onCommitted(commit->id, versions) / onConflict(commit->id, index, row) / onRefused(id) / onNoReply(id)
//         ... }
//     for (const BatchResult &result : results) { ... resume the owner of result.ticket ... }
//     batch.due();     // when to call take() again

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
        // What a booking waits for others: a tenth of what a commit takes.
        Duration window{3ms};
        // Writes of one commit; 64 rows with answers stay below some 4 MB.
        std::size_t maxWrites = 64;
        // Commits under way at once. With more a slow store is only asked more.
        std::size_t maxInFlight = 4;
        // Writes waiting: a second's worth. Beyond it they are refused at once.
        std::size_t maxWaiting = 1024;
    };

    explicit WriteBatch(Options options);

    // False when too many wait already.
    bool add(WriteTicket ticket, TableWrite write, Instant now);
    // The next commit, where one is due.
    std::optional<BatchCommit> take(Instant now);
    // When take() has something at the latest; none while nothing waits or too much is under way.
    std::optional<Instant> due() const;

    std::vector<BatchResult> onCommitted(std::uint64_t id, const std::vector<RowVersion> &versions);
    // Nothing was written; the write at this index is to blame.
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
    std::vector<BatchResult> completeAll(std::uint64_t id, const BatchResult &model);

    Options options;
    std::deque<Item> waiting;
    std::map<std::uint64_t, Items> inFlight;
    std::set<std::string> keysInFlight;
    // Halved by a conflict, doubled by a success: see the source.
    std::size_t limit;
    std::uint64_t lastId = 0;
};

} // namespace fescuesill
