#include "programs/gateway/gatewaysettings.h"

namespace fescuesill
{
namespace
{

constexpr double bytesPerMegabit = 1e6 / 8;

} // namespace

tl::expected<GatewaySettings, DeclareError> GatewaySettings::fromFile(const std::string &path)
{
    auto reader = SettingsReader::fromFile(path);
    if (!reader) {
        return tl::make_unexpected(reader.error());
    }
    GatewaySettings settings;
    settings.host = HostId(reader->text("process", "host"));
    settings.dataCentre = DataCentreId(reader->text("process", "data_centre"));
    settings.isFirstStart = reader->flag("process", "first_start", settings.isFirstStart);
    settings.linkBytesPerSecond = reader->fraction("process", "link_mbps", 0, {0, 1e6}) * bytesPerMegabit;
    settings.callers = reader->address("listen", "callers");
    settings.ready = reader->address("listen", "ready");
    settings.peers = reader->text("listen", "peers", "");
    settings.tunnels = reader->text("listen", "tunnels", "");
    settings.store = reader->address("store", "address");
    settings.contactLimit = reader->decimal("store", "contact_ms", 1ms, settings.contactLimit, {100ms, 10min});
    settings.lease = reader->decimal("store", "lease_ms", 1ms, settings.lease, {100ms, 10min});
    settings.grace = reader->decimal("stop", "grace_s", 1s, settings.grace, {100ms, 1h});
    settings.announce = reader->duration("stop", "announce", settings.announce, {0s, 1min});
    settings.connectLimit = reader->duration("endpoints", "connect", settings.connectLimit, {1ms, 1min});
    settings.reservationLimit = reader->duration("endpoints", "reservation", settings.reservationLimit, {1ms, 1min});
    settings.sharedSlots = reader->flag("endpoints", "shared_slots", settings.sharedSlots);
    settings.connections = static_cast<std::size_t>(reader->number("limits", "connections", 1500, {1, 30000}));
    settings.resources = readProcessResources(*reader, 1);
    // Every send after the first counts against the budget, also if the endpoint refuses it. A fifth is kept in reserve
    // for hosts that have just started or stopped, whose counts differ.
    const double allowed = reader->fraction("retries", "fleet_share", 0.2, {0, 100});
    settings.retryShare = allowed * 0.8;
    settings.retriesSaved = reader->fraction("retries", "saved", settings.retriesSaved, {0, 1000});
    // A tenth is kept for clocks that do not run alike, and for the time between the check and the acceptance of a
    // call.
    settings.keyLimit = reader->decimal("keys", "revoke_ms", 1ms, 5s, {100ms, 1h}) * 9 / 10;
    settings.isRevocationStrict = reader->flag("keys", "strict", settings.isRevocationStrict);
    settings.quotaWindow = reader->decimal("quotas", "window_s", 1s, settings.quotaWindow, {100ms, 1h});
    settings.quotaOvershoot = reader->fraction("quotas", "overshoot", settings.quotaOvershoot, {0, 10});
    settings.quotaSlack = QuotaUnits(reader->number("quotas", "slack", 0, {0, std::int64_t{1} << 50}));
    if (const auto latest = reader->decimal("streams", "latest_event_ms", 1ms, Duration(0), {1ms, 10s}); latest > 0ms) {
        settings.latestEvent = latest;
    }
    settings.moveEngines = reader->flag("engines", "move", true);
    settings.logLevel = *Log::parseLevel(reader->choice("log", "level", "info", {"debug", "info", "warning", "error"}));
    if (auto faults = reader->finish(); !faults.empty()) {
        return tl::make_unexpected(DeclareError{std::move(faults)});
    }
    return settings;
}

} // namespace fescuesill
