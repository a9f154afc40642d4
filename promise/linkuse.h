#pragma once

// When a link of an entry to the owner of cells is open: from the first message for it until nothing has been said for
// a while and nothing is asked or held there.
//
//     LinkUse use(options);
//     switch (use.onMessage(now)) { case Way::Open: connect(); queue(m); ... case Way::Send: ... }
//     use.onOpened(now); use.onClosed(now);
//     switch (use.tick(isInUse, now)) { case Step::Close: disconnect(); ... case Step::GiveUp: tell who waits ... }
//     use.isOffered();                     // whether new requests may be given to this owner

#include "fescuesill/units.h"

#include <cstddef>

namespace fescuesill
{

class LinkUse
{
public:
    struct Options {
        // An open link costs two messages a second for its heartbeat. Shorter than what a half-open connection needs to
        // be found, so that no request meets one that was silent for longer than a link in use could be.
        Duration idle{4s};
        // A connection to a live host takes a few milliseconds, with a lost packet a second. A request that waits
        // longer is placed without the owner.
        Duration openLimit{500ms};
        // Messages that wait for the link to open: what an entry starts in openLimit at its peak, many times over.
        std::size_t maxQueued = 1024;
    };
    enum class Way {
        Open, // connect, and keep the message until it is open
        Queue, // keep the message
        Send,
        Drop, // the owner is out of reach
    };
    enum class Step {
        None,
        Close,
        GiveUp, // tell whoever waits that the owner is out of reach; connecting goes on
    };

    explicit LinkUse(Options options);

    Way onMessage(Instant now);
    void onOpened(Instant now);
    void onClosed();
    // In use: a request for the owner's cells waits or runs here, or all links are kept for another reason.
    Step tick(bool inUse, Instant now);

    bool isOpen() const;
    bool isOffered() const;

private:
    enum class State {
        Closed,
        Opening,
        Open,
        Lost, // was tried in vain, or broke; is connected anew by itself
    };

    Options options;
    State state = State::Closed;
    Instant openingSince{};
    Instant lastUse{};
    std::size_t queued = 0;
};

} // namespace fescuesill
