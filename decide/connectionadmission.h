#pragma once

// Bounds the new connections that a host reads while its network link or its processor is at its limit.
//
//     ConnectionAdmission admission(options);
//     if (!admission.admits(now)) { ... close the connection unread, and listen again once mayAdmit() ... }
//     const auto change = admission.onTick({bytesReceived, bytesSent, lateness}, now);     // periodically
//
// Guards against a host that gets most new connections of its fleet and reads more requests than it can answer in time.

#include "fescuesill/units.h"

#include <cstdint>
#include <optional>

namespace fescuesill
{

// What a host has used since its start, and how late its timers run.
struct HostUse {
    std::uint64_t received = 0; // bytes
    std::uint64_t sent = 0; // bytes
    Duration lateness{0}; // of the last timer
    std::uint64_t failures = 0; // connections of this host that could not be opened in time
};

class ConnectionAdmission
{
public:
    struct Options {
        double linkBytesPerSecond = 0; // each way; 0 if unknown
        // Share of the link from which on it is full. Packet headers and acknowledgements, which are not counted, take
        // a further part, and the streams in progress grow for some seconds.
        double fullLink = 0.7;
        // Lateness of timers from which on the processor is full, if it lasts for several of them.
        Duration fullLateness{100ms};
        int lateTimers = 3;
        // Share of the link from which on a host that is limited is still full if its own connections fail: packets
        // that are sent again fill the link, and are not counted. A host that carries less has lost its paths.
        double failingLink = 0.1;
        // Time constant of the use of the link.
        Duration smoothing{300ms};
        // Factor by which the rate is cut, and the time between two cuts, in which the last one shows.
        double cut = 0.7;
        Duration cutInterval{400ms};
        // Factor by which the rate grows in a second while there is room.
        double growth = 2;
        // After this time without a connection beyond the limit, the limit is given up if it is well above what comes.
        Duration needlessAfter{2s};
        // Connections a second that are always read: they show whether there is room again, and the host stays in use.
        double leastRate = 10;
        // Connections that may be read at once, as the rate allows in this time.
        Duration burst{200ms};
    };

    explicit ConnectionAdmission(const Options &given)
        : options(given)
    {
    }

    // Whether a connection that has just been accepted is to be read.
    bool admits(Instant now);
    // Whether the next connection would be admitted.
    bool mayAdmit(Instant now);
    // Returns whether the host is limited from now on, if that has changed.
    std::optional<bool> onTick(const HostUse &use, Instant now);

    // Whether delays of this host's own calls come from the host itself.
    bool isFull() const
    {
        return this->full;
    }
    double linkShare() const
    {
        return this->share;
    }
    // Connections a second that are read; empty if not limited.
    std::optional<double> rate() const
    {
        return this->limit;
    }
    std::uint64_t leftUnread() const
    {
        return this->unread;
    }

private:
    void refill(Instant now);
    void measure(const HostUse &use, double seconds);
    void cut(Instant now);
    void grow(double seconds, Instant now);

    Options options;
    std::optional<Instant> lastTick;
    HostUse lastUse;
    double share = 0; // of the link in use, smoothed
    int lateSeen = 0; // timers in a row
    bool full = false;
    std::optional<double> limit; // connections a second
    std::optional<Instant> lastCut;
    double shareAtCut = 0;
    std::optional<Instant> lastUnread;
    double permits = 0;
    std::optional<Instant> lastRefill;
    double offered = 0; // connections since the last tick
    double offeredRate = 0; // a second, smoothed
    std::uint64_t unread = 0;
};

} // namespace fescuesill
