#pragma once

// Authenticates datagrams between hosts that share a fleet key and accepts each datagram only once.
//
//     DatagramSeal seal(fleetKeys, HostId("athens-a"));
//     const std::string datagram = seal.seal(payload, sharedNow());
//
//     const auto opened = seal.open(datagram, sharedNow());           // at the other end
//     if (!opened) { faultName(opened.error()); }
//     const auto fault = seal.admit({from, to, opened->sentAt}, now); // the names from the payload
//
// The payload has to name sender and receiver; admit() checks them against this host and earlier datagrams.

#include "fescuesill/ids.h"
#include "fescuesill/units.h"
#include "promise/keyring.h"

#include <map>
#include <optional>

namespace fescuesill
{

enum class DatagramFault {
    Malformed, // too short, or of another format
    UnknownKey,
    Forged,
    Stale, // sent too long ago, or the clocks of the hosts differ too much
    Misdirected, // for another host, or from this one
    Replayed,
};
constexpr std::size_t datagramFaults = 6;

const char *faultName(DatagramFault fault);

class DatagramSeal
{
public:
    struct Options {
        // Ten times the clock difference that the ledger and the orders tolerate, so a host that these still work with
        // is never refused for its clock.
        Duration window = 10s;
        // Senders accepted within the window. All hold the key, so the bound is far above a fleet of 340 hosts.
        std::size_t maxSenders = 4096;
    };

    struct Opened {
        std::string_view payload; // points into the datagram passed to open()
        Instant sentAt; // by the sender's shared clock
    };

    struct Delivery {
        HostId from;
        HostId to;
        Instant sentAt;
    };

    // Format, key id, time and MAC.
    static constexpr std::size_t addedBytes = 1 + 4 + 8 + MacKey::macBytes;

    DatagramSeal(const KeyRing &fleet, HostId self);
    DatagramSeal(const KeyRing &fleet, HostId self, Options options);

    std::string seal(std::string_view payload, Instant now);
    tl::expected<Opened, DatagramFault> open(std::string_view datagram, Instant now) const;
    // Returns none if the datagram is accepted.
    std::optional<DatagramFault> admit(const Delivery &delivery, Instant now);

    std::size_t senders() const;

private:
    void evictStale(Instant now);

    KeyRing keys;
    HostId self;
    Options options;
    Instant lastSent;
    std::map<HostId, Instant> lastAccepted; // the latest timestamp accepted from each sender
};

} // namespace fescuesill
