// A change is encoded as CBOR arrays with their fields in a fixed order, and compressed with zlib, because the names of
// hosts and services repeat from route to route.

#include "wire/routingchangecodec.h"

#include "wire/cbor.h"

#include <nlohmann/json.hpp>

#define ZLIB_CONST // declares the input of inflate() as const
#include <zlib.h>

namespace fescuesill
{
namespace
{

using Json = nlohmann::json;

// Limit on the decompressed size. The largest configuration takes a few megabytes, and a change far less.
constexpr std::size_t maxInflatedBytes = 8 << 20;
constexpr std::size_t inflateStepBytes = 64 << 10;

std::string deflated(const std::string &bytes)
{
    std::string out(compressBound(static_cast<uLong>(bytes.size())), '\0');
    auto size = static_cast<uLongf>(out.size());
    const int result = compress(reinterpret_cast<Bytef *>(out.data()), &size,
                                reinterpret_cast<const Bytef *>(bytes.data()), static_cast<uLong>(bytes.size()));
    if (result != Z_OK) {
        throw WireError("cannot compress a change");
    }
    out.resize(size);
    return out;
}

std::string inflated(std::string_view bytes)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK) {
        throw WireError("cannot initialise the decompression of a change");
    }
    const std::unique_ptr<z_stream, int (*)(z_stream *)> ended(&stream, inflateEnd);
    stream.next_in = reinterpret_cast<const Bytef *>(bytes.data());
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string out;
    int result = Z_OK;
    while (result == Z_OK && out.size() <= maxInflatedBytes) {
        const std::size_t had = out.size();
        out.resize(had + inflateStepBytes);
        stream.next_out = reinterpret_cast<Bytef *>(out.data() + had);
        stream.avail_out = static_cast<uInt>(inflateStepBytes);
        result = inflate(&stream, Z_NO_FLUSH);
        out.resize(out.size() - stream.avail_out);
    }
    if (result != Z_STREAM_END) {
        throw WireError("a change cannot be decompressed or is too large");
    }
    return out;
}

Json toJson(const Route &route)
{
    Json services = Json::array();
    for (const WeightedService &share : route.services) {
        services.push_back(Json::array({share.service.value(), share.weight}));
    }
    return Json::array({route.name, route.host, route.prefix, static_cast<int>(route.kind), route.isResumable,
                        route.timeout.count(), route.target.count(), route.longestPause.count(), route.rank,
                        route.attempts, std::move(services), route.isOpen});
}

Route routeOf(const Json &json)
{
    Route route;
    route.name = json.at(0).get<std::string>();
    route.host = json.at(1).get<std::string>();
    route.prefix = json.at(2).get<std::string>();
    const int kind = json.at(3).get<int>();
    if (kind < 0 || kind > static_cast<int>(CallKind::Generation)) {
        throw WireError("unknown kind of call");
    }
    route.kind = static_cast<CallKind>(kind);
    route.isResumable = json.at(4).get<bool>();
    route.timeout = Duration(json.at(5).get<std::int64_t>());
    route.target = Duration(json.at(6).get<std::int64_t>());
    route.longestPause = Duration(json.at(7).get<std::int64_t>());
    route.rank = json.at(8).get<int>();
    route.attempts = json.at(9).get<int>();
    for (const Json &share : json.at(10)) {
        route.services.push_back({ServiceId(share.at(0).get<std::string>()), share.at(1).get<int>()});
    }
    route.isOpen = json.at(11).get<bool>();
    return route;
}

Json toJson(const ForwardedService &service)
{
    Json json = Json::array({service.id.value()});
    if (const auto &engines = service.engines) {
        json.push_back(Json::array({engines->memory.value(), engines->slots, engines->resultLife.count(),
                                    engines->longestReservation.count(), engines->stageChange.count(),
                                    engines->perEvent.value()}));
    }
    return json;
}

ForwardedService serviceOf(const Json &json)
{
    ForwardedService service;
    service.id = ServiceId(json.at(0).get<std::string>());
    if (json.size() > 1) {
        const Json &traits = json.at(1);
        EngineTraits engines;
        engines.memory = Tokens(traits.at(0).get<std::int64_t>());
        engines.slots = traits.at(1).get<int>();
        engines.resultLife = Duration(traits.at(2).get<std::int64_t>());
        engines.longestReservation = Duration(traits.at(3).get<std::int64_t>());
        engines.stageChange = Duration(traits.at(4).get<std::int64_t>());
        engines.perEvent = Tokens(traits.at(5).get<std::int64_t>());
        service.engines = engines;
    }
    return service;
}

