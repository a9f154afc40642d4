#pragma once

// Divides the memory and the descriptors of a process among those who send to it.
//
//     const MemoryPlan plan = MemoryPlan::of({Bytes(110 << 20), 4100}, 1500);
//     options.connections = plan.connections;
//     options.requestMemory = plan.requests;

#include "fescuesill/units.h"

#include <cstddef>

namespace fescuesill
{

// What a process may use.
struct ProcessResources {
    Bytes memory{0};
    std::size_t files = 0; // descriptors
};

struct MemoryPlan {
    // `connections`: that callers may have open, if memory and descriptors suffice.
    static MemoryPlan of(const ProcessResources &resources, std::size_t connections);

    std::size_t connections = 0; // of callers
    Bytes requests{0}; // of callers, of all connections together
    Bytes checks{0}; // requests at the port of the readiness check
    Bytes replies{0}; // of endpoints that are read as a whole
    Bytes sendBuffers{0}; // what the kernel holds for callers
    std::size_t links = 0; // of other hosts, those that are being opened among them
    std::size_t tunnels = 0; // that other hosts may open
};

} // namespace fescuesill
