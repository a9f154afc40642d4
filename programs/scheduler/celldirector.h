#pragma once

// The cells that this host owns and the requests in them: turns links, engine reports and ownership into events of the
// cells' deciders, and their actions into messages. No I/O.
//
//     CellDirector director(options, now);
//     director.on(DirectorEvent(FromEntry{link, message}), now);
//     for (const DirectorOutput &output : director.poll(now)) { std::visit(sender, output); }
//     director.nextWake(now);
//
// A request is known here from Submit (or Holding) until Finished, Refused, or the grace after its link closed.

#include "decide/cellscheduler.h"
#include "decide/crashtracker.h"
#include "decide/requestblocks.h"
#include "decide/summarypacer.h"
#include "declare/declaration.h"
#include "programs/scheduler/directormessages.h"
#include "promise/orphanfinder.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace fescuesill
{

class CellDirector
{
public:
    struct Options {
        CellScheduler::Options cell;
        OrphanFinder::Options orphans;
        SummaryPacer::Options summaries;
        CrashTracker::Options crashes;
        RequestBlocks::Options blocks;
    };

    CellDirector(Options options, HostId self);

    void on(const DirectorEvent &event, Instant now);
    std::vector<DirectorOutput> poll(Instant now);
    Instant nextWake(Instant now) const;

    DirectorStatus status(Instant now) const;

private:
    struct OwnedCell {
        CellScheduler scheduler;
        OrphanFinder orphans;
        Instant nextSummary;
        SummaryPacer pacer;
    };

    struct Tracked {
        CellId cell;
        HostId entry;
        std::optional<LinkId> link; // none while its entry is away
        Instant awaySince;
        EngineId prefillEngine;
        EngineId decodeEngine;
        bool isPlaced = false;
        bool hasOutput = false;
        RequestTraits traits; // empty if its entry has not stated them
    };

    void handle(const FromEntry &event, Instant now);
    void handle(const LinkClosed &event, Instant now);
    void handle(const Ownership &event, Instant now);
    void handle(const NewDeclaration &event, Instant now);
    void handle(const LoadReported &event, Instant now);
    void handle(const CacheReported &event, Instant now);
    void handle(const EngineSilent &event, Instant now);
    void handle(const EngineStreams &event, Instant now);

    void receive(LinkId link, const peer::Hello &hello, Instant now);
    void receive(LinkId link, const peer::Submit &submit, Instant now);
    void receive(LinkId link, const peer::PrefillDone &done, Instant now);
    void receive(LinkId link, const peer::PrefillFailed &failed, Instant now);
    void receive(LinkId link, const peer::OutputProgress &progress, Instant now);
    void receive(LinkId link, const peer::DecodeFailed &failed, Instant now);
    void receive(LinkId link, const peer::Finished &finished, Instant now);
    void receive(LinkId link, const peer::Holding &holding, Instant now);
    template<typename Other>
    void receive(LinkId link, const Other &other, Instant now);

    void act(const CellId &cell, const Place &place, Instant now);
    void act(const CellId &cell, const StartDecode &start, Instant now);
    void act(const CellId &cell, const Refuse &refuse, Instant now);
    void act(const CellId &cell, const ChangeRole &change, Instant now);

    OwnedCell *findCell(const CellId &cell);
    OwnedCell *cellOf(const RequestId &request);
    Tracked *findTracked(const RequestId &request);
    void adopt(LinkId link, const HostId &entry, const peer::Held &held, Instant now);
    void dropUnclaimed(const HostId &entry, const std::set<RequestId> &claimed, Instant now);
    void dropAway(Instant now);
    void refuseMoved(LinkId link, const RequestId &request);
    // Counts the end of an engine under the request. Returns whether the request is blocked from now on.
    void stopBlocked(LinkId link, OwnedCell &cell, const RequestId &request, Instant now);
    // Counts the crash of the engine that read or wrote for the request, if it ended. Returns whether the request is
    // blocked then.
    template<typename Failed>
    bool isBlockedAfter(const Failed &failed, EngineId Tracked::*engine, Instant now);
    void refuseBlocked(LinkId link, const RequestId &request, RunState run, Duration duration);
    void loseCell(const CellId &cell);
    void setEngines(const CellId &cell, Instant now);
    void watchEngines();
    void tellLiveEntries();
    void summarise(const CellId &id, OwnedCell &cell, Instant now);
    void reply(const RequestId &request, peer::Message message);
    std::string addressOf(const EngineId &engine) const;
    PlaceRequest placeRequest(const peer::Submit &submit, const Service &service, Instant now) const;

    Options options;
    HostId self;
    std::shared_ptr<const Declaration> declaration;
    std::map<CellId, OwnedCell> cells;
    std::map<EngineId, CellId> cellByEngine;
    std::unordered_map<RequestId, Tracked> requests; // bounded by the cells' own limits on waiting and running
    std::map<LinkId, HostId> entries;
    std::set<HostId> liveHosts;
    CrashTracker crashes; // of engines of the cells
    RequestBlocks blocks;
    std::vector<DirectorOutput> outputs; // since the last poll
};

} // namespace fescuesill
