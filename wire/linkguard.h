#pragma once

// The proofs of all links of one node: opens each with fresh nonces, bounds those that have proved nothing, and counts
// what it refuses.
//
//     LinkGuard guard(fleetKeys, {host, listeningAddress});
//     send(link, guard.begin(link, {LinkGuard::Side::Dialled, address}, now));    // a connection is up
//     const auto arrival = guard.on(link, bytes, now);          // a LinkFault: end the connection
//     send(link, guard.seal(link, payload));                    // once proven
//     for (const LinkId late : guard.overdue(now)) { ... end it ... }
//     guard.lost(link, now);                                    // the connection is gone
//     guard.end(link);                                          // it was given up here
//
// Used from the thread of the node, but for the counts.

#include "promise/linkauth.h"
#include "wire/linkid.h"
#include "wire/refusallog.h"

#include <atomic>
#include <map>
#include <vector>

namespace fescuesill
{

class LinkGuard
{
public:
    struct Options {
        // Two round trips and a busy host; who needs longer opens again.
        Duration proofLimit = 2s;
        // Accepted and not proven; each holds some 20 KB. All 340 hosts of a fleet opening a link at once take
        // milliseconds each.
        std::size_t maxUnproven = 256;
    };

    enum class Side {
        Dialled, // from here, at this address
        Accepted, // from this address
    };

    struct Connection {
        Side side = Side::Accepted;
        std::string address;
    };

    struct Arrival {
        std::string reply; // of the opening; empty: none
        bool isNowProven = false;
        std::optional<std::string_view> payload; // of the bytes given
    };

    LinkGuard(const KeyRing &fleet, LinkEnd self);
    LinkGuard(const KeyRing &fleet, LinkEnd self, Options options);

    // The first message to send, empty where the other end begins.
    std::string begin(LinkId link, const Connection &connection, Instant now);
    tl::expected<Arrival, LinkFault> on(LinkId link, std::string_view bytes, Instant now);
    std::string seal(LinkId link, std::string_view payload);
    void lost(LinkId link, Instant now);
    void end(LinkId link);

    // The accepted link that has been unproven longest, where there are too many.
    std::optional<LinkId> surplus() const;
    std::vector<LinkId> overdue(Instant now);

    // Safe on any thread.
    std::uint64_t refused() const;
    bool hasRefusedLately(Instant now) const;

private:
    struct Guarded {
        LinkAuth auth;
        Instant since;
        Connection connection;
    };

    void refuse(const Guarded &guarded, const char *cause, Instant now);

    KeyRing keys;
    LinkEnd self;
    Options options;
    std::map<LinkId, Guarded> links; // as many as the node has
    std::map<LinkId, Side> unproven; // ids rise, so the first is the oldest
    RefusalLog refusals{"link_refused"};
    std::atomic<std::uint64_t> refusedCount{0};
    std::atomic<std::int64_t> refusedAt{0}; // in the units of Duration; 0: never
};

} // namespace fescuesill
