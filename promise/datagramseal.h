#pragma once

// Datagrams between hosts that share a fleet key: who sends one holds the key, and each is taken once.
//
//     DatagramSeal seal(fleetKeys, HostId("athens-a"));
//     const std::string datagram = seal.seal(payload, sharedNow());
//
//     const auto opened = seal.open(datagram, sharedNow());           // at the other end
//     if (!opened) { faultName(opened.error()); }
//     const auto fault = seal.admit({from, to, opened->sentAt}, now); // the names that stand in the payload
//
// The payload has to name sender and receiver; admit() holds them against this host and against what came before.

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
    Stale, // sent too long ago, or the clocks differ by too much
    Misdirected, // for another host, or from this one
    Replayed,
};
constexpr std::size_t datagramFaults = 6;

const char *faultName(DatagramFault fault);

class DatagramSeal
{
public:
    struct Options {
        // Ten times the difference of clocks that the ledger and orders bear. A host beyond it breaks other promises
        // already; one inside it is heard.
        Duration window = 10s;
        // Senders heard within the window. All hold the key, so a fleet of 340 fits many times over.
        std::size_t maxSenders = 4096;
    };

    struct Opened {
        std::string_view payload; // of the datagram given
        Instant sentAt; // by the sender's shared clock
    };

    struct Delivery {
        HostId from;
        HostId to;
        Instant sentAt;
    };

    // Format, key id, time and code.
    static constexpr std::size_t addedBytes = 1 + 4 + 8 + MacKey::macBytes;

    DatagramSeal(const KeyRing &fleet, HostId self);
    DatagramSeal(const KeyRing &fleet, HostId self, Options options);

    std::string seal(std::string_view payload, Instant now);
    tl::expected<Opened, DatagramFault> open(std::string_view datagram, Instant now) const;
    // None: it is to be taken.
    std::optional<DatagramFault> admit(const Delivery &delivery, Instant now);

    std::size_t senders() const;

private:
    void evictStale(Instant now);

    KeyRing keys;
    HostId self;
    Options options;
    Instant lastSent;
    std::map<HostId, Instant> lastAccepted; // the latest time taken from each sender
};

} // namespace fescuesill
