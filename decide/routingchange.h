#pragma once

// The difference between two versions of the routing configuration, for hosts that have the earlier one.
//
//     const RoutingChange change = changeBetween(earlier, later);
//     const auto result = applyChange(earlier, change);
//     if (!result) { ... read the complete configuration ... }

#include "decide/routingconfig.h"

#include <tl/expected.hpp>

namespace fescuesill
{

struct RouteKey {
    std::string host;
    std::string prefix;
};

struct RoutingChange {
    ConfigVersion version;
    std::vector<RouteKey> removed;
    std::vector<Route> set; // new routes, and changed ones in their new form
    std::vector<ForwardedService> services; // all services
    CallerLimits limits;
    bool hasWorkspaces = false;
    std::vector<WorkspaceId> removedWorkspaces;
    std::vector<Workspace> setWorkspaces; // new workspaces, and changed ones in their new form
    std::uint64_t digest = 0; // of the later configuration
};

struct RoutingChangeError {
    std::string text;
};

// The number of routes and workspaces that differ.
std::size_t sizeOf(const RoutingChange &change);
RoutingChange changeBetween(const RoutingConfig &earlier, const RoutingConfig &later);
// Rejects a change if the result is not the configuration from which the change was computed.
tl::expected<RoutingConfig, RoutingChangeError> applyChange(const RoutingConfig &earlier, const RoutingChange &change);
// Equal for two configurations with the same forwarding, regardless of the order of their routes
// and workspaces.
std::uint64_t digestOf(const RoutingConfig &config);

} // namespace fescuesill
