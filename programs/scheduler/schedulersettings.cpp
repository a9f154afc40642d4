#include "programs/scheduler/schedulersettings.h"

#include "declare/values.h"

namespace fescuesill
{
tl::expected<SchedulerSettings, DeclareError> SchedulerSettings::fromFile(const std::string &path)
{
    auto reader = SettingsReader::fromFile(path);
    if (!reader) {
        return tl::unexpected(reader.error());
    }
    SchedulerSettings settings;
    settings.host = HostId(reader->text("process", "host"));
    settings.dataCentre = DataCentreId(reader->text("process", "data_centre"));
    settings.peers = reader->address("listen", "peers");
    settings.admin = reader->address("listen", "admin");
    settings.platform = reader->address("platform", "address");
    settings.versionPoll = reader->duration("platform", "version_poll", 1s, {50ms, 1min});
    settings.hostListPoll = reader->duration("platform", "host_list_poll", 5s, {50ms, 5min});
    settings.seeds = reader->addresses("peers", "seeds");
    settings.probePeriod = reader->duration("peers", "probe_period", 1s, {100ms, 1min});
    settings.freshness = reader->duration("peers", "freshness", 10s, {1s, 10min});
    settings.resources = readProcessResources(*reader, programsOfOwnHost);
    settings.enginePoll = reader->duration("engines", "load_poll", 250ms, {10ms, 10s});
    settings.streamPoll = reader->duration("engines", "stream_poll", 2s, {50ms, 1min});
    settings.resumeGrace = reader->duration("resume", "grace", 15s, {100ms, 10min});
    settings.drainLimit = reader->duration("drain", "limit", 60s, {1s, 1h});
    settings.sweepPause = reader->duration("ledger", "sweep_pause", 10min, {100ms, 24h});
    settings.logLevel = *Log::parseLevel(reader->choice("log", "level", "info", {"debug", "info", "warning", "error"}));
    settings.keys = readKeySettings(*reader, {settings.peers, settings.admin});
    if (settings.keys.fleet && isWildcard(settings.peers)) {
        // A link proves that it was meant for this listener by the address that was dialled.
        reader->fault("listen", "peers", settings.peers, "the one address that other hosts dial, with a fleet key");
    }
    if (auto faults = reader->finish(); !faults.empty()) {
        return tl::unexpected(DeclareError{std::move(faults)});
    }
    return settings;
}

} // namespace fescuesill
