#pragma once

// Relays a stream of server-sent events in whole events only, and remembers the id of the last one.
//
//     EventRelay relay(lastEventOfCaller, maxEvents);
//     reply.write(relay.take(bytes));            // the events that are complete so far
//     relay.lastEvent();                         // "12": where another engine may continue
//     if (relay.fault() != RelayFault::None) { ... } // what came next is no part of the stream, and was dropped
//     if (relay.isInsideEvent()) { ... }         // at the end of the body: the stream was broken off
//     relay.rest();                              // bytes that belong to no event yet
//
// An engine may stop in the middle of an event. If the partial event were relayed, the caller would parse it together
// with the first event of the engine that continues, as one corrupt event. Nor may an engine begin a stream anew that
// is to be continued, or send a second answer within it: ids increase over all events that are relayed. Nor are bytes
// relayed that are no events: an engine may send them without end, and a caller that reads slowly would be busy with
// them long after its deadline.

#include "fescuesill/units.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace fescuesill
{

// Why the bytes of an engine are not relayed any further.
enum class RelayFault {
    None,
    NotContinued, // an event whose id is not above the last one, or the head of another answer
    NoEvent, // lines that are neither fields of an event nor comments
    TooLong, // an event, or comments without an event, above maxPending
    TooMany, // events
};
const char *nameOf(RelayFault fault);

class EventRelay
{
public:
    // The maximum size of an incomplete event, and of the comments since the last event.
    static constexpr Bytes maxPending{128 << 10};

    // `before`: the id of the last event that the caller has; empty if it has none.
    explicit EventRelay(std::string_view before = {},
                        std::int64_t maxEvents = std::numeric_limits<std::int64_t>::max());

    // Takes bytes and returns the events that have become complete.
    std::string take(std::string_view bytes);
    // Discards the incomplete event of an engine that stopped; the next engine starts with a whole event.
    void dropRest()
    {
        this->pending.clear();
        this->commentBytes = 0;
        this->found = RelayFault::None;
    }
    // After a fault all that follows is dropped, until dropRest().
    RelayFault fault() const
    {
        return this->found;
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

private:
    // Records the events in the order of their arrival, up to the first fault. Returns the size of those before it.
    std::size_t recordEvents(std::string_view events);
    RelayFault recordEvent(std::string_view event);

    std::string pending;
    std::string lastId;
    std::optional<std::uint64_t> lastNumber; // of lastId or of the caller's last event, if that is a number
    std::int64_t maxCount;
    std::int64_t totalCount = 0;
    std::int64_t eventCount = 0;
    std::size_t commentBytes = 0; // since the last event
    RelayFault found = RelayFault::None;
};

} // namespace fescuesill
