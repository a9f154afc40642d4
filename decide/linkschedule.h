#pragma once

// When the links that prefill results move over are next free.
//
//     LinkSchedule links;
//     const std::size_t link = links.linkOf("rack-7");
//     links.freeAt(link);
//     links.reserve(link, earliest, 80ms);      // returns the end of the transfer

#include "fescuesill/units.h"

#include <algorithm>
#include <string>
#include <unordered_map>
#include <vector>

namespace fescuesill
{

// Transfers on one link are counted one after another. Really they share its rate, but the last of a group ends at the
// same time either way, and the sum of the work is what a new one waits for.
class LinkSchedule
{
public:
    std::size_t linkOf(const std::string &name)
    {
        const auto [entry, added] = this->links.emplace(name, this->ends.size());
        if (added) {
            this->ends.emplace_back();
            this->underWay.push_back(0);
        }
        return entry->second;
    }
    Instant freeAt(std::size_t link) const
    {
        return this->ends[link];
    }
    Instant reserve(std::size_t link, Instant earliest, Duration length)
    {
        this->ends[link] = std::max(this->ends[link], earliest) + length;
        return this->ends[link];
    }
    // Transfers under way, as opposed to those reserved.
    int moving(std::size_t link) const
    {
        return this->underWay[link];
    }
    void begin(std::size_t link)
    {
        ++this->underWay[link];
    }
    void end(std::size_t link)
    {
        --this->underWay[link];
    }
    // A transfer that was counted did not take place.
    void giveBack(std::size_t link, Duration length, Instant now)
    {
        this->ends[link] = std::max(now, this->ends[link] - length);
    }

private:
    // Names come from the declaration.
    std::unordered_map<std::string, std::size_t> links;
    std::vector<Instant> ends;
    std::vector<int> underWay;
};

} // namespace fescuesill
