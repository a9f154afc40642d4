#pragma once

// Encodes a change of the routing configuration for messages between processes.
//
//     const std::string bytes = encodeRoutingChange(changeBetween(earlier, later));
//     const auto change = decodeRoutingChange(bytes);          // WireError if the bytes are not a change

#include "decide/routingchange.h"
#include "wire/wireerror.h"

#include <string_view>

namespace fescuesill
{

std::string encodeRoutingChange(const RoutingChange &change);
tl::expected<RoutingChange, WireError> decodeRoutingChange(std::string_view bytes);

} // namespace fescuesill
