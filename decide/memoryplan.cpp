// Shares of the memory: a fifth for the requests of callers, a sixth for their connections, an eighth for links of
// other hosts, and a sixteenth each for tunnels and for replies of endpoints, which are held twice while they are
// forwarded. The rest is the program's own, what the allocator takes beyond the size of requests that grow and end,
// half as much again, and what the kernel receives for connections before they are read.
//
// Each request that runs takes a connection to an endpoint beside that of its caller, and a tunnel takes two. So
// callers may take half of the descriptors that remain once links, tunnels, the store, checks and files have theirs.

#include "decide/memoryplan.h"

#include <algorithm>

namespace fescuesill
{
namespace
{

constexpr std::int64_t connectionBytes = 12 << 10; // without a request: the stack and its object
constexpr std::int64_t linkBytes = 28 << 10; // buffers
constexpr std::int64_t tunnelBytes = 40 << 10; // stacks and buffers, both ways
constexpr std::size_t mostLinks = 2048; // several times the links of 340 entries in one data centre
constexpr std::size_t mostTunnels = 256;
constexpr std::size_t mostOtherFiles = 144; // the store, checks, logs and libraries
constexpr std::size_t least = 8; // of any kind, however little there is
constexpr Bytes mostReplies{8 << 20};
constexpr Bytes mostSendBuffers{64 << 20};

std::size_t fitting(Bytes part, std::int64_t each)
{
    return static_cast<std::size_t>(part.value() / each);
}

Bytes partOf(Bytes memory, std::int64_t divisor)
{
    return Bytes(memory.value() / divisor);
}

} // namespace

MemoryPlan MemoryPlan::of(const ProcessResources &resources, std::size_t connections)
{
    const Bytes memory = resources.memory;
    const std::size_t files = resources.files;
    const std::size_t reserved = files / 4 + std::min(mostOtherFiles, files / 8);
    MemoryPlan plan;
    plan.connections =
        std::max(least, std::min({connections, fitting(partOf(memory, 6), connectionBytes), (files - reserved) / 2}));
    plan.requests = partOf(memory, 5);
    plan.checks = partOf(memory, 64);
    plan.replies = std::min(mostReplies, partOf(memory, 16));
    plan.sendBuffers = std::min(mostSendBuffers, partOf(memory, 8));
    plan.links = std::max(least, std::min({mostLinks, fitting(partOf(memory, 8), linkBytes), files / 8}));
    plan.tunnels = std::max(least, std::min({mostTunnels, fitting(partOf(memory, 16), tunnelBytes), files / 16}));
    return plan;
}

} // namespace fescuesill