Json toJson(const CallerLimits &limits)
{
    return Json::array({limits.header.value(), limits.body.value(), limits.headerTime.count(), limits.idle.count()});
}

CallerLimits limitsOf(const Json &json)
{
    CallerLimits limits;
    limits.header = Bytes(json.at(0).get<std::int64_t>());
    limits.body = Bytes(json.at(1).get<std::int64_t>());
    limits.headerTime = Duration(json.at(2).get<std::int64_t>());
    limits.idle = Duration(json.at(3).get<std::int64_t>());
    return limits;
}

Json toJson(const Workspace &workspace)
{
    Json keys = Json::array();
    for (const KeyDigest &key : workspace.keys) {
        keys.push_back(Json::binary(std::vector<std::uint8_t>(key.value().begin(), key.value().end())));
    }
    const auto &quota = workspace.quota;
    return Json::array({workspace.id.value(), std::move(keys), workspace.rank ? Json(*workspace.rank) : Json(),
                        static_cast<int>(workspace.unit), workspace.plainTokens.value(),
                        quota ? Json::array({quota->perSecond, quota->burst}) : Json()});
}

Workspace workspaceOf(const Json &json)
{
    Workspace workspace;
    workspace.id = WorkspaceId(json.at(0).get<std::string>());
    for (const Json &key : json.at(1)) {
        const auto &bytes = key.get_binary();
        workspace.keys.emplace_back(std::string(bytes.begin(), bytes.end()));
    }
    if (const Json &rank = json.at(2); !rank.is_null()) {
        workspace.rank = rank.get<int>();
    }
    const int unit = json.at(3).get<int>();
    if (unit < 0 || unit > static_cast<int>(QuotaUnit::Tokens)) {
        throw WireError("unknown unit of a quota");
    }
    workspace.unit = static_cast<QuotaUnit>(unit);
    workspace.plainTokens = Tokens(json.at(4).get<std::int64_t>());
    if (const Json &quota = json.at(5); !quota.is_null()) {
        workspace.quota = Quota{quota.at(0).get<double>(), quota.at(1).get<double>()};
    }
    return workspace;
}

RoutingChange changeOf(const Json &json)
{
    RoutingChange change;
    change.version = ConfigVersion(json.at(0).get<std::int64_t>());
    change.digest = json.at(1).get<std::uint64_t>();
    change.limits = limitsOf(json.at(2));
    for (const Json &service : json.at(3)) {
        change.services.push_back(serviceOf(service));
    }
    for (const Json &place : json.at(4)) {
        change.removed.push_back({place.at(0).get<std::string>(), place.at(1).get<std::string>()});
    }
    for (const Json &route : json.at(5)) {
        change.set.push_back(routeOf(route));
    }
    change.hasWorkspaces = json.at(6).get<bool>();
    for (const Json &id : json.at(7)) {
        change.removedWorkspaces.emplace_back(id.get<std::string>());
    }
    for (const Json &workspace : json.at(8)) {
        change.setWorkspaces.push_back(workspaceOf(workspace));
    }
    return change;
}

} // namespace

std::string encodeRoutingChange(const RoutingChange &change)
{
    Json services = Json::array();
    for (const ForwardedService &service : change.services) {
        services.push_back(toJson(service));
    }
    Json removed = Json::array();
    for (const RouteKey &place : change.removed) {
        removed.push_back(Json::array({place.host, place.prefix}));
    }
    Json set = Json::array();
    for (const Route &route : change.set) {
        set.push_back(toJson(route));
    }
    Json removedWorkspaces = Json::array();
    for (const WorkspaceId &id : change.removedWorkspaces) {
        removedWorkspaces.push_back(id.value());
    }
    Json setWorkspaces = Json::array();
    for (const Workspace &workspace : change.setWorkspaces) {
        setWorkspaces.push_back(toJson(workspace));
    }
    std::string bytes;
    Json::to_cbor(Json::array({change.version.value(), change.digest, toJson(change.limits), std::move(services),
                               std::move(removed), std::move(set), change.hasWorkspaces, std::move(removedWorkspaces),
                               std::move(setWorkspaces)}),
                  bytes);
    return deflated(bytes);
}

tl::expected<RoutingChange, WireError> decodeRoutingChange(std::string_view bytes)
{
    try {
        return changeOf(decodeCbor(inflated(bytes)));
    } catch (const Json::exception &failed) {
        return tl::make_unexpected(WireError(std::string("not a change: ") + failed.what()));
    } catch (const WireError &failed) {
        return tl::make_unexpected(failed);
    }
}

} // namespace fescuesill
