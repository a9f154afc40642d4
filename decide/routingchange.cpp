// A route is identified by its key: there is one route per host and prefix. The change lists the keys that were removed
// and every route that differs, so its size is proportional to the difference and not to the configuration.
//
// Workspaces are identified by their names in the same way.
//
// The digest includes the sums of the hashes of the single routes and workspaces, so it does not depend on their order.
// A route that is missing, duplicated or different on one side changes the sum.

#include "decide/routingchange.h"

#include <memory>
#include <unordered_set>
#include <xxhash.h>

namespace fescuesill
{
namespace
{

class Digest
{
public:
    Digest()
        : state(XXH3_createState(), XXH3_freeState)
    {
        this->restart();
    }

    void restart()
    {
        XXH3_64bits_reset(this->state.get());
    }
    void add(double number)
    {
        XXH3_64bits_update(this->state.get(), &number, sizeof number);
    }
    void add(std::int64_t number)
    {
        XXH3_64bits_update(this->state.get(), &number, sizeof number);
    }
    // Includes the length, so that different pairs of adjacent strings with the same bytes differ.
    void add(const std::string &text)
    {
        this->add(static_cast<std::int64_t>(text.size()));
        XXH3_64bits_update(this->state.get(), text.data(), text.size());
    }
    std::uint64_t value() const
    {
        return XXH3_64bits_digest(this->state.get());
    }

private:
    std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t *)> state;
};

std::uint64_t digestOfRoute(Digest &digest, const Route &route)
{
    digest.restart();
    digest.add(route.name);
    digest.add(route.host);
    digest.add(route.prefix);
    digest.add(static_cast<std::int64_t>(route.kind));
    digest.add(std::int64_t{route.isResumable});
    digest.add(route.timeout.count());
    digest.add(route.target.count());
    digest.add(route.longestPause.count());
    digest.add(std::int64_t{route.rank});
    digest.add(std::int64_t{route.attempts});
    digest.add(std::int64_t{route.isOpen});
    for (const WeightedService &share : route.services) {
        digest.add(share.service.value());
        digest.add(std::int64_t{share.weight});
    }
    return digest.value();
}

std::uint64_t digestOfWorkspace(Digest &digest, const Workspace &workspace)
{
    digest.restart();
    digest.add(workspace.id.value());
    for (const KeyDigest &key : workspace.keys) {
        digest.add(key.value());
    }
    digest.add(std::int64_t{workspace.rank.has_value()});
    digest.add(std::int64_t{workspace.rank.value_or(0)});
    digest.add(static_cast<std::int64_t>(workspace.unit));
    digest.add(workspace.plainTokens.value());
    digest.add(std::int64_t{workspace.quota.has_value()});
    if (const auto &quota = workspace.quota) {
        digest.add(quota->perSecond);
        digest.add(quota->burst);
    }
    return digest.value();
}

const std::vector<Workspace> &workspacesOf(const RoutingConfig &config)
{
    static const std::vector<Workspace> none;
    return config.workspaces ? config.workspaces->all() : none;
}

const Workspace *findWorkspace(const RoutingConfig &config, const WorkspaceId &id)
{
    return config.workspaces ? config.workspaces->find(id) : nullptr;
}

tl::expected<WorkspaceTable, RoutingChangeError> changedWorkspaces(const RoutingConfig &earlier,
                                                                   const RoutingChange &change)
{
    std::unordered_set<WorkspaceId> replaced(change.removedWorkspaces.begin(), change.removedWorkspaces.end());
    for (const Workspace &workspace : change.setWorkspaces) {
        replaced.insert(workspace.id);
    }
    std::vector<Workspace> workspaces;
    for (const Workspace &workspace : workspacesOf(earlier)) {
        if (replaced.count(workspace.id) == 0) {
            workspaces.push_back(workspace);
        }
    }
    workspaces.insert(workspaces.end(), change.setWorkspaces.begin(), change.setWorkspaces.end());
    auto table = WorkspaceTable::create(std::move(workspaces));
    if (!table) {
        return tl::make_unexpected(
            RoutingChangeError{"workspace " + table.error().workspace.value() + ": " + table.error().text});
    }
    return std::move(*table);
}

void addService(Digest &digest, const ForwardedService &service)
{
    digest.add(service.id.value());
    digest.add(std::int64_t{service.engines.has_value()});
    if (const auto &engines = service.engines) {
        digest.add(engines->memory.value());
        digest.add(std::int64_t{engines->slots});
        digest.add(engines->resultLife.count());
        digest.add(engines->longestReservation.count());
        digest.add(engines->stageChange.count());
        digest.add(engines->perEvent.value());
    }
}

} // namespace

