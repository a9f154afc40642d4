#include "decide/routingchange.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace fescuesill
{
namespace
{

Route routeAt(int number, int service)
{
    const std::string text = std::to_string(number);
    Route route;
    route.name.append("r").append(text);
    route.host = "shop.example";
    route.prefix.append("/p").append(text).append("/");
    route.timeout = 2s;
    route.services = {{ServiceId(std::string("s").append(std::to_string(service))), 1}};
    return route;
}

RouteTable tableOf(std::vector<Route> routes)
{
    const auto table = RouteTable::create(std::move(routes));
    return table ? *table : RouteTable();
}

WorkspaceTable anyWorkspaces()
{
    std::vector<Workspace> workspaces;
    for (int number = 0; number < 6; ++number) {
        const int variant = *rc::gen::inRange(0, 4);
        if (variant == 0) {
            continue;
        }
        Workspace workspace;
        workspace.id = WorkspaceId(std::string("w").append(std::to_string(number)));
        workspace.keys = {KeyDigest(std::string("k").append(std::to_string(number * 10 + variant)))};
        workspace.rank = variant == 1 ? std::optional(2) : std::nullopt;
        workspace.quota = variant == 2 ? std::optional(Quota{10, 5}) : std::nullopt;
        workspaces.push_back(workspace);
    }
    return WorkspaceTable::create(std::move(workspaces)).value();
}

RoutingConfig anyConfig(std::int64_t version)
{
    std::vector<Route> routes;
    for (int number = 0; number < 12; ++number) {
        const int service = *rc::gen::inRange(0, 4);
        if (service > 0) {
            routes.push_back(routeAt(number, service));
        }
    }
    RoutingConfig config;
    config.version = ConfigVersion(version);
    config.routes = tableOf(std::move(routes));
    const ServiceId service("s1");
    config.services[service] = {service, *rc::gen::arbitrary<bool>() ? std::optional(EngineTraits{}) : std::nullopt};
    config.limits.idle = std::chrono::seconds(*rc::gen::inRange(1, 3));
    if (*rc::gen::inRange(0, 4) > 0) {
        config.workspaces = anyWorkspaces();
    }
    return config;
}

RC_GTEST_PROP(RoutingChange, LeadsFromAnyVersionToAnyOther, ())
{
    const RoutingConfig earlier = anyConfig(3);
    const RoutingConfig later = anyConfig(5);
    const RoutingChange change = changeBetween(earlier, later);
    const auto applied = applyChange(earlier, change);
    RC_ASSERT(applied.has_value());
    RC_ASSERT(applied->version == later.version);
    RC_ASSERT(digestOf(*applied) == digestOf(later));
    RC_ASSERT(applied->routes.all().size() == later.routes.all().size());
    for (const Route &route : later.routes.all()) {
        const Route *found = applied->routes.at(route.host, route.prefix);
        RC_ASSERT(found != nullptr && *found == route);
    }
    RC_ASSERT(applied->workspaces.has_value() == later.workspaces.has_value());
    if (later.workspaces) {
        RC_ASSERT(applied->workspaces->all().size() == later.workspaces->all().size());
        for (const Workspace &workspace : later.workspaces->all()) {
            RC_ASSERT(*applied->workspaces->find(workspace.id) == workspace);
            RC_ASSERT(applied->workspaces->holderOf(workspace.keys[0])->id == workspace.id);
        }
    }
}

// Guards against applying a change to a configuration other than the one from which it was computed.
RC_GTEST_PROP(RoutingChange, IsRejectedOrCorrectOnAnotherBase, ())
{
    const RoutingConfig later = anyConfig(5);
    const RoutingChange change = changeBetween(anyConfig(3), later);
    const auto applied = applyChange(anyConfig(4), change);
    if (applied) {
        RC_ASSERT(digestOf(*applied) == digestOf(later));
    }
}

TEST(RoutingChange, IsAsLargeAsTheDifference)
{
    std::vector<Route> routes;
    routes.reserve(5000);
    for (int number = 0; number < 5000; ++number) {
        routes.push_back(routeAt(number, 1));
    }
    RoutingConfig earlier;
    earlier.routes = tableOf(routes);
    RoutingConfig later;
    routes[7].timeout = 9s;
    routes.pop_back();
    routes.push_back(routeAt(9000, 2));
    later.routes = tableOf(routes);
    const RoutingChange change = changeBetween(earlier, later);
    EXPECT_EQ(change.set.size(), 2U);
    ASSERT_EQ(change.removed.size(), 1U);
    EXPECT_EQ(change.removed[0].prefix, "/p4999/");
}

TEST(RoutingChange, DigestCoversEveryField)
{
    using Alter = void (*)(Route &, ForwardedService &, CallerLimits &);
    const auto digestWith = [](Alter alter) {
        Route route = routeAt(1, 1);
        ForwardedService service{ServiceId("s1"), EngineTraits{}};
        CallerLimits limits;
        alter(route, service, limits);
        RoutingConfig config;
        std::vector<Route> routes;
        routes.push_back(std::move(route));
        config.routes = tableOf(std::move(routes));
        config.services[service.id] = service;
        config.limits = limits;
        return digestOf(config);
    };
    const std::vector<Alter> alterations = {
        [](Route &, ForwardedService &, CallerLimits &) {},
        [](Route &route, ForwardedService &, CallerLimits &) { route.name = "other"; },
        [](Route &route, ForwardedService &, CallerLimits &) { route.kind = CallKind::Generation; },
        [](Route &route, ForwardedService &, CallerLimits &) { route.isResumable = true; },
        [](Route &route, ForwardedService &, CallerLimits &) { route.timeout = 1s; },
        [](Route &route, ForwardedService &, CallerLimits &) { route.target = 1s; },
        [](Route &route, ForwardedService &, CallerLimits &) { route.longestPause = 1s; },
        [](Route &route, ForwardedService &, CallerLimits &) { route.rank = 1; },
        [](Route &route, ForwardedService &, CallerLimits &) { route.attempts = 2; },
        [](Route &route, ForwardedService &, CallerLimits &) { route.isOpen = true; },
        [](Route &route, ForwardedService &, CallerLimits &) { route.services[0].weight = 2; },
        [](Route &, ForwardedService &service, CallerLimits &) { service.engines.reset(); },
        [](Route &, ForwardedService &service, CallerLimits &) { service.engines->slots = 9; },
        [](Route &, ForwardedService &service, CallerLimits &) { service.engines->memory = Tokens(9); },
        [](Route &, ForwardedService &service, CallerLimits &) { service.engines->resultLife = 9s; },
        [](Route &, ForwardedService &service, CallerLimits &) { service.engines->longestReservation = 9s; },
        [](Route &, ForwardedService &service, CallerLimits &) { service.engines->stageChange = 9s; },
        [](Route &, ForwardedService &service, CallerLimits &) { service.engines->perEvent = Tokens(9); },
        [](Route &, ForwardedService &, CallerLimits &limits) { limits.header = Bytes(9); },
        [](Route &, ForwardedService &, CallerLimits &limits) { limits.body = Bytes(9); },
        [](Route &, ForwardedService &, CallerLimits &limits) { limits.headerTime = 9s; },
        [](Route &, ForwardedService &, CallerLimits &limits) { limits.idle = 9s; },
    };
    std::set<std::uint64_t> digests;
    for (const Alter alter : alterations) {
        digests.insert(digestWith(alter));
    }
    EXPECT_EQ(digests.size(), alterations.size());
}

TEST(RoutingChange, DigestCoversEveryFieldOfAWorkspace)
{
    using Alter = void (*)(Workspace &);
    const Alter alterations[] = {
        [](Workspace &) {},
        [](Workspace &one) { one.id = WorkspaceId("other"); },
        [](Workspace &one) { one.keys.clear(); },
        [](Workspace &one) { one.keys = {KeyDigest("k2")}; },
        [](Workspace &one) { one.rank = 0; },
        [](Workspace &one) { one.unit = QuotaUnit::Tokens; },
        [](Workspace &one) { one.plainTokens = Tokens(1); },
        [](Workspace &one) { one.quota = Quota{}; },
        [](Workspace &one) {
            one.quota = Quota{1, 0};
        },
        [](Workspace &one) {
            one.quota = Quota{0, 1};
        },
    };
    std::set<std::uint64_t> digests = {digestOf(RoutingConfig())};
    RoutingConfig config;
    config.workspaces = WorkspaceTable();
    digests.insert(digestOf(config));
    for (const Alter alter : alterations) {
        Workspace workspace;
        workspace.id = WorkspaceId("w");
        workspace.keys = {KeyDigest("k")};
        alter(workspace);
        config.workspaces = WorkspaceTable::create({workspace}).value();
        digests.insert(digestOf(config));
    }
    EXPECT_EQ(digests.size(), 2 + std::size(alterations));
}

} // namespace
} // namespace fescuesill
