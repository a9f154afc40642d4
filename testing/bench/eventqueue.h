#pragma once

// Virtual time: events in order of their time, then of their scheduling.
//
//     EventQueue events;
//     events.after(5ms, [&] { ... });
//     events.runUntil(Instant(120s));

#include "fescuesill/units.h"

#include <functional>
#include <queue>
#include <vector>

namespace fescuesill::bench
{

class EventQueue
{
public:
    Instant now() const
    {
        return this->time;
    }
    void at(Instant when, std::function<void()> event)
    {
        this->events.push(Event{std::max(when, this->time), this->sequence++, std::move(event)});
    }
    void after(Duration delay, std::function<void()> event)
    {
        this->at(this->time + delay, std::move(event));
    }
    void runUntil(Instant end)
    {
        while (!this->events.empty() && this->events.top().when <= end) {
            const auto event = std::move(const_cast<Event &>(this->events.top()).run);
            this->time = this->events.top().when;
            this->events.pop();
            event();
        }
        this->time = end;
    }

private:
    struct Event {
        Instant when;
        std::uint64_t sequence;
        std::function<void()> run;

        friend bool operator<(const Event &a, const Event &b)
        {
            return a.when != b.when ? a.when > b.when : a.sequence > b.sequence;
        }
    };

    Instant time;
    std::uint64_t sequence = 0;
    std::priority_queue<Event> events;
};

} // namespace fescuesill::bench
