#pragma once

// The transfers of prefill results that are reserved or under way on each link.
//
//     LinkSchedule links;
//     const std::size_t link = links.linkOf("rack-7");
//     links.reserve(link, 80ms);
//     links.waitIn(link, 100ms);       // how long a transfer that is ready in 100 ms would wait for the others
//     links.begin(link);
//     links.end(link, 80ms);

#include "fescuesill/units.h"

#include <algorithm>
#include <string>
#include <unordered_map>
#include <vector>

namespace fescuesill
{

// Only the sum of the work is kept: whether transfers follow one another or share the rate, a new one that waits for
// the others waits for that sum. What is left of those under way is not known and counts in full, an error of half a
// transfer to the safe side. Each end corrects the sum, so errors do not add up.
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
    Duration waitIn(std::size_t link, Duration ready) const
    {
        return std::max(Duration(0), this->links[link].work - ready);
    }
    int moving(std::size_t link) const
    {
        return this->links[link].underWay;
    }

    // Reserved or under way.
    int count(std::size_t link) const
    {
        return this->links[link].count;
    }

    void reserve(std::size_t link, Duration length)
    {
        ++this->links[link].count;
        this->links[link].work += length;
    }
    // A reserved transfer does not take place.
    void giveBack(std::size_t link, Duration length)
    {
        --this->links[link].count;
        this->links[link].work -= length;
    }
    void begin(std::size_t link)
    {
        ++this->links[link].underWay;
    }
    void end(std::size_t link, Duration length)
    {
        --this->links[link].underWay;
        --this->links[link].count;
        this->links[link].work -= length;
    }

private:
    struct Link {
        Duration work{0};
        int count = 0;
        int underWay = 0;
    };

    // Names come from the declaration.
    std::unordered_map<std::string, std::size_t> names;
    std::vector<Link> links;
};

} // namespace fescuesill
