#pragma once

// The transfers of prefill results that are reserved or under way on each link.
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
// for the sum of the work. What was begun is counted down by the clock, since its end is only heard of with the first
// token, a step or two after it: counted until then, links at two thirds of their rate looked full. Each link without
// transfers starts afresh, so errors do not add up.
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
    // From `ready`, a time from now, until the work reserved and begun is done.
    Duration waitIn(std::size_t link, Duration ready, Instant now) const
    {
        const Link &state = this->links[link];
        const Duration begun = std::max(Duration(0), state.idleAt - now);
        return std::max(Duration(0), state.reservedWork + begun - ready);
    }
    // Under way, as far as their lengths tell.
    int moving(std::size_t link, Instant now) const
    {
        return this->links[link].idleAt > now ? this->links[link].begun : 0;
    }
    // Reserved or under way.
    int count(std::size_t link, Instant now) const
    {
        return this->links[link].reserved + this->moving(link, now);
    }
    // How often a transfer began while another was under way.
    std::uint64_t shared(std::size_t link) const
    {
        return this->links[link].shared;
    }

    void reserve(std::size_t link, Duration length)
    {
        ++this->links[link].reserved;
        this->links[link].reservedWork += length;
    }
    // A reserved transfer does not take place.
    void giveBack(std::size_t link, Duration length)
    {
        --this->links[link].reserved;
        this->links[link].reservedWork -= length;
    }
    // A reserved transfer begins.
    void begin(std::size_t link, Duration length, Instant now)
    {
        this->giveBack(link, length);
        Link &state = this->links[link];
        state.shared += state.idleAt > now ? 1 : 0;
        state.idleAt = std::max(state.idleAt, now) + length;
        ++state.begun;
    }
    void end(std::size_t link)
    {
        Link &state = this->links[link];
        state.idleAt = --state.begun == 0 ? Instant() : state.idleAt;
    }

private:
    struct Link {
        Duration reservedWork{0};
        Instant idleAt; // when what was begun is done
        int reserved = 0;
        int begun = 0; // and not heard of since
        std::uint64_t shared = 0;
    };

    // Names come from the declaration.
    std::unordered_map<std::string, std::size_t> names;
    std::vector<Link> links;
};

} // namespace fescuesill