std::uint64_t digestOf(const RoutingConfig &config)
{
    Digest digest;
    std::uint64_t routes = 0;
    for (const Route &route : config.routes.all()) {
        routes += digestOfRoute(digest, route);
    }
    std::uint64_t workspaces = 0;
    for (const Workspace &workspace : workspacesOf(config)) {
        workspaces += digestOfWorkspace(digest, workspace);
    }
    digest.restart();
    digest.add(static_cast<std::int64_t>(routes));
    digest.add(std::int64_t{config.workspaces.has_value()});
    digest.add(static_cast<std::int64_t>(workspaces));
    digest.add(config.version.value());
    for (const auto &[id, service] : config.services) {
        addService(digest, service);
    }
    digest.add(config.limits.header.value());
    digest.add(config.limits.body.value());
    digest.add(config.limits.headerTime.count());
    digest.add(config.limits.idle.count());
    return digest.value();
}

std::size_t sizeOf(const RoutingChange &change)
{
    return change.set.size() + change.removed.size() + change.setWorkspaces.size() + change.removedWorkspaces.size();
}

RoutingChange changeBetween(const RoutingConfig &earlier, const RoutingConfig &later)
{
    RoutingChange change;
    change.version = later.version;
    change.limits = later.limits;
    change.digest = digestOf(later);
    for (const auto &[id, service] : later.services) {
        change.services.push_back(service);
    }
    for (const Route &route : later.routes.all()) {
        const Route *before = earlier.routes.at(route.host, route.prefix);
        if (before == nullptr || !(*before == route)) {
            change.set.push_back(route);
        }
    }
    for (const Route &route : earlier.routes.all()) {
        if (later.routes.at(route.host, route.prefix) == nullptr) {
            change.removed.push_back({route.host, route.prefix});
        }
    }
    change.hasWorkspaces = later.workspaces.has_value();
    for (const Workspace &workspace : workspacesOf(later)) {
        const Workspace *before = findWorkspace(earlier, workspace.id);
        if (before == nullptr || !(*before == workspace)) {
            change.setWorkspaces.push_back(workspace);
        }
    }
    for (const Workspace &workspace : workspacesOf(earlier)) {
        if (findWorkspace(later, workspace.id) == nullptr) {
            change.removedWorkspaces.push_back(workspace.id);
        }
    }
    return change;
}

tl::expected<RoutingConfig, RoutingChangeError> applyChange(const RoutingConfig &earlier, const RoutingChange &change)
{
    std::unordered_set<const Route *> replaced;
    for (const RouteKey &key : change.removed) {
        replaced.insert(earlier.routes.at(key.host, key.prefix));
    }
    for (const Route &route : change.set) {
        replaced.insert(earlier.routes.at(route.host, route.prefix));
    }
    std::vector<Route> routes;
    routes.reserve(earlier.routes.all().size() + change.set.size());
    for (const Route &route : earlier.routes.all()) {
        if (replaced.count(&route) == 0) {
            routes.push_back(route);
        }
    }
    routes.insert(routes.end(), change.set.begin(), change.set.end());
    auto table = RouteTable::create(std::move(routes));
    if (!table) {
        return tl::make_unexpected(RoutingChangeError{"route " + table.error().route + ": " + table.error().text});
    }
    RoutingConfig config;
    config.version = change.version;
    config.routes = std::move(*table);
    config.limits = change.limits;
    for (const ForwardedService &service : change.services) {
        config.services.emplace(service.id, service);
    }
    if (change.hasWorkspaces) {
        auto workspaces = changedWorkspaces(earlier, change);
        if (!workspaces) {
            return tl::make_unexpected(workspaces.error());
        }
        config.workspaces = std::move(*workspaces);
    }
    if (digestOf(config) != change.digest) {
        return tl::make_unexpected(
            RoutingChangeError{"the result differs from the configuration that the change leads to"});
    }
    return config;
}

} // namespace fescuesill
