#include "programs/scheduler/celldirector.h"

#include <algorithm>
#include <cmath>

// Ownership is soft. Two owners of a cell for a few seconds place into the same engines without knowing of each other:
// the engines refuse what does not fit, and the requests are placed again. No owner: entries place by themselves. So
// nothing here needs agreement, and a cell that is lost is simply dropped: what waits in it is told that the cell has
// moved, what runs in it is said to the next owner by the entries that hold it.
//
// What entries say, and what becomes of it when their link closes, is in celldirectorentries.cpp.

namespace fescuesill
{
namespace
{

EngineSpec specOf(const Engine &engine)
{
    EngineSpec spec;
    spec.engine = engine.id;
    spec.pool = engine.role == EngineRole::Prefill ? Pool::Prefill : Pool::Decode;
    spec.memory = engine.memory;
    spec.dataCentre = engine.dataCentre;
    spec.leaving = engine.leaving;
    return spec;
}

bool isInCell(const Engine &engine, const CellId &cell)
{
    return engine.model == cell.model && engine.dataCentre == cell.dataCentre;
}

} // namespace

CellDirector::CellDirector(Options options, HostId self)
    : options(options)
    , self(std::move(self))
    , crashes(options.crashes)
    , blocks(options.blocks)
{
}

void CellDirector::on(const DirectorEvent &event, Instant now)
{
    std::visit([this, now](const auto &alternative) { this->handle(alternative, now); }, event);
}

std::vector<DirectorOutput> CellDirector::poll(Instant now)
{
    this->dropAway(now);
    this->crashes.expire(now);
    this->blocks.expire(now);
    for (auto &[id, cell] : this->cells) {
        for (const Action &action : cell.scheduler.poll(now)) {
            std::visit([this, &cellId = id, now](const auto &alternative) { this->act(cellId, alternative, now); },
                       action);
        }
        this->summarise(id, cell, now);
    }
    std::vector<DirectorOutput> out;
    out.swap(this->outputs);
    return out;
}

Instant CellDirector::nextWake(Instant now) const
{
    Instant wake = now + this->options.summaries.changedInterval;
    for (const auto &[id, cell] : this->cells) {
        wake = std::min(wake, cell.nextSummary);
        const std::optional<Instant> next = cell.scheduler.nextWake();
        wake = next ? std::min(wake, *next) : wake;
    }
    return std::max(wake, now);
}

DirectorStatus CellDirector::status(Instant now) const
{
    DirectorStatus status;
    for (const auto &[id, cell] : this->cells) {
        status.cells[id] = CellStatus{cell.scheduler.summary(now), cell.scheduler.counters(), 0};
    }
    for (const auto &[request, tracked] : this->requests) {
        ++status.cells[tracked.cell].requests;
    }
    status.requests = this->requests.size();
    status.entries = this->entries.size();
    return status;
}

void CellDirector::handle(const Ownership &event, Instant now)
{
    this->liveHosts = event.liveHosts;
    std::vector<CellId> lost;
    for (const auto &[id, cell] : this->cells) {
        if (event.cells.count(id) == 0) {
            lost.push_back(id);
        }
    }
    for (const CellId &id : lost) {
        this->loseCell(id);
    }
    bool isChanged = !lost.empty();
    for (const CellId &id : event.cells) {
        if (this->cells.count(id) == 0) {
            this->cells.emplace(id,
                                OwnedCell{CellScheduler::create(this->options.cell).value(),
                                          OrphanFinder(this->options.orphans, now), now,
                                          SummaryPacer(this->options.summaries)});
            this->setEngines(id, now);
            isChanged = true;
        }
    }
    if (isChanged) {
        this->watchEngines();
    }
    this->tellLiveEntries();
}

void CellDirector::handle(const NewDeclaration &event, Instant now)
{
    this->declaration = event.declaration;
    for (const auto &[id, cell] : this->cells) {
        this->setEngines(id, now);
    }
    this->watchEngines();
}

void CellDirector::handle(const LoadReported &event, Instant now)
{
    const auto cell = this->cellByEngine.find(event.engine);
    if (cell != this->cellByEngine.end()) {
        this->cells.at(cell->second).scheduler.onLoadReport(event.engine, event.report, now);
    }
}

void CellDirector::handle(const CacheReported &event, Instant /*now*/)
{
    const auto cell = this->cellByEngine.find(event.engine);
    if (cell != this->cellByEngine.end()) {
        this->cells.at(cell->second).scheduler.onCacheEvents(event.engine, event.events, event.gap);
    }
}

void CellDirector::handle(const EngineSilent &event, Instant now)
{
    const auto cell = this->cellByEngine.find(event.engine);
    if (cell != this->cellByEngine.end()) {
        this->cells.at(cell->second).scheduler.onEngineLost(event.engine, now);
    }
}

void CellDirector::handle(const EngineStreams &event, Instant now)
{
    const auto cell = this->cellByEngine.find(event.engine);
    if (cell == this->cellByEngine.end()) {
        return;
    }
    OrphanFinder &orphans = this->cells.at(cell->second).orphans;
    std::map<StreamId, HostId> readers;
    for (const EngineStream &stream : event.streams) {
        readers[stream.stream] = stream.entry;
    }
    for (const StreamId &stream : orphans.onStreams(event.engine, event.streams, now)) {
        this->outputs.emplace_back(CancelStream{event.engine, stream, readers[stream]});
    }
}

void CellDirector::act(const CellId & /*cell*/, const Place &place, Instant now)
{
    Tracked *tracked = this->findTracked(place.request);
    if (tracked == nullptr) {
        return;
    }
    tracked->isPlaced = true;
    tracked->prefillEngine = place.prefillEngine;
    tracked->decodeEngine = place.decodeEngine;
    peer::Placed placed;
    placed.request = place.request;
    placed.prefillEngine = place.prefillEngine;
    placed.prefillAddress = this->addressOf(place.prefillEngine);
    placed.decodeEngine = place.decodeEngine;
    placed.decodeAddress = this->addressOf(place.decodeEngine);
    placed.decodeReady = place.decodeReady;
    placed.expiry = std::max(place.expiry - now, Duration(0));
    this->reply(place.request, std::move(placed));
}

void CellDirector::act(const CellId & /*cell*/, const StartDecode &start, Instant /*now*/)
{
    if (Tracked *tracked = this->findTracked(start.request)) {
        tracked->decodeEngine = start.decodeEngine;
        this->reply(start.request,
                    peer::StartDecode{start.request, start.decodeEngine, this->addressOf(start.decodeEngine)});
    }
}

void CellDirector::act(const CellId & /*cell*/, const Refuse &refuse, Instant /*now*/)
{
    this->reply(refuse.request, peer::Refused{refuse.request, refuse.refusal});
    this->requests.erase(refuse.request);
}

void CellDirector::act(const CellId & /*cell*/, const ChangeRole &change, Instant /*now*/)
{
    const Engine *engine = this->declaration ? this->declaration->findEngine(change.engine) : nullptr;
    if (engine != nullptr) {
        this->outputs.emplace_back(OrderRole{*engine, change.pool});
    }
}

CellDirector::OwnedCell *CellDirector::findCell(const CellId &cell)
{
    const auto found = this->cells.find(cell);
    return found == this->cells.end() ? nullptr : &found->second;
}

CellDirector::OwnedCell *CellDirector::cellOf(const RequestId &request)
{
    const Tracked *tracked = this->findTracked(request);
    return tracked == nullptr ? nullptr : this->findCell(tracked->cell);
}

CellDirector::Tracked *CellDirector::findTracked(const RequestId &request)
{
    const auto found = this->requests.find(request);
    return found == this->requests.end() ? nullptr : &found->second;
}

void CellDirector::loseCell(const CellId &cell)
{
    for (auto item = this->requests.begin(); item != this->requests.end();) {
        const auto &[request, tracked] = *item;
        const bool isTheirs = tracked.cell == cell;
        if (isTheirs && !tracked.isPlaced && tracked.link) {
            this->refuseMoved(*tracked.link, request);
        }
        item = isTheirs ? this->requests.erase(item) : std::next(item);
    }
    this->cells.erase(cell);
}

void CellDirector::setEngines(const CellId &cell, Instant now)
{
    if (!this->declaration) {
        return;
    }
    std::vector<EngineSpec> specs;
    for (const Engine &engine : this->declaration->engines) {
        if (isInCell(engine, cell)) {
            specs.push_back(specOf(engine));
        }
    }
    this->cells.at(cell).scheduler.setEngines(specs, now);
}

void CellDirector::watchEngines()
{
    this->cellByEngine.clear();
    WatchEngines watch;
    if (this->declaration) {
        for (const Engine &engine : this->declaration->engines) {
            const CellId cell{engine.model, engine.dataCentre};
            if (this->cells.count(cell) != 0) {
                this->cellByEngine[engine.id] = cell;
                watch.engines.push_back(engine);
            }
        }
    }
    this->outputs.emplace_back(std::move(watch));
}

// An entry whose link is open is live whatever membership says: its host's scheduler may be the one that died.
void CellDirector::tellLiveEntries()
{
    std::set<HostId> live = this->liveHosts;
    for (const auto &[link, host] : this->entries) {
        live.insert(host);
    }
    for (auto &[id, cell] : this->cells) {
        cell.orphans.onEntries(live);
    }
}

void CellDirector::summarise(const CellId &id, OwnedCell &cell, Instant now)
{
    if (now < cell.nextSummary) {
        return;
    }
    cell.nextSummary = now + this->options.summaries.changedInterval;
    const CellSummary summary = cell.scheduler.summary(now);
    if (cell.pacer.isDue(summary, now)) {
        cell.pacer.onPublished(summary, now);
        this->outputs.emplace_back(PublishSummary{id, summary});
    }
}

void CellDirector::reply(const RequestId &request, peer::Message message)
{
    const Tracked *tracked = this->findTracked(request);
    if (tracked != nullptr && tracked->link) {
        this->outputs.emplace_back(ToEntry{*tracked->link, std::move(message)});
    }
}

std::string CellDirector::addressOf(const EngineId &engine) const
{
    const Engine *found = this->declaration ? this->declaration->findEngine(engine) : nullptr;
    return found == nullptr ? std::string() : found->address;
}

} // namespace fescuesill
