#include "programs/scheduler/schedulerstatus.h"

#include <nlohmann/json.hpp>

namespace fescuesill
{
namespace
{

using Json = nlohmann::json;
using Labels = std::map<std::string, std::string>;

const char *serviceName(ConfigService service, bool isDraining)
{
    if (isDraining) {
        return "draining";
    }
    switch (service) {
    case ConfigService::Learning:
        return "learning";
    case ConfigService::Serving:
        return "serving";
    case ConfigService::CutOff:
        return "cut_off";
    }
    return "learning";
}

const char *stateName(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    }
    return "dead";
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Json ownedCells(const HostId &self, const DirectorStatus &director)
{
    Json cells = Json::array();
    for (const auto &[id, cell] : director.cells) {
        cells.push_back({{"model", id.model.value()},
                         {"data_centre", id.dataCentre.value()},
                         {"owner", self.value()},
                         {"requests", cell.requests},
                         {"queue_ms", cell.summary.queueDelay / 1ms},
                         {"free_pieces", cell.summary.freePieces.value()},
                         {"placed", cell.counters.placed},
                         {"refused", cell.counters.refused},
                         {"decisions", cell.counters.decisions}});
    }
    return cells;
}

Json allMembers(const PeerStatus &peers)
{
    Json members = Json::array();
    for (const MemberInfo &member : peers.members) {
        members.push_back({{"host", member.host.value()},
                           {"data_centre", member.dataCentre.value()},
                           {"address", member.address},
                           {"state", stateName(member.state)}});
    }
    return members;
}

Json allOwners(const PeerStatus &peers)
{
    Json owners = Json::array();
    for (const peer::CellUpdate &cell : peers.cells) {
        owners.push_back({{"model", cell.cell.model.value()},
                          {"data_centre", cell.cell.dataCentre.value()},
                          {"owner", cell.owner.value()}});
    }
    return owners;
}

prometheus::Family<prometheus::Gauge> &family(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

} // namespace

std::string schedulerStatusJson(const SchedulerSettings &settings, const PeerStatus &peers,
                                const DirectorStatus &director, const DegradedModes &degraded, bool isDraining)
{
    const Json status = {
        {"process", "scheduler"},
        {"host", settings.host.value()},
        {"data_centre", settings.dataCentre.value()},
        {"version", peers.version.value()},
        {"state", serviceName(peers.service, isDraining)},
        {"degraded", toJson(degraded)},
        {"cells", ownedCells(settings.host, director)},
        {"owners", allOwners(peers)},
        {"members", allMembers(peers)},
        {"entries", director.entries},
        {"requests", director.requests},
    };
    return status.dump();
}

SchedulerMetrics::SchedulerMetrics(const std::shared_ptr<prometheus::Registry> &registry)
    : registry(registry)
    , version(family(*registry, "fescuesill_config_version", "Version of the declaration in force here").Add({}))
    , serving(family(*registry, "fescuesill_serving", "1 where new work is taken").Add({}))
    , members(family(*registry, "fescuesill_members", "Hosts that are not dead, as seen here").Add({}))
    , links(family(*registry, "fescuesill_entry_links", "Open links, nearly all of them from entries").Add({}))
    , followers(family(*registry, "fescuesill_followers", "Entries that take their news here").Add({}))
    , tableReadAge(family(*registry, "fescuesill_table_read_age_seconds",
                          "Age of the youngest read of the configuration row known here; -1: none below three seconds")
                       .Add({}))
    , probeSentBytes(family(*registry, "fescuesill_probe_sent_bytes", "Bytes of probes sent since the start").Add({}))
    , probeReceivedBytes(
          family(*registry, "fescuesill_probe_received_bytes", "Bytes of probes received since the start").Add({}))
    , sweepPasses(family(*registry, "fescuesill_sweep_passes", "Passes over this host's part of the ledger").Add({}))
    , sweepDeleted(family(*registry, "fescuesill_sweep_rows_deleted", "Ledger rows deleted since the start").Add({}))
    , sweepMalformed(
          family(*registry, "fescuesill_sweep_rows_malformed", "Ledger rows met that do not parse; they are kept")
              .Add({}))
    , linksRefused(
          family(*registry, "fescuesill_links_refused", "Links that failed to prove their key since the start").Add({}))
    , linksReplaced(family(*registry, "fescuesill_link_connections_replaced",
                           "Connections closed for new ones before they became links")
                        .Add({}))
    , probesRefused(family(*registry, "fescuesill_probes_refused", "Probes refused since the start, by cause"))
    , cellRequests(family(*registry, "fescuesill_cell_requests", "Requests waiting or running in an owned cell"))
    , cellFreePieces(family(*registry, "fescuesill_cell_free_pieces", "Decode memory neither used nor reserved"))
    , cellQueueSeconds(family(*registry, "fescuesill_cell_queue_seconds", "Expected wait of a new request"))
    , cellRefused(family(*registry, "fescuesill_cell_refused", "Requests refused since the cell was taken over"))
    , cellPlaced(family(*registry, "fescuesill_cell_placed", "Requests placed since the cell was taken over"))
    , cellWasted(family(*registry, "fescuesill_cell_wasted_prefill_tokens",
                        "Prefill tokens thrown away since the cell was taken over, by cause"))
{
}

void SchedulerMetrics::update(const PeerStatus &peers, const DirectorStatus &director)
{
    this->version.Set(static_cast<double>(peers.version.value()));
    this->serving.Set(peers.service == ConfigService::Serving ? 1 : 0);
    double live = 0;
    for (const MemberInfo &member : peers.members) {
        live += member.state == MemberState::Dead ? 0 : 1;
    }
    this->members.Set(live);
    this->links.Set(static_cast<double>(peers.links));
    this->followers.Set(static_cast<double>(peers.followers));
    this->tableReadAge.Set(peers.tableReadAge ? seconds(*peers.tableReadAge) : -1);
    this->probeSentBytes.Set(static_cast<double>(peers.traffic.sentBytes));
    this->probeReceivedBytes.Set(static_cast<double>(peers.traffic.receivedBytes));
    this->linksRefused.Set(static_cast<double>(peers.refusedLinks));
    this->linksReplaced.Set(static_cast<double>(peers.replacedConnections));
    for (std::size_t cause = 0; cause < datagramFaults; ++cause) {
        const Labels labels{{"cause", faultName(static_cast<DatagramFault>(cause))}};
        this->probesRefused.Add(labels).Set(static_cast<double>(peers.traffic.refused[cause]));
    }
    for (const auto &[id, cell] : director.cells) {
        this->show(id, cell);
    }
    this->clearLostCells(director);
}

void SchedulerMetrics::showSweep(const LedgerSweep::Counts &counts)
{
    this->sweepPasses.Set(static_cast<double>(counts.passes));
    this->sweepDeleted.Set(static_cast<double>(counts.deleted));
    this->sweepMalformed.Set(static_cast<double>(counts.malformed));
}

void SchedulerMetrics::show(const CellId &id, const CellStatus &cell)
{
    const Labels labels{{"model", id.model.value()}, {"data_centre", id.dataCentre.value()}};
    this->cellRequests.Add(labels).Set(static_cast<double>(cell.requests));
    this->cellFreePieces.Add(labels).Set(static_cast<double>(cell.summary.freePieces.value()));
    this->cellQueueSeconds.Add(labels).Set(seconds(cell.summary.queueDelay));
    this->cellRefused.Add(labels).Set(static_cast<double>(cell.counters.refused));
    this->cellPlaced.Add(labels).Set(static_cast<double>(cell.counters.placed));
    const auto wasted = [&](const char *cause, Tokens tokens) {
        Labels withCause = labels;
        withCause["cause"] = cause;
        this->cellWasted.Add(withCause).Set(static_cast<double>(tokens.value()));
    };
    wasted("expired", cell.counters.wastedExpired);
    wasted("redone", cell.counters.wastedRedone);
    wasted("cancelled", cell.counters.wastedCancelled);
    wasted("no_place", cell.counters.wastedNoPlace);
    this->shown.insert(id);
}

// Failure: a cell goes to another host and its last figures stay here. It shows as free memory and queues counted
// twice.
void SchedulerMetrics::clearLostCells(const DirectorStatus &director)
{
    for (auto id = this->shown.begin(); id != this->shown.end();) {
        const bool isLost = director.cells.count(*id) == 0;
        if (isLost) {
            this->show(*id, CellStatus());
        }
        id = isLost ? this->shown.erase(id) : std::next(id);
    }
}

} // namespace fescuesill
