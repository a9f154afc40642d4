#pragma once

// The latest changes of a table, for hosts that have all but some of them.
//
//     RecentRows recent;
//     recent.restart(version);                  // the table was read whole at that version of the store
//     recent.add(rows, before, version);        // what changed after `before`, up to `version`
//     if (recent.reaches(has)) { send(recent.after(has)); }
//
// Load: all hosts of a large fleet link to a new leader at once. Harm prevented: it sends each of them the whole table;
// at 300 hosts and 3,000 endpoints that took 90 MB of its memory, and the platform killed it.

#include "wire/messages.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace fescuesill
{

class RecentRows
{
public:
    // Some 300 bytes each; a follower is behind by a second or two, in which a fleet of thousands changes some hundred.
    static constexpr std::size_t mostRows = 500;

    void restart(std::int64_t version);
    void add(const std::vector<peer::RegistryRow> &rows, std::int64_t before, std::int64_t version);
    // Whether all that changed after that version is here; not for one that is too far behind, or ahead.
    bool reaches(std::int64_t version) const;
    peer::RegistryUpdate after(std::int64_t version) const;

private:
    std::deque<peer::RegistryRow> rows;
    std::int64_t since = 0; // all changes after this version are among them
    std::int64_t newest = 0;
};

} // namespace fescuesill
