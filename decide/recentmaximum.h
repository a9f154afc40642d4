#pragma once

// The largest of the values of the last while.
//
//     RecentMaximum hosts(10s);
//     hosts.add(82, now);
//     hosts.value(now);           // 82 for the next ten seconds at least

#include "fescuesill/units.h"

#include <deque>
#include <utility>

namespace fescuesill
{

class RecentMaximum
{
public:
    explicit RecentMaximum(Duration window)
        : window(window)
    {
    }

    void add(std::size_t value, Instant now)
    {
        // A value is of no use after a later one that is as large, so the values decrease.
        while (!this->values.empty() && this->values.back().second <= value) {
            this->values.pop_back();
        }
        this->values.emplace_back(now, value);
        this->expire(now);
    }
    // 0 if nothing was added for the length of the window.
    std::size_t value(Instant now)
    {
        this->expire(now);
        return this->values.empty() ? 0 : this->values.front().second;
    }

private:
    void expire(Instant now)
    {
        while (!this->values.empty() && now - this->values.front().first > this->window) {
            this->values.pop_front();
        }
    }

    Duration window;
    std::deque<std::pair<Instant, std::size_t>> values;
};

} // namespace fescuesill
