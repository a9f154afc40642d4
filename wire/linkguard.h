#pragma once

// Authenticates the links of one node: runs the handshake of each link with fresh nonces, bounds the number of
// unauthenticated links, and counts the refused ones.
//
//     LinkGuard guard(fleetKeys, {host, listeningAddress});
//     send(link, guard.begin(link, {LinkGuard::Side::Dialled, address}, now));    // a connection was established
//     const auto arrival = guard.on(link, bytes, now);          // on a LinkFault, close the connection
//     send(link, guard.seal(link, payload));                    // after the handshake
//     for (const LinkId late : guard.overdue(now)) { ... close it ... }
//     guard.lost(link, now);                                    // the connection was closed
//     guard.end(link);                                          // the connection was closed by this node
//
// Not thread-safe, except for the counts: all other calls come from the thread of the node.

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
        // Limit on the duration of the handshake. It allows for two round trips to a busy host. A peer that takes
        // longer has to reconnect.
        Duration proofLimit = 2s;
        // Limit on accepted links that are not authenticated yet. Each takes about 20 KB. Even when all 340 hosts of a
        // fleet open links at once, each handshake takes milliseconds.
        std::size_t maxUnproven = 256;
    };

    enum class Side {
        Dialled, // outgoing, to the address of the connection
        Accepted, // incoming, from the address of the connection
    };

    struct Connection {
        Side side = Side::Accepted;
        std::string address;
    };

    struct Arrival {
        std::string reply; // the next message of the handshake to send; empty if there is none
        bool isNowProven = false; // the handshake has just succeeded
        std::optional<std::string_view> payload; // refers to the bytes passed in
    };

    LinkGuard(const KeyRing &fleet, LinkEnd self);
    LinkGuard(const KeyRing &fleet, LinkEnd self, Options options);

    // Starts the handshake. Returns the first message to send, or an empty string if the other end sends first.
    std::string begin(LinkId link, const Connection &connection, Instant now);
    tl::expected<Arrival, LinkFault> on(LinkId link, std::string_view bytes, Instant now);
    std::string seal(LinkId link, std::string_view payload);
    void lost(LinkId link, Instant now);
    void end(LinkId link);

    // The oldest accepted link without a proof, if there are more than maxUnproven.
    std::optional<LinkId> surplus() const;
    // Ends the links that exceeded proofLimit and returns them.
    std::vector<LinkId> overdue(Instant now);

    // Thread-safe.
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
    std::map<LinkId, Guarded> links; // bounded by the links of the node
    std::map<LinkId, Side> unproven; // ids increase, so the first entry is the oldest link
    RefusalLog refusals{"link_refused"};
    std::atomic<std::uint64_t> refusedCount{0};
    std::atomic<std::int64_t> refusedAt{0}; // time of the last refusal, in the unit of Duration; 0 if there was none
};

} // namespace fescuesill
