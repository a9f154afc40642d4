#pragma once

// Which host's scheduler decides for a cell: rendezvous hash over the live hosts of the cell's data centre.
//
//     const std::optional<HostId> owner = cellOwner(cell, liveHostsOf(cell.dataCentre));
//
// Hosts that see the same members agree without a message; when one leaves, only its own cells move.

#include "fescuesill/ids.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace fescuesill
{

// The host to which a thing with this hash falls. None when no host is live. The order of the hosts does not matter.
std::optional<HostId> heaviestHost(std::uint64_t hash, const std::vector<HostId> &hosts);
std::optional<HostId> cellOwner(const CellId &cell, const std::vector<HostId> &hosts);

} // namespace fescuesill
