#pragma once

// The messages by which hosts exchange the state of hosts, with small facts piggybacked.
//
//     const std::size_t bytes = sizeOf(message);

#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescuesill
{

enum class MemberState {
    Alive,
    Leaving, // alive, takes no new work
    Suspect,
    Dead,
};

struct MemberInfo {
    HostId host;
    DataCentreId dataCentre;
    std::string address;
    MemberState state = MemberState::Alive;
    // Raised only by the host itself, to refute a suspicion or to announce that it leaves.
    std::uint64_t incarnation = 0;
};

// A small named value that spreads to every host; the highest version wins.
struct Fact {
    std::string name;
    std::uint64_t version = 0;
    std::string bytes;
    // Sent with every message and pushed at once. Only for the version of the declaration: each urgent fact reduces the
    // room for everything else.
    bool urgent = false;
};

enum class ProbeKind {
    Probe,
    Ack,
    IndirectProbe, // requests the receiver to probe `target`
    IndirectAck, // `target` acknowledged
};

struct ProbeMessage {
    ProbeKind kind = ProbeKind::Probe;
    HostId from;
    HostId to;
    HostId target; // for the indirect kinds
    std::uint64_t sequence = 0;
    std::vector<MemberInfo> members;
    std::vector<Fact> facts;
    // The age of the latest read of the configuration row that the sender knows of (promise/tablereading.h).
    std::optional<Duration> tableReadAge;
};

// Neither suspected nor dead.
bool isAliveOrLeaving(MemberState state);
// The approximate number of bytes in CBOR, without the transport's; accurate to a few bytes.
std::size_t sizeOf(const MemberInfo &info);
std::size_t sizeOf(const Fact &fact);
std::size_t sizeOf(const ProbeMessage &message);

} // namespace fescuesill
