#pragma once

// The transfers of prefill results that are reserved or in progress on each link.
//
//     LinkSchedule links;
//     const std::size_t link = links.linkOf("rack-7");
//     links.reserve(link, 80ms);
//     links.waitIn(link, 100ms, now);  // how long a transfer that is ready in 100 ms would wait for the others
//     links.begin(link, 80ms, now);
//     links.end(link);

#include "fescuesill/units.h"

#include <algorithm>
#include <string>
#include <unordered_map>
#include <vector>

namespace fescuesill
{

// Only sums are kept: whether transfers follow one another or share the rate, a new one that waits for the others waits
// for the sum of their work. The work of transfers in progress decreases with the clock, since their end is reported
// only with the first token, a step or two later; counted until that report, links at two thirds of their rate looked
// full. A link without transfers is reset, so errors do not accumulate.
class LinkSchedule
{
public:
    std::size_t linkOf(const std::string &name)
    {
        const auto [entry, added] = this->names.emplace(name, this->links.size());
        if (added) {
            this->links.emplace_back();
        }
        return entry->second;
    }
    // Time from `ready`, which is relative to now, until the work reserved and in progress is done.
    Duration waitIn(std::size_t link, Duration ready, Instant now) const
    {
        const Link &state = this->links[link];
        const Duration activeWork = std::max(Duration(0), state.idleAt - now);
        return std::max(Duration(0), state.reservedWork + activeWork - ready);
    }
    // Number of transfers in progress, as far as their lengths show.
    int active(std::size_t link, Instant now) const
    {
        return this->links[link].idleAt > now ? this->links[link].active : 0;
    }
    // Number of transfers reserved or in progress.
    int count(std::size_t link, Instant now) const
    {
        return this->links[link].reserved + this->active(link, now);
    }
    // Number of transfers that began while another was in progress.
    std::uint64_t overlaps(std::size_t link) const
    {
        return this->links[link].overlaps;
    }

    void reserve(std::size_t link, Duration length)
    {
        ++this->links[link].reserved;
        this->links[link].reservedWork += length;
    }
    // Cancels the reservation of a transfer that will not take place.
    void cancelReservation(std::size_t link, Duration length)
    {
        --this->links[link].reserved;
        this->links[link].reservedWork -= length;
    }
    // Starts a reserved transfer.
    void begin(std::size_t link, Duration length, Instant now)
    {
        this->cancelReservation(link, length);
        Link &state = this->links[link];
        state.overlaps += state.idleAt > now ? 1 : 0;
        state.idleAt = std::max(state.idleAt, now) + length;
        ++state.active;
    }
    void end(std::size_t link)
    {
        Link &state = this->links[link];
        state.idleAt = --state.active == 0 ? Instant() : state.idleAt;
    }

private:
    struct Link {
        Duration reservedWork{0};
        Instant idleAt; // when the transfers in progress are expected to end
        int reserved = 0;
        int active = 0; // begun and not ended yet
        std::uint64_t overlaps = 0;
    };

    // Names come from the declaration.
    std::unordered_map<std::string, std::size_t> names;
    std::vector<Link> links;
};

} // namespace fescuesill
