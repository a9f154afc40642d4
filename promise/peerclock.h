#pragma once

// Converts instants of another host's clock into instants of this host's clock that are never too late.
//
//     PeerClock clock(PeerClock::Options{});
//     if (clock.isProbeDue(now)) { clock.onProbeSent(now); ... send `now` to the peer, which returns it with its own
//     time ... } clock.onReply(sent, peerTime, now); if (const auto known = clock.notAfter(peerInstant, now)) { ... the
//     instant was at `*known` or later ... }
//
// A time that a message states as an age would be too late by the time that the message was under way, which has no
// bound on a slow link or at a suspended process.

#include "fescuesill/units.h"

#include <optional>

namespace fescuesill
{

class PeerClock
{
public:
    struct Options {
        // Two clocks that count real time drift apart by less than this share.
        double drift = 0.0005;
        // A reply that took longer makes the result too old by so much, so another probe follows soon.
        Duration goodRoundTrip{100ms};
        Duration probeInterval{30s};
        Duration retryInterval{500ms}; // until there is a good reply
    };

    explicit PeerClock(const Options &given)
        : options(given)
    {
    }

    bool isProbeDue(Instant now) const;
    void onProbeSent(Instant now);
    // The peer's clock showed `peer` at some time between `sent` and `now`.
    void onReply(Instant sent, Instant peer, Instant now);
    // Empty before the first reply.
    std::optional<Instant> notAfter(Instant peer, Instant now) const;

private:
    // What must be added to an instant of the peer, at least.
    struct Offset {
        Duration least{0};
        Instant at;
    };

    Duration leastAt(const Offset &known, Instant now) const;

    Options options;
    std::optional<Offset> offset;
    std::optional<Instant> probed;
    bool isGood = false;
};

} // namespace fescuesill
