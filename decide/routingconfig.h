#pragma once

// One version of the routing configuration, as a gateway uses it.
//
//     if (read->version > inForce->version) { inForce = read; }
//     const Route *route = inForce->routes.find(host, path);
//     const ForwardedService *service = inForce->service(chooseService(*route, id));

#include "decide/routetable.h"
#include "decide/workspacetable.h"

#include <map>
#include <optional>

namespace fescuesill
{

// Capabilities of the engines of a generating service.
struct EngineTraits {
    Tokens memory; // per engine
    int slots = 1; // maximum concurrent requests per engine
    Duration resultLife{0}; // how long a prefill result is kept until it is fetched
    Duration longestReservation{0};
    Duration stageChange{0}; // from an order until the engine, its work ended, is ready in its other stage
    Tokens perEvent{1}; // output tokens per event of a stream
};

struct ForwardedService {
    ServiceId id;
    std::optional<EngineTraits> engines; // only for a generating service
};

// Limits on the size and duration of what a caller sends.
struct CallerLimits {
    Bytes header{16 << 10};
    Bytes body{4 << 20};
    Duration headerTime{3s};
    Duration idle{15s};
};

struct RoutingConfig {
    ConfigVersion version;
    RouteTable routes;
    std::map<ServiceId, ForwardedService> services;
    CallerLimits limits;
    std::optional<WorkspaceTable> workspaces; // empty: callers need no key

    // Returns null for an undeclared service.
    const ForwardedService *service(const ServiceId &id) const
    {
        const auto found = this->services.find(id);
        return found == this->services.end() ? nullptr : &found->second;
    }
};

} // namespace fescuesill
