#include "programs/scheduler/celldirector.h"

// What entries say to the owner of a cell.
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
constexpr Duration blockDuration = CrashTracker::Options{}.memory;

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

} // namespace

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
        this->requests.erase(submit.request);
    }
    const RequestTraits traits{RequestTrait(submit.content)};
    if (const auto left = this->blocks.blockedFor(traits, now)) {
        this->refuseBlocked(link, submit.request, RunState::NotRun, *left);
        return;
    }
    Tracked tracked;
    tracked.traits = traits;
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

void CellDirector::receive(LinkId link, const peer::PrefillFailed &failed, Instant now)
{
    const bool isBlocked = this->isBlockedAfter(failed, &Tracked::prefillEngine, now);
    OwnedCell *cell = this->cellOf(failed.request);
    if (cell == nullptr) {
        return;
    }
    cell->scheduler.onPrefillFailed(failed.request, failed.fault, now);
    if (isBlocked) {
        this->stopBlocked(link, *cell, failed.request, now);
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

void CellDirector::receive(LinkId link, const peer::DecodeFailed &failed, Instant now)
{
    const bool isBlocked = this->isBlockedAfter(failed, &Tracked::decodeEngine, now);
    OwnedCell *cell = this->cellOf(failed.request);
    if (cell == nullptr) {
        return;
    }
    this->findTracked(failed.request)->hasOutput = false;
    cell->scheduler.onDecodeFailed(failed.request, failed.fault, failed.kvHeld, now);
    if (isBlocked) {
        this->stopBlocked(link, *cell, failed.request, now);
    }
}

void CellDirector::stopBlocked(LinkId link, OwnedCell &cell, const RequestId &request, Instant now)
{
    cell.scheduler.onCancelled(request, now);
    this->requests.erase(request);
    this->refuseBlocked(link, request, RunState::MayHaveRun, blockDuration);
}

template<typename Failed>
bool CellDirector::isBlockedAfter(const Failed &failed, EngineId Tracked::*engine, Instant now)
{
    if (failed.content == 0) {
        return false;
    }
    const RequestTraits traits{RequestTrait(failed.content)};
    const Tracked *tracked = this->findTracked(failed.request);
    const EndpointId ended(tracked == nullptr ? std::string() : (tracked->*engine).value());
    this->crashes.onCrash({{ended, now.time_since_epoch().count()}, now - failed.ran, now}, traits);
    for (const RequestTraits &blocked : this->crashes.blocked()) {
        this->blocks.block(blocked, blockDuration, Trials::None, now);
    }
    return this->blocks.blockedFor(traits, now).has_value();
}

void CellDirector::refuseBlocked(LinkId link, const RequestId &request, RunState run, Duration duration)
{
    Refusal refusal{RefusalCode::Blocked, run, "requests like this one crash engines", duration};
    this->outputs.emplace_back(ToEntry{link, peer::Refused{request, std::move(refusal)}});
}

void CellDirector::receive(LinkId /*link*/, const peer::Finished &finished, Instant now)
{
    OwnedCell *cell = this->cellOf(finished.request);
    if (cell == nullptr) {
        return;
    }
    if (finished.outcome == peer::RequestOutcome::Completed) {
        const RequestTraits &served = this->findTracked(finished.request)->traits;
        this->crashes.onServed(served);
        this->blocks.keepOnly(this->crashes.blocked());
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
