#include "programs/scheduler/celldirector.h"

#include <algorithm>
#include <cmath>

// Ownership is soft. Two owners of a cell for a few seconds place into the same engines without knowing of each other:
// the engines refuse what does not fit, and the requests are placed again. No owner: entries place by themselves. So
// nothing here needs agreement, and a cell that is lost is simply dropped: what waits in it is told that the cell has
// moved, what runs in it is said to the next owner by the entries that hold it.
//
// A closed link is either a dead entry or a lost connection. What waited on it is dropped at once, since the entry asks
// again when it is back and nobody waits if it is dead. What was placed keeps its reservation for the grace, since its
// memory at the engine is in use all that time; the entry claims it with Holding, and after the grace OrphanFinder
// cancels what the engines still run.

namespace fescuesill
{
namespace
{

// A cell that has just moved has its next owner within one spread of the membership; sooner would find no owner.
constexpr Duration movedRetry = 100ms;

RequestClass requestClassOf(const ServiceClass &serviceClass)
{
    RequestClass made;
    made.name = serviceClass.name;
    made.rank = serviceClass.rank;
    made.firstToken = serviceClass.firstToken;
    made.perToken = serviceClass.perToken;
    made.patience = serviceClass.patience;
    made.wasteWeight = serviceClass.wasteWeight;
    return made;
}

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

// Whether an entry might choose another data centre by the new summary.
bool changesChoice(const CellSummary &before, const CellSummary &now)
{
    constexpr Duration delayStep = 50ms; // a tenth of the time to the first token
    constexpr double memoryStep = 0.1;
    const Duration delayChange =
        now.queueDelay > before.queueDelay ? now.queueDelay - before.queueDelay : before.queueDelay - now.queueDelay;
    return before.accepting != now.accepting || delayChange >= delayStep
        || std::abs(now.memoryUse - before.memoryUse) >= memoryStep;
}

bool isInCell(const Engine &engine, const CellId &cell)
{
    return engine.model == cell.model && engine.dataCentre == cell.dataCentre;
}

} // namespace

CellDirector::CellDirector(Options options, HostId self)
    : options(options)
    , self(std::move(self))
{
}

void CellDirector::on(const DirectorEvent &event, Instant now)
{
    std::visit([this, now](const auto &alternative) { this->handle(alternative, now); }, event);
}

std::vector<DirectorOutput> CellDirector::poll(Instant now)
{
    this->dropAway(now);
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
    Instant wake = now + this->options.summaryChanged;
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

void CellDirector::handle(const FromEntry &event, Instant now)
{
    std::visit([this, &event, now](const auto &message) { this->receive(event.link, message, now); }, event.message);
}

void CellDirector::handle(const LinkClosed &event, Instant now)
{
    const auto entry = this->entries.find(event.link);
    if (entry == this->entries.end()) {
        return;
    }
    const HostId host = entry->second;
    this->entries.erase(entry);
    for (auto item = this->requests.begin(); item != this->requests.end();) {
        auto &[request, tracked] = *item;
        const bool isTheirs = tracked.link == event.link;
        if (isTheirs && !tracked.isPlaced) {
            this->cells.at(tracked.cell).scheduler.onCancelled(request, now);
            item = this->requests.erase(item);
            continue;
        }
        if (isTheirs) {
            tracked.link.reset();
            tracked.awaySince = now;
        }
        ++item;
    }
    for (auto &[id, cell] : this->cells) {
        cell.orphans.onEntryLost(host);
    }
    this->tellLiveEntries();
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
                                          OrphanFinder(this->options.orphans, now), now, Instant(), CellSummary()});
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

void CellDirector::receive(LinkId link, const peer::Hello &hello, Instant /*now*/)
{
    if (hello.isEntry) {
        this->entries[link] = hello.host;
        this->tellLiveEntries();
    }
}

void CellDirector::receive(LinkId link, const peer::Submit &submit, Instant now)
{
    OwnedCell *cell = this->findCell(submit.cell);
    const auto entry = this->entries.find(link);
    if (cell == nullptr || entry == this->entries.end()) {
        this->refuseMoved(link, submit.request);
        return;
    }
    const Service *service = this->declaration ? this->declaration->findService(submit.service) : nullptr;
    if (service == nullptr) {
        Refusal refusal{RefusalCode::UnknownService, RunState::NotRun, "no service of this name is declared",
                        std::nullopt};
        this->outputs.emplace_back(ToEntry{link, peer::Refused{submit.request, std::move(refusal)}});
        return;
    }
    if (this->findTracked(submit.request) != nullptr) {
        cell->scheduler.onCancelled(submit.request, now); // asked again after a reconnect
    }
    Tracked tracked;
    tracked.cell = submit.cell;
    tracked.entry = entry->second;
    tracked.link = link;
    this->requests[submit.request] = tracked;
    cell->scheduler.submit(this->placeRequest(submit, *service, now), now);
}

void CellDirector::receive(LinkId /*link*/, const peer::PrefillDone &done, Instant now)
{
    if (OwnedCell *cell = this->cellOf(done.request)) {
        cell->scheduler.onPrefillDone(done.request, PrefillResult{done.read, done.reused, done.keep}, now);
    }
}

void CellDirector::receive(LinkId /*link*/, const peer::PrefillFailed &failed, Instant now)
{
    if (OwnedCell *cell = this->cellOf(failed.request)) {
        cell->scheduler.onPrefillFailed(failed.request, failed.fault, now);
    }
}

void CellDirector::receive(LinkId /*link*/, const peer::OutputProgress &progress, Instant now)
{
    OwnedCell *cell = this->cellOf(progress.request);
    if (cell == nullptr) {
        return;
    }
    Tracked &tracked = *this->findTracked(progress.request);
    if (!tracked.hasOutput) {
        tracked.hasOutput = true;
        cell->scheduler.onFirstToken(progress.request, now);
    }
    cell->scheduler.onProgress(progress.request, progress.output, now);
}

void CellDirector::receive(LinkId /*link*/, const peer::DecodeFailed &failed, Instant now)
{
    if (OwnedCell *cell = this->cellOf(failed.request)) {
        this->findTracked(failed.request)->hasOutput = false;
        cell->scheduler.onDecodeFailed(failed.request, failed.fault, failed.kvHeld, now);
    }
}

void CellDirector::receive(LinkId /*link*/, const peer::Finished &finished, Instant now)
{
    OwnedCell *cell = this->cellOf(finished.request);
    if (cell == nullptr) {
        return;
    }
    if (finished.outcome == peer::RequestOutcome::Completed) {
        cell->scheduler.onFinished(finished.request, now);
    } else {
        cell->scheduler.onCancelled(finished.request, now);
    }
    this->requests.erase(finished.request);
}

void CellDirector::receive(LinkId link, const peer::Holding &holding, Instant now)
{
    const auto entry = this->entries.find(link);
    if (entry == this->entries.end()) {
        return;
    }
    const HostId host = entry->second;
    std::set<RequestId> claimed;
    std::map<CellId, std::set<StreamId>> streams;
    for (const peer::Held &held : holding.requests) {
        if (this->findCell(held.cell) != nullptr) {
            this->adopt(link, host, held, now);
            claimed.insert(held.request);
            streams[held.cell].insert(held.stream);
        }
    }
    for (auto &[id, cell] : this->cells) {
        cell.orphans.onHolding(host, streams[id]);
    }
    this->dropUnclaimed(host, claimed, now);
}

template<typename Other>
void CellDirector::receive(LinkId /*link*/, const Other & /*other*/, Instant /*now*/)
{
    // What schedulers and entries say to each other about configuration and membership is not a matter of cells.
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

void CellDirector::adopt(LinkId link, const HostId &entry, const peer::Held &held, Instant now)
{
    Tracked *const known = this->findTracked(held.request);
    if (known != nullptr && held.stream.isEmpty()) {
        known->link = link;
        known->entry = entry;
        return;
    }
    if (known != nullptr) {
        // What it reported while the link was down is lost, so the cell may still take it for reading its prompt.
        this->cells.at(held.cell).scheduler.onCancelled(held.request, now);
    }
    HeldRequest request;
    request.request.request = held.request;
    request.request.workspace = held.workspace;
    request.request.prompt = held.prompt;
    request.request.maxOutput = held.maxOutput;
    request.request.arrival = now;
    request.decodeEngine = held.decodeEngine;
    request.output = held.output;
    const Service *service = this->declaration ? this->declaration->findService(held.service) : nullptr;
    if (service != nullptr) {
        request.request.requestClass = requestClassOf(this->declaration->classOf(*service));
    }
    Tracked tracked;
    tracked.cell = held.cell;
    tracked.entry = entry;
    tracked.link = link;
    tracked.decodeEngine = held.decodeEngine;
    tracked.isPlaced = true;
    tracked.hasOutput = held.output > Tokens(0);
    this->requests[held.request] = tracked;
    this->cells.at(held.cell).scheduler.adopt(request, now);
}

// What an entry was placed with before its link broke and no longer names has ended meanwhile.
void CellDirector::dropUnclaimed(const HostId &entry, const std::set<RequestId> &claimed, Instant now)
{
    for (auto item = this->requests.begin(); item != this->requests.end();) {
        const auto &[request, tracked] = *item;
        const bool isEnded = !tracked.link && tracked.entry == entry && claimed.count(request) == 0;
        if (isEnded) {
            this->cells.at(tracked.cell).scheduler.onCancelled(request, now);
        }
        item = isEnded ? this->requests.erase(item) : std::next(item);
    }
}

// Failure: an entry dies for good and its reservations would fill the cell for ever. It shows as engines with free
// memory in a cell that refuses. After the grace the engines' streams are cancelled as orphans, so the reservations go
// too.
void CellDirector::dropAway(Instant now)
{
    for (auto item = this->requests.begin(); item != this->requests.end();) {
        const auto &[request, tracked] = *item;
        const bool isOver = !tracked.link && now - tracked.awaySince >= this->options.orphans.grace;
        if (isOver) {
            this->cells.at(tracked.cell).scheduler.onCancelled(request, now);
        }
        item = isOver ? this->requests.erase(item) : std::next(item);
    }
}

void CellDirector::refuseMoved(LinkId link, const RequestId &request)
{
    Refusal refusal{RefusalCode::Draining, RunState::NotRun, "another host owns this cell now", movedRetry};
    this->outputs.emplace_back(ToEntry{link, peer::Refused{request, std::move(refusal)}});
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
    cell.nextSummary = now + this->options.summaryChanged;
    const CellSummary summary = cell.scheduler.summary(now);
    const bool isDue = now - cell.summarisedAt >= this->options.summaryUnchanged;
    if (isDue || changesChoice(cell.published, summary)) {
        cell.summarisedAt = now;
        cell.published = summary;
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

PlaceRequest CellDirector::placeRequest(const peer::Submit &submit, const Service &service, Instant now) const
{
    PlaceRequest request;
    request.request = submit.request;
    request.workspace = submit.workspace;
    request.requestClass = requestClassOf(this->declaration->classOf(service));
    request.prompt = submit.prompt;
    request.maxOutput = submit.maxOutput;
    request.arrival = now - submit.waited;
    for (const std::uint64_t hash : submit.prefix) {
        request.prefix.push_back(PrefixHash{hash});
    }
    return request;
}

} // namespace fescuesill
