#pragma once

// Decides when an entry's link to a cell owner is open: from the first message until the link has been idle for a while
// and no request waits or runs there.
//
//     LinkUse use(options);
//     switch (use.onMessage(now)) { case Way::Open: connect(); queue(m); ... case Way::Send: ... }
//     use.onOpened(now); use.onClosed(now);
//     switch (use.tick(isInUse, now)) { case Step::Close: disconnect(); ... case Step::GiveUp: notify waiters ... }
//     use.isOffered();                     // whether new requests may be sent to this owner

#include "fescuesill/units.h"

#include <cstddef>

namespace fescuesill
{

class LinkUse
{
public:
    struct Options {
        // An open link costs two heartbeat messages a second. Shorter than the detection of a half-open connection, so
        // that no request uses a connection that has been silent for longer than one in use could be.
        Duration idle{4s};
        // A connection to a live host takes a few milliseconds, or a second if a packet is lost. A request that would
        // wait longer than this is placed without the owner.
        Duration openLimit{500ms};
        // Messages that wait for the link to open. Many times what an entry starts within openLimit at peak load.
        std::size_t maxQueued = 1024;
    };
    enum class Way {
        Open, // connect, and keep the message until it is open
        Queue, // keep the message
        Send,
        Drop, // the owner is unreachable
    };
    enum class Step {
        None,
        Close,
        GiveUp, // notify waiting requests that the owner is unreachable; connection attempts continue
    };

    explicit LinkUse(Options options);

    Way onMessage(Instant now);
    void onOpened(Instant now);
    void onClosed();
    // `inUse`: a request for the owner's cells waits or runs here, or all links are kept open for another reason.
    Step tick(bool inUse, Instant now);

    bool isOpen() const;
    bool isOffered() const;

private:
    enum class State {
        Closed,
        Opening,
        Open,
        Lost, // could not be opened or broke; the connection is retried automatically
    };

    Options options;
    State state = State::Closed;
    Instant openingSince{};
    Instant lastUse{};
    std::size_t queued = 0;
};

} // namespace fescuesill
