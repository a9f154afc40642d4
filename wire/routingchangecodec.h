#pragma once

// A change of the routing configuration as bytes, for messages between our processes.
//
//     const std::string bytes = encodeRoutingChange(changeBetween(earlier, later));
//     const auto change = decodeRoutingChange(bytes);          // WireError for anything that is not a change

#include "decide/routingchange.h"
#include "wire/wireerror.h"

#include <string_view>

namespace fescuesill
{

std::string encodeRoutingChange(const RoutingChange &change);
tl::expected<RoutingChange, WireError> decodeRoutingChange(std::string_view bytes);

} // namespace fescuesill
