#pragma once

// One version of what the operator wants forwarded where, as a gateway uses it.
//
//     if (read->version > inForce->version) { inForce = read; }
//     const Route *route = inForce->routes.find(host, path);
//     const ForwardedService *service = inForce->service(chooseService(*route, id));

#include "decide/routetable.h"

#include <map>
#include <optional>

namespace fescuesill
{

// What the engines of a generating service can do.
struct EngineTraits {
    Tokens memory; // of one engine
    int slots = 1; // requests that one engine runs at once
    Duration resultLife{0}; // how long a prefill result is kept until it is fetched
    Duration longestReservation{0};
    Duration stageChange{0}; // from an order until an engine is back in its other stage, after its running work
    Tokens perEvent{1}; // of the output in one event of a stream
};

struct ForwardedService {
    ServiceId id;
    std::optional<EngineTraits> engines; // of a generating service
};

// What a caller may send, and how long it may take.
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

    // Null for a service that is not declared.
    const ForwardedService *service(const ServiceId &id) const
    {
        const auto found = this->services.find(id);
        return found == this->services.end() ? nullptr : &found->second;
    }
};

} // namespace fescuesill
