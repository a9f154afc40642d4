// Each engine knows exactly what it has left and takes reservations, so no host has to own the picture of all engines: a
// host asks the engine that it believes emptiest, and a "full" costs one short call. What a host believes is its own share
// of the load, which the balancer spreads evenly over hosts, and which engines lately said that they are full.
//
// The reservation comes before the prompt is read, so a prefill result never waits for a place.
//
// A request that finds no place waits in the order of its rank and arrival, but never longer than it is of use: by its
// latest instant it is rejected, and sooner, on arrival, where the queue before it already takes longer than that at the
// measured rate.

#include "decide/generationgate.h"

#include <algorithm>
#include <limits>

namespace fescuesill
{

constexpr double lifeWeight = 0.1; // of one generation in the mean life

GenerationGate::GenerationGate(const Options &given, std::uint64_t seed)
    : options(given)
    , random(seed)
    , queue(given.queue)
    , admission(given.admission)
    , lifeUs(static_cast<double>(given.life.count()))
{
}

void GenerationGate::setEngines(const std::vector<DecodePlaces> &listed, Instant)
{
    std::unordered_map<EngineId, Engine> next;
    this->memory = Tokens(0);
    for (const DecodePlaces &places : listed) {
        const auto known = this->engines.find(places.engine);
        const bool isSameStart =
            known != this->engines.end() && known->second.places.incarnation == places.incarnation;
        Engine engine = isSameStart ? known->second : Engine();
        engine.places = places;
        this->memory += places.memory;
        next.emplace(places.engine, engine);
    }
    this->engines = std::move(next);
}

// The part of all the memory that a generation takes, for as long as it lives: the time of the whole pool it uses up.
Duration GenerationGate::costOf(Tokens need) const
{
    if (this->memory.value() == 0) {
        return Duration(static_cast<std::int64_t>(this->lifeUs));
    }
    const double share = static_cast<double>(need.value()) / static_cast<double>(this->memory.value());
    return Duration(static_cast<std::int64_t>(share * this->lifeUs));
}

void GenerationGate::requeue(const GenerationAsk &ask)
{
    this->waitingAsks[ask.id] = ask;
    this->queue.push({ask.id, WorkspaceId(), ask.rank, this->costOf(ask.need), ask.arrival, ask.latest});
}

void GenerationGate::submit(const GenerationAsk &ask, Instant)
{
    this->requeue(ask);
}

GenerationGate::Engine *GenerationGate::choose(const GenerationAsk &ask, Instant now)
{
    Engine *chosen = nullptr;
    double least = std::numeric_limits<double>::max();
    for (auto &[id, engine] : this->engines) {
        const bool isFull = (engine.fullUntil && now < *engine.fullUntil) || engine.running >= engine.places.slots
            || engine.places.memory < engine.held + ask.need;
        if (isFull || id == ask.avoid) {
            continue;
        }
        const double held =
            static_cast<double>(engine.held.value()) / static_cast<double>(engine.places.memory.value());
        // Below the size of one generation's share: breaks ties between engines that look the same, so that hosts which
        // know the same do not all choose the same one.
        const double jitter = static_cast<double>(this->random() % 1000) * 1e-5;
        const double cost = held + (engine.places.isNear ? 0.0 : this->options.farShare)
            + this->options.faultShare * engine.faults.at(now) + jitter;
        if (cost < least) {
            least = cost;
            chosen = &engine;
        }
    }
    return chosen;
}

void GenerationGate::place(const GenerationAsk &ask, Engine &engine, Instant now)
{
    engine.held += ask.need;
    ++engine.running;
    this->placements[ask.id] = Placement{ask, engine.places.engine, engine.places.incarnation, now, false};
}

void GenerationGate::rejectLate(std::vector<GateAction> &actions, Instant now)
{
    const auto reject = [&](const QueueItem &item) {
        this->waitingAsks.erase(item.request);
        const Duration backlog = this->queue.backlog(item.rank);
        actions.push_back(RejectGeneration{item.request, this->admission.retryAfter(backlog, item.cost, now)});
    };
    for (const QueueItem &item : this->queue.takeExpired(now)) {
        reject(item);
    }
    while (const auto rank = this->queue.lastRank()) {
        const QueueItem *head = this->queue.head();
        const bool isTooLong = this->queue.size() > this->options.mostWaiting
            || (this->queue.size() > 1
                && now + this->admission.expectedWait(this->queue.backlog(*rank)) > head->latest + (head->latest - head->arrival));
        if (!isTooLong) {
            return;
        }
        const auto last = this->queue.takeLast(*rank);
        if (!last) {
            return;
        }
        reject(*last);
    }
}

std::vector<GateAction> GenerationGate::poll(Instant now)
{
    std::vector<GateAction> actions;
    while (const QueueItem *head = this->queue.head()) {
        const GenerationAsk ask = this->waitingAsks.at(head->request);
        if (now >= ask.latest) {
            break;
        }
        Engine *engine = this->choose(ask, now);
        if (engine == nullptr) {
            break;
        }
        this->queue.pop();
        this->waitingAsks.erase(ask.id);
        this->place(ask, *engine, now);
        actions.push_back(TryReserve{ask.id, engine->places.engine});
    }
    this->rejectLate(actions, now);
    return actions;
}

std::optional<Instant> GenerationGate::nextWake(Instant now) const
{
    std::optional<Instant> wake = this->queue.nextExpiry();
    if (!wake) {
        return std::nullopt;
    }
    for (const auto &[id, engine] : this->engines) {
        if (engine.fullUntil && now < *engine.fullUntil) {
            wake = std::min(*wake, *engine.fullUntil);
        }
    }
    return std::max(*wake, now);
}

GenerationGate::Engine *GenerationGate::engineOf(const Placement &placement)
{
    const auto found = this->engines.find(placement.engine);
    const bool isSameStart =
        found != this->engines.end() && found->second.places.incarnation == placement.incarnation;
    return isSameStart ? &found->second : nullptr;
}

std::optional<GenerationGate::Placement> GenerationGate::take(const RequestId &id)
{
    const auto found = this->placements.find(id);
    if (found == this->placements.end()) {
        return std::nullopt;
    }
    Placement placement = found->second;
    this->placements.erase(found);
    if (Engine *engine = this->engineOf(placement)) {
        engine->held -= placement.ask.need;
        --engine->running;
    }
    return placement;
}

void GenerationGate::onReserved(const RequestId &id)
{
    const auto found = this->placements.find(id);
    if (found == this->placements.end()) {
        return;
    }
    found->second.isReserved = true;
    const bool othersWait = this->queue.size() > 0;
    this->admission.onPlaced(this->costOf(found->second.ask.need), othersWait, found->second.since);
    if (Engine *engine = this->engineOf(found->second)) {
        engine->faults.add(0, found->second.since);
    }
}

void GenerationGate::onFull(const RequestId &id, Instant now)
{
    const auto placement = this->take(id);
    if (!placement) {
        return;
    }
    if (Engine *engine = this->engineOf(*placement)) {
        engine->fullUntil = now + this->options.askAgain;
    }
    this->requeue(placement->ask);
}

void GenerationGate::onFault(const RequestId &id, Instant now)
{
    const auto placement = this->take(id);
    if (!placement) {
        return;
    }
    if (Engine *engine = this->engineOf(*placement)) {
        engine->faults.add(1, now);
        engine->fullUntil = now + this->options.askAgain;
    }
    this->requeue(placement->ask);
}

void GenerationGate::onEnded(const RequestId &id, bool isEngineFault, Instant now)
{
    if (this->queue.remove(id)) {
        this->waitingAsks.erase(id);
        return;
    }
    const auto placement = this->take(id);
    if (!placement) {
        return;
    }
    Engine *engine = this->engineOf(*placement);
    if (engine != nullptr) {
        engine->fullUntil.reset();
        engine->faults.add(isEngineFault ? 1 : 0, now);
    }
    if (!isEngineFault) {
        const auto life = static_cast<double>((now - placement->since).count());
        this->lifeUs += lifeWeight * (life - this->lifeUs);
    }
}

} // namespace fescuesill
