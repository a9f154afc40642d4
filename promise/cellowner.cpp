#include "promise/cellowner.h"

#include <xxhash.h>

// Rendezvous hashing: every host computes a weight for each (key hash, host) pair and chooses the host with the highest
// weight. All hosts must compute the same weight, also across versions of the program: XXH64 is a fixed function,
// unlike std::hash. A tie goes to the lower name.
//
// Rejected: a lock row per cell in the table. Placement would depend on the store, which may be unavailable for a long
// time, and two owners for a few seconds only reduce the quality of placement.

namespace fescuesill
{

std::optional<HostId> heaviestHost(std::uint64_t hash, const std::vector<HostId> &hosts)
{
    const HostId *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const HostId &host : hosts) {
        const std::uint64_t weight = XXH64(host.value().data(), host.value().size(), hash);
        if (best == nullptr || weight > bestWeight || (weight == bestWeight && host < *best)) {
            best = &host;
            bestWeight = weight;
        }
    }
    return best == nullptr ? std::nullopt : std::optional<HostId>(*best);
}

std::optional<HostId> cellOwner(const CellId &cell, const std::vector<HostId> &hosts)
{
    const std::uint64_t model = XXH64(cell.model.value().data(), cell.model.value().size(), 0);
    const std::uint64_t place = XXH64(cell.dataCentre.value().data(), cell.dataCentre.value().size(), model);
    return heaviestHost(place, hosts);
}

} // namespace fescuesill
