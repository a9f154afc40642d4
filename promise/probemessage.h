#pragma once

// What hosts say to each other about hosts, and small facts that ride along.
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
    // Raised only by the host itself, to refute a suspicion or to say that it leaves.
    std::uint64_t incarnation = 0;
};

// A small value under a name that spreads to every host; the highest version wins.
struct Fact {
    std::string name;
    std::uint64_t version = 0;
    std::string bytes;
    // Rides on every message and is pushed on at once. For the version of the declaration alone: each takes its bytes
    // from everything else.
    bool urgent = false;
};

enum class ProbeKind {
    Probe,
    Ack,
    IndirectProbe, // please probe `target` for me
    IndirectAck, // `target` answered
};

struct ProbeMessage {
    ProbeKind kind = ProbeKind::Probe;
    HostId from;
    HostId to;
    HostId target; // with the indirect kinds
    std::uint64_t sequence = 0;
    std::vector<MemberInfo> members;
    std::vector<Fact> facts;
    // How long ago somebody whom the sender heard of read the configuration row (promise/tablereading.h).
    std::optional<Duration> tableReadAge;
};

// Whether somebody hears the host: not suspected, not dead.
bool isAliveOrLeaving(MemberState state);
// Bytes on the wire, transport left out; within a few of what CBOR takes.
std::size_t sizeOf(const MemberInfo &info);
std::size_t sizeOf(const Fact &fact);
std::size_t sizeOf(const ProbeMessage &message);

} // namespace fescuesill
