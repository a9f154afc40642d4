// A prefix ends with a slash, so the candidates for a path are the path cut after each of its slashes, longest first,
// with one hash lookup each. The cost depends on the depth of the path and not on the number of routes, so a table with
// thousands of further routes makes no call slower.

#include "decide/routetable.h"

#include <numeric>
#include <tuple>
#include <xxhash.h>

namespace fescuesill
{
namespace
{

std::string keyOf(std::string_view host, std::string_view prefix)
{
    std::string key;
    key.reserve(host.size() + 1 + prefix.size());
    key.append(host);
    key.push_back('\n');
    key.append(prefix);
    return key;
}

std::string_view withoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

std::string problemOf(const Route &route)
{
    if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/') {
        return "a prefix must begin and end with a slash: '" + route.prefix + "'";
    }
    if (route.services.empty()) {
        return "the route has no service";
    }
    for (const WeightedService &share : route.services) {
        if (share.weight < 0 || share.service.isEmpty()) {
            return "a weighted service needs a name and a weight of 0 or more";
        }
    }
    return {};
}

auto fieldsOf(const Route &route)
{
    return std::tie(route.name, route.host, route.prefix, route.kind, route.isResumable, route.timeout, route.target,
                    route.longestPause, route.rank, route.attempts, route.isOpen, route.services);
}

} // namespace

bool operator==(const WeightedService &a, const WeightedService &b)
{
    return a.service == b.service && a.weight == b.weight;
}

bool operator==(const Route &a, const Route &b)
{
    return fieldsOf(a) == fieldsOf(b);
}

tl::expected<RouteTable, RouteError> RouteTable::create(std::vector<Route> routes)
{
    RouteTable table;
    table.routes = std::move(routes);
    for (std::size_t index = 0; index < table.routes.size(); ++index) {
        const Route &route = table.routes[index];
        if (std::string problem = problemOf(route); !problem.empty()) {
            return tl::make_unexpected(RouteError{route.name, std::move(problem)});
        }
        if (!table.byKey.emplace(keyOf(route.host, route.prefix), index).second) {
            return tl::make_unexpected(RouteError{route.name, "another route has the same host and prefix"});
        }
    }
    return table;
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    host = withoutPort(host);
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        const auto found = this->byKey.find(keyOf(host, path.substr(0, slash + 1)));
        if (found != this->byKey.end()) {
            return &this->routes[found->second];
        }
        if (slash == 0) {
            break;
        }
    }
    return nullptr;
}

const Route *RouteTable::at(std::string_view host, std::string_view prefix) const
{
    const auto found = this->byKey.find(keyOf(host, prefix));
    return found == this->byKey.end() ? nullptr : &this->routes[found->second];
}

const ServiceId &chooseService(const Route &route, const RequestId &request)
{
    const auto addWeight = [](std::uint64_t sum, const WeightedService &share) {
        return sum + static_cast<std::uint64_t>(share.weight);
    };
    const std::uint64_t total =
        std::accumulate(route.services.begin(), route.services.end(), std::uint64_t{0}, addWeight);
    if (total == 0) {
        return route.services.front().service;
    }
    std::uint64_t point = XXH3_64bits(request.value().data(), request.value().size()) % total;
    for (const WeightedService &share : route.services) {
        const auto weight = static_cast<std::uint64_t>(share.weight);
        if (point < weight) {
            return share.service;
        }
        point -= weight;
    }
    return route.services.back().service;
}

} // namespace fescuesill
