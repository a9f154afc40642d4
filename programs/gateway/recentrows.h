#pragma once

// The latest changes of a table, for hosts that are only a few changes behind.
//
//     RecentRows recent;
//     recent.restart(version);                  // the whole table was read at that version of the store
//     recent.add(rows, before, version);        // what changed after `before`, up to `version`
//     if (recent.covers(has)) { send(recent.after(has)); }
//
// When a new leader takes over, all hosts of the fleet connect to it at once. Sending each of them the whole table took
// 90 MB of memory with 300 hosts and 3,000 endpoints, and the leader was killed for it.

#include "wire/messages.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace fescuesill
{

class RecentRows
{
public:
    // A row takes about 300 bytes. A follower is one or two seconds behind, in which a fleet of thousands of endpoints
    // changes about a hundred rows.
    static constexpr std::size_t maxRows = 500;

    void restart(std::int64_t version);
    void add(const std::vector<peer::RegistryRow> &rows, std::int64_t before, std::int64_t version);
    // Rows may have come and gone unseen up to that version.
    void onGap(std::int64_t version);
    // Whether all changes after that version are held; false if the version is too old or newer than the newest held.
    bool covers(std::int64_t version) const;
    peer::RegistryUpdate after(std::int64_t version) const;

private:
    std::deque<peer::RegistryRow> rows;
    std::optional<std::int64_t> since; // all changes after this version are held; empty before the first
    std::int64_t newest = 0;
    std::int64_t gapEnd = 0;
};

} // namespace fescuesill
