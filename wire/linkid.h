#pragma once

// A link of a PeerNode; an outgoing one keeps its id over reconnects.

#include <cstdint>

namespace fescuesill
{

enum class LinkId : std::uint64_t {};

} // namespace fescuesill
