#pragma once

// Maps a forwarded call to its service and to the rules for handling it.
//
//     const RouteTable routes = RouteTable::create(std::move(listed)).value();
//     const Route *route = routes.find("shop.example", "/orders/7");      // null: no route
//     const ServiceId &service = chooseService(*route, requestId);        // the split by weight

#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

namespace fescuesill
{

// How often a call that got no response may run.
enum class CallKind {
    Repeatable, // may run any number of times
    Once, // may run at most once for each request id
    Generation, // answered by a stream of events; runs at most once unless its route is resumable
};

struct WeightedService {
    ServiceId service;
    int weight = 1;
};
bool operator==(const WeightedService &a, const WeightedService &b);

struct Route {
    std::string name;
    std::string host;
    std::string prefix; // begins and ends with a slash
    CallKind kind = CallKind::Once;
    bool isResumable = false; // a generation may resume at another engine after its last complete event
    Duration timeout{0}; // a call without a response by then fails
    Duration target{0}; // time to the response, or to the first event of a generation
    Duration longestPause{0}; // maximum pause between two events of a generation that is on time
    int rank = 0; // lower goes first
    int attempts = 1; // maximum number of endpoints for one call
    bool isOpen = false; // also to callers without a key, where others need one
    std::vector<WeightedService> services;
};
bool operator==(const Route &a, const Route &b);

struct RouteError {
    std::string route;
    std::string text;
};

class RouteTable
{
public:
    RouteTable() = default;
    // Rejects prefixes that do not begin and end with a slash, routes without a service, and two routes with the same
    // host and prefix.
    static tl::expected<RouteTable, RouteError> create(std::vector<Route> routes);

    // Finds the route with the longest matching prefix for this host; a port in `host` is ignored.
    const Route *find(std::string_view host, std::string_view path) const;
    // Finds the route with exactly this prefix.
    const Route *at(std::string_view host, std::string_view prefix) const;
    const std::vector<Route> &all() const
    {
        return this->routes;
    }

private:
    std::vector<Route> routes;
    std::unordered_map<std::string, std::size_t> byKey; // host, line feed, prefix
};

// Chooses by hash of the request id, so the same request gets the same service of a split on every host.
const ServiceId &chooseService(const Route &route, const RequestId &request);

} // namespace fescuesill
