#pragma once

// Relays a stream of server-sent events in whole events only, and remembers the id of the last one.
//
//     EventRelay relay;
//     reply.write(relay.take(bytes));            // the events that are complete so far
//     relay.lastEvent();                         // "12": where another engine may continue
//     if (relay.isInsideEvent()) { ... }         // at the end of the body: the stream was broken off
//     relay.rest();                              // bytes that belong to no event yet
//
// An engine may stop in the middle of an event. If the partial event were relayed, the caller would parse it together
// with the first event of the engine that continues, as one corrupt event.

#include "fescuesill/units.h"

#include <string>
#include <string_view>

namespace fescuesill
{

class EventRelay
{
public:
    // The maximum size of an incomplete event. A larger one is a fault of the engine.
    static constexpr Bytes maxPending{128 << 10};

    std::string take(std::string_view bytes);
    // Discards the incomplete event of an engine that stopped; the next engine starts with a whole event.
    void dropRest()
    {
        this->pending.clear();
    }
    const std::string &rest() const
    {
        return this->pending;
    }
    // True if bytes of an event have arrived that has not ended. A stream that ends there was broken off, whatever its
    // framing says. Complete comment lines after the last event are not an event.
    bool isInsideEvent() const;
    // The number of events that the last take() returned.
    std::int64_t wholeEvents() const
    {
        return this->eventCount;
    }
    // The id of the last event; empty before the first.
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
