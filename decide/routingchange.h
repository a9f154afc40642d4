#pragma once

// What turns one version of the routing configuration into a later one, for hosts that have the earlier one.
//
//     const RoutingChange change = changeBetween(earlier, later);
//     const auto result = applyChange(earlier, change);
//     if (!result) { ... read the configuration whole ... }

#include "decide/routingconfig.h"

#include <tl/expected.hpp>

namespace fescuesill
{

struct RoutePlace {
    std::string host;
    std::string prefix;
};

struct RoutingChange {
    ConfigVersion version;
    std::vector<RoutePlace> removed;
    std::vector<Route> set; // new ones, and changed ones as they are now
    std::vector<ForwardedService> services; // all of them
    CallerLimits limits;
    std::uint64_t digest = 0; // of the later configuration
};

struct RoutingChangeError {
    std::string text;
};

RoutingChange changeBetween(const RoutingConfig &earlier, const RoutingConfig &later);
// Refuses a change whose result is not the configuration that it was made from.
tl::expected<RoutingConfig, RoutingChangeError> applyChange(const RoutingConfig &earlier, const RoutingChange &change);
// The same for two configurations that forward alike, whatever the order of their routes.
std::uint64_t digestOf(const RoutingConfig &config);

} // namespace fescuesill
