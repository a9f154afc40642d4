#pragma once

// Selects the host whose scheduler owns a cell: a rendezvous hash over the live hosts of the cell's data centre.
//
//     const std::optional<HostId> owner = cellOwner(cell, liveHostsOf(cell.dataCentre));
//
// Hosts with the same view of the members select the same owner without exchanging messages. When a host leaves, only
// its own cells move.

#include "fescuesill/ids.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace fescuesill
{

// The host with the highest weight for the hash; none when the list is empty. The order of the hosts does not matter.
std::optional<HostId> heaviestHost(std::uint64_t hash, const std::vector<HostId> &hosts);
std::optional<HostId> cellOwner(const CellId &cell, const std::vector<HostId> &hosts);

} // namespace fescuesill
