#pragma once

// Identifies a link of a PeerNode. An outgoing link keeps its id over reconnects.

#include <cstdint>

namespace fescuesill
{

enum class LinkId : std::uint64_t {};

} // namespace fescuesill
