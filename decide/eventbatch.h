#pragma once

// Decides when to write the events of one stream that have arrived from its engine, and counts stalls. While packets
// are being lost, events are held for a short time to be written in fewer, fuller packets.
//
//     EventBatch batch(EventBatch::Options{});
//     batch.setHolding(isLossSeen);
//     batch.onArrived(whole.size(), wholeEvents, now);   // after each read, also of no whole event
//     if (batch.isDue(now)) {
//         ... write all that is held ...
//         batch.onWritten(began, now);
//     } else {
//         ... wait for the engine until batch.holdUntil(), and ask again ...
//     }
//
// The held bytes themselves are the caller's. It writes all of them, without asking, at the end of the stream, on a
// fault and before anything else is written. A stream that continues on another engine has a new EventBatch.

#include "fescuesill/units.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace fescuesill
{

class EventBatch
{
public:
    struct Options {
        // Since the first held event arrived. Half of the time in which an event must reach the caller.
        Duration holdLimit{100ms};
        // Three events of 400 bytes fill one segment of 1,460 bytes.
        std::size_t fullSize = 1200;
        // A lost packet is resent after 200 ms or more, and the events queued behind it arrive with it, in one read or
        // in several that follow each other. A slow engine delivers one event after a pause, and the next one only
        // after its usual interval.
        Duration stallGap{190ms};
        std::size_t stallEvents = 2;
        Duration stallSpan{20ms};
    };
    struct Counts {
        std::int64_t events = 0;
        std::int64_t writes = 0;
        std::int64_t stalls = 0;
    };

    explicit EventBatch(const Options &options)
        : options(options)
    {
    }

    // Takes effect at once: what is held when it is switched off is due.
    void setHolding(bool isOn);
    // A read returned `bytes` bytes of whole events; both are 0 if it returned only a part of an event.
    void onArrived(std::size_t bytes, std::size_t events, Instant now);
    // All that was held has been written, from `began` to `ended`.
    void onWritten(Instant began, Instant ended);

    bool isDue(Instant now) const;
    // When what is held is due at the latest; empty if nothing is held.
    std::optional<Instant> holdUntil() const;
    std::size_t heldBytes() const;
    // What was counted since the last call.
    Counts takeCounts();

private:
    bool mayHold() const;
    void countStall(std::size_t newEvents, Instant now);

    Options options;
    bool isHolding = false;
    bool isFirstWritten = false; // the first event of the response
    std::size_t bytes = 0; // held
    std::size_t events = 0; // held
    Instant heldSince;
    std::optional<Instant> lastRead;
    Duration writing{0}; // since lastRead
    std::optional<Instant> gapEnd; // of a gap that is not known to be a stall yet
    std::size_t eventsAfterGap = 0;
    Counts counts;
};

} // namespace fescuesill
