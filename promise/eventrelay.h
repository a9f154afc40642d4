#pragma once

// Hands on a stream of events in whole events only, and remembers which was the last.
//
//     EventRelay relay;
//     reply.write(relay.take(bytes));            // the whole events among what has come so far
//     relay.lastEvent();                         // "12": where another engine may go on
//     relay.rest();                              // bytes of an event whose end has not come
//
// Failure: an engine stops in the middle of an event. Shown to the caller as it is, the half event would be joined with
// the first one of the engine that goes on, and the caller would read one event that nobody made.

#include "fescuesill/units.h"

#include <string>
#include <string_view>

namespace fescuesill
{

class EventRelay
{
public:
    // An event without an end is handed on no more than this long; larger ones are a fault of the engine.
    static constexpr Bytes maxPending{1 << 20};

    std::string take(std::string_view bytes);
    // The engine that made the pending bytes has ended; another one starts with a whole event.
    void dropRest()
    {
        this->pending.clear();
    }
    const std::string &rest() const
    {
        return this->pending;
    }
    // How many the last take() gave.
    std::int64_t wholeEvents() const
    {
        return this->eventCount;
    }
    // Empty before the first.
    const std::string &lastEvent() const
    {
        return this->lastId;
    }
    bool isTooLong() const
    {
        return static_cast<std::int64_t>(this->pending.size()) > maxPending.value();
    }

private:
    void recordEvents(std::string_view events);

    std::string pending;
    std::string lastId;
    std::int64_t eventCount = 0;
};

} // namespace fescuesill
