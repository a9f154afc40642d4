#include "programs/entry/entrysettings.h"

#include <algorithm>

namespace fescuesill
{
MemoryPlan EntrySettings::planOfThread() const
{
    const auto threads = static_cast<std::int64_t>(this->ioThreads);
    return MemoryPlan::of({Bytes(this->resources.memory.value() / threads), this->resources.files / this->ioThreads},
                          std::max<std::size_t>(this->connections / this->ioThreads, 1));
}

tl::expected<EntrySettings, DeclareError> EntrySettings::fromFile(const std::string &path)
{
    auto reader = SettingsReader::fromFile(path);
    if (!reader) {
        return tl::make_unexpected(reader.error());
    }
    EntrySettings settings;
    settings.host = HostId(reader->text("process", "host"));
    settings.dataCentre = DataCentreId(reader->text("process", "data_centre"));
    settings.callers = reader->address("listen", "callers");
    settings.admin = reader->address("listen", "admin");
    settings.platform = reader->address("platform", "address");
    settings.scheduler = reader->address("scheduler", "address");
    settings.ioThreads = static_cast<std::size_t>(reader->number("threads", "io", 2, {1, 64}));
    settings.connections = static_cast<std::size_t>(reader->number("limits", "connections", 20000, {10, 30000}));
    settings.requests = static_cast<std::size_t>(reader->number("limits", "requests", 10000, {1, 20000}));
    settings.bodyLimit = Bytes(reader->number("limits", "body_bytes", 4 << 20, {1024, 64 << 20}));
    settings.resources = readProcessResources(*reader, programsOfOwnHost);
    settings.stallLimit = reader->duration("limits", "stall", 20s, {100ms, 10min});
    settings.silence = reader->duration("engines", "silence", 1s, {50ms, 1min});
    settings.freshness = reader->duration("scheduler", "freshness", 10s, {1s, 10min});
    settings.resumeLimit = reader->duration("resume", "limit", 10min, {1s, 1h});
    settings.announce = reader->duration("drain", "announce", 3s, {0s, 1min});
    settings.drainLimit = reader->duration("drain", "limit", 60s, {0s, 1h});
    settings.logLevel = *Log::parseLevel(reader->choice("log", "level", "info", {"debug", "info", "warning", "error"}));
    settings.keys = readKeySettings(*reader, {settings.scheduler, settings.admin});
    if (const Bytes most(settings.planOfThread().requests.value() / 2); settings.bodyLimit > most) {
        reader->fault("limits", "body_bytes", std::to_string(settings.bodyLimit.value()),
                      "at most " + std::to_string(most.value()) + ", half of a thread's memory for requests");
    }
    if (auto faults = reader->finish(); !faults.empty()) {
        return tl::make_unexpected(DeclareError{std::move(faults)});
    }
    return settings;
}

} // namespace fescuesill
