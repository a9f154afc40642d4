#pragma once

// Relays the events of one answer of an engine to the caller. While packets are being lost, events are held for a short
// time to be written in fewer packets.
//
//     StreamRelay relay(call, abort, events);
//     if (!relay.run(stream, [&] { ... events have arrived ... }, yield)) { ... events.fault() ... }
//     relay.finish(yield);                     // or relay.flush(yield), if the stream has not ended yet

#include "decide/eventbatch.h"
#include "programs/gateway/forwarding.h"
#include "promise/eventrelay.h"

namespace fescuesill
{

class StreamRelay
{
public:
    using OnEvents = std::function<void()>;

    // `abort` is that of the call to the engine, which is aborted when the caller leaves.
    StreamRelay(const ForwardedCall &call, const CallAbort &abort, EventRelay &events);

    // Relays until the end of the body, after which events may still be held. Returns false after a fault of the relay.
    // Rethrows the HttpError of a broken answer, such as one that has not ended at the deadline. In both cases all
    // whole events have been written. The connection to the engine is closed in every case.
    bool run(LineStream &stream, const OnEvents &onEvents, const asio::yield_context &yield);
    // Writes what is held.
    void flush(const asio::yield_context &yield);
    // Writes what is held and the bytes after the last event, and ends the response.
    void finish(const asio::yield_context &yield);

private:
    bool isFaulty() const;
    bool read(LineStream &stream, const asio::yield_context &yield);
    void take(const OnEvents &onEvents);
    void write(const asio::yield_context &yield);
    void recordCounts();

    const ForwardedCall &call;
    const CallAbort &abort;
    EventRelay &events;
    EventBatch batch;
    std::string bytes; // that have arrived, and are no part of `events` yet
    std::string held; // whole events that are to be written
};

} // namespace fescuesill
