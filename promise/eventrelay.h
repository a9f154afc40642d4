#pragma once

// Relays a stream of server-sent events in whole events only, and remembers the id of the last one.
//
//     EventRelay relay(lastEventOfCaller);
//     reply.write(relay.take(bytes));            // the events that are complete so far
//     relay.lastEvent();                         // "12": where another engine may continue
//     if (relay.hasStrayBytes()) { ... }         // what came next does not continue the stream, and was dropped
//     if (relay.isInsideEvent()) { ... }         // at the end of the body: the stream was broken off
//     relay.rest();                              // bytes that belong to no event yet
//
// An engine may stop in the middle of an event. If the partial event were relayed, the caller would parse it together
// with the first event of the engine that continues, as one corrupt event. Nor may an engine begin a stream anew that
// is to be continued, or send a second answer within it: ids increase over all events that are relayed.

#include "fescuesill/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescuesill
{

class EventRelay
{
public:
    // The maximum size of an incomplete event. A larger one is a fault of the engine.
    static constexpr Bytes maxPending{128 << 10};

    // `before`: the id of the last event that the caller has; empty if it has none.
    explicit EventRelay(std::string_view before = {});

    // Takes bytes and returns the events that have become complete.
    std::string take(std::string_view bytes);
    // Discards the incomplete event of an engine that stopped; the next engine starts with a whole event.
    void dropRest()
    {
        this->pending.clear();
        this->isStray = false;
    }
    // Whether an event with an id that is not above the last one, or the head of another answer, has arrived. It was
    // dropped, and so is all that follows until dropRest().
    bool hasStrayBytes() const
    {
        return this->isStray;
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
    // Records the events in the order of their arrival, up to one that does not continue the stream. Returns the size
    // of those before it.
    std::size_t recordEvents(std::string_view events);
    // Returns false if the event does not continue the stream.
    bool recordEvent(std::string_view event);

    std::string pending;
    std::string lastId;
    std::optional<std::uint64_t> lastNumber; // of lastId or of the caller's last event, if that is a number
    std::int64_t eventCount = 0;
    bool isStray = false;
};

} // namespace fescuesill
