#pragma once

// What the scheduler shows of itself: the /status page and the metrics.

#include "programs/scheduler/directormessages.h"
#include "programs/scheduler/peerduty.h"
#include "programs/scheduler/schedulersettings.h"
#include "promise/ledgersweep.h"
#include "wire/degradedmodes.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <memory>
#include <set>
#include <string>

namespace fescuesill
{

std::string schedulerStatusJson(const SchedulerSettings &settings, const PeerStatus &peers,
                                const DirectorStatus &director, const DegradedModes &degraded, bool isDraining);

class SchedulerMetrics
{
public:
    explicit SchedulerMetrics(const std::shared_ptr<prometheus::Registry> &registry);

    void update(const PeerStatus &peers, const DirectorStatus &director);
    void showSweep(const LedgerSweep::Counts &counts);

private:
    void show(const CellId &id, const CellStatus &cell);
    void clearLostCells(const DirectorStatus &director);

    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Gauge &version;
    prometheus::Gauge &serving;
    prometheus::Gauge &members;
    prometheus::Gauge &links;
    prometheus::Gauge &followers;
    prometheus::Gauge &tableReadAge;
    prometheus::Gauge &probeSentBytes;
    prometheus::Gauge &probeReceivedBytes;
    prometheus::Gauge &sweepPasses;
    prometheus::Gauge &sweepDeleted;
    prometheus::Gauge &sweepMalformed;
    prometheus::Gauge &linksRefused;
    prometheus::Gauge &linksReplaced;
    prometheus::Family<prometheus::Gauge> &probesRefused;
    prometheus::Family<prometheus::Gauge> &cellRequests;
    prometheus::Family<prometheus::Gauge> &cellFreePieces;
    prometheus::Family<prometheus::Gauge> &cellQueueSeconds;
    prometheus::Family<prometheus::Gauge> &cellRefused;
    prometheus::Family<prometheus::Gauge> &cellPlaced;
    prometheus::Family<prometheus::Gauge> &cellWasted;
    std::set<CellId> shown; // at most the cells of the declaration
};

} // namespace fescuesill
