#pragma once

// Which service a forwarded call goes to, and how it may be treated on the way.
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

// What may be done with a call that got no answer.
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
    bool isResumable = false; // a generation may go on at another engine after its last whole event
    Duration timeout{0}; // a call that is not answered by then is given up
    Duration target{0}; // to the answer, or to the first event of a generation
    Duration longestPause{0}; // between two events for which a generation is still in time
    int rank = 0; // lower goes first
    int attempts = 1; // endpoints that one call may be sent to
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
    // Refuses prefixes without their slashes, routes without a service, and two routes for the same place.
    static tl::expected<RouteTable, RouteError> create(std::vector<Route> routes);

    // The longest prefix of the path among the routes of this host; a port behind the host's name does not count.
    const Route *find(std::string_view host, std::string_view path) const;
    // The route of exactly this prefix.
    const Route *at(std::string_view host, std::string_view prefix) const;
    const std::vector<Route> &all() const
    {
        return this->routes;
    }

private:
    std::vector<Route> routes;
    std::unordered_map<std::string, std::size_t> byPlace; // host, line feed, prefix
};

// The same request always gets the same service of a split, on every host.
const ServiceId &chooseService(const Route &route, const RequestId &request);

} // namespace fescuesill
