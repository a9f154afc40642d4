// The gate knows the generations that it placed, and forecasts from them how full each engine will get; an engine in
// whose forecast one more fits is asked for a reservation. The engine knows exactly what it has left and may still
// refuse: there may be other gates, or generations that outgrew their estimate. The reservation comes before the prompt
// is read, so a prefill result never waits for a place.
//
// A request that finds no place waits, first among those that can still be on time. Past that it is late whatever
// happens, and waits behind all that are not: an answer that is on time is worth several late ones to the callers, and
// a late one more than a refusal. It is rejected when its caller is about to go, or on arrival where those before it
// already take longer than that at the measured rate.

#include "decide/generationgate.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fescuesill
{
namespace
{

constexpr double tokenWeight = 0.05; // of one generation in the mean time of a token, over all engines
constexpr double engineTokenWeight = 0.2; // and at one engine, which ends few of them
constexpr int mostDoublings = 4;
constexpr std::int64_t leastEnded = 10; // generations before the time of a token is believed
constexpr std::int64_t leastMade = 200; // tokens; the time of fewer says little about a step

// Within one rank of the callers, those that are late already go behind the others.
int queueRank(int rank, bool isLate)
{
    return rank * 2 + (isLate ? 1 : 0);
}

bool isLateRank(int queueRank)
{
    return queueRank % 2 != 0;
}

} // namespace

GenerationGate::GenerationGate(const Options &given, std::uint64_t seed)
    : options(given)
    , random(seed)
    , queue(given.queue)
    , admission(given.admission)
    , prefill(given.prefill)
    , perTokenUs(static_cast<double>(given.perToken.count()))
{
}

void GenerationGate::setEngines(const std::vector<DecodePlaces> &listed, Instant)
{
    std::unordered_map<EngineId, Engine> next;
    this->memory = Tokens(0);
    for (const DecodePlaces &places : listed) {
        const auto known = this->engines.find(places.engine);
        const bool isSameStart = known != this->engines.end() && known->second.places.incarnation == places.incarnation;
        Engine engine = isSameStart ? std::move(known->second) : Engine();
        engine.places = places;
        this->memory += places.memory;
        next.emplace(places.engine, std::move(engine));
    }
    this->engines = std::move(next);
}

void GenerationGate::setPrefillEngines(const std::vector<PrefillPlace> &listed)
{
    this->prefill.setEngines(listed);
}

// The part of all the memory that a generation takes, for as long as it lives: the time of the whole pool it uses up.
Duration GenerationGate::costOf(const GenerationAsk &ask) const
{
    const double life = this->perTokenUs * static_cast<double>(ask.output.value());
    const auto all = static_cast<double>(std::max<std::int64_t>(1, this->memory.value()));
    return Duration(static_cast<std::int64_t>(static_cast<double>(ask.need().value()) / all * life));
}

void GenerationGate::enqueue(const GenerationAsk &ask, bool isLate)
{
    this->waitingAsks[ask.id] = ask;
    this->queue.push({ask.id, WorkspaceId(), queueRank(ask.rank, isLate), this->costOf(ask), ask.arrival,
                      isLate ? ask.usefulUntil : ask.onTimeUntil});
}

// Of the pool's whole time, as a share.
double GenerationGate::offeredLoad(Instant now) const
{
    const auto window = static_cast<double>(this->options.loadWindow.count());
    return this->offered * std::exp(-static_cast<double>((now - this->offeredAt).count()) / window) / window;
}

void GenerationGate::submit(const GenerationAsk &ask, Instant now)
{
    const auto window = static_cast<double>(this->options.loadWindow.count());
    this->offered = this->offeredLoad(now) * window + static_cast<double>(this->costOf(ask).count());
    this->offeredAt = now;
    this->addNeed(ask, now);
    this->enqueue(ask, now >= ask.onTimeUntil);
}

double GenerationGate::needFade(Instant now) const
{
    const auto window = static_cast<double>(this->options.needWindow.count());
    return std::exp(-static_cast<double>((now - this->needAt).count()) / window);
}

void GenerationGate::addNeed(const GenerationAsk &ask, Instant now)
{
    const double fade = this->needFade(now);
    const auto output =
        static_cast<double>(this->estimate.expect(ask.output, ask.mostOutput).remaining(Tokens(0)).value());
    const double meanHeld = static_cast<double>(ask.prompt.value()) + output / 2;
    this->promptTokens = this->promptTokens * fade + static_cast<double>(ask.prompt.value());
    this->heldTokenUs = this->heldTokenUs * fade + meanHeld * output * this->perTokenUs;
    this->needAt = now;
}

Duration GenerationGate::perToken(const Engine &engine) const
{
    return Duration(static_cast<std::int64_t>(engine.perTokenUs.value_or(this->perTokenUs)));
}

std::optional<double> GenerationGate::fullness(const Engine &engine, const GenerationAsk &ask, Instant now) const
{
    const bool isFull = (engine.fullUntil && now < *engine.fullUntil)
        || static_cast<int>(engine.runs.size()) >= engine.places.slots || engine.places.engine == ask.avoid;
    if (isFull) {
        return std::nullopt;
    }
    std::vector<GrowingRun> runs;
    runs.reserve(engine.runs.size() + 1);
    for (const auto &[id, run] : engine.runs) {
        runs.push_back(run);
    }
    runs.push_back({ask.prompt, this->estimate.expect(ask.output, ask.mostOutput), now});
    const Tokens peak = peakMemory(runs, this->perToken(engine), now);
    const double share = static_cast<double>(peak.value()) / static_cast<double>(engine.places.memory.value());
    // A request larger than the share alone still gets an empty engine.
    const bool fits = share <= this->options.fill || (engine.runs.empty() && share <= 1);
    return fits ? std::optional(share) : std::nullopt;
}

GenerationGate::Choice GenerationGate::choose(const GenerationAsk &ask, Instant now)
{
    Choice chosen;
    double least = std::numeric_limits<double>::max();
    for (auto &[id, engine] : this->engines) {
        const auto share = this->fullness(engine, ask, now);
        if (!share) {
            continue;
        }
        // Below the share of one generation: breaks ties between engines that look the same, so that gates which know
        // the same do not all choose the same one.
        const double jitter = static_cast<double>(this->random() % 1000) * 1e-5;
        const double far = engine.places.dataCentre == ask.dataCentre ? 0.0 : this->options.farShare;
        const double cost = *share + far + this->options.faultShare * engine.faults.at(now) + jitter;
        if (cost < least) {
            least = cost;
            chosen = {&engine, *share};
        }
    }
    return chosen;
}

void GenerationGate::place(const GenerationAsk &ask, Engine &engine, Instant now)
{
    engine.runs[ask.id] = GrowingRun{ask.prompt, this->estimate.expect(ask.output, ask.mostOutput), now};
    this->placements[ask.id] = Placement{ask, engine.places.engine, engine.places.incarnation, now, false};
}

bool GenerationGate::isWithinShare(const GenerationAsk &ask) const
{
    if (this->share >= 1 || this->placements.empty()) {
        return true;
    }
    std::int64_t need = ask.need().value();
    for (const auto &[id, placement] : this->placements) {
        need += placement.ask.need().value();
    }
    return static_cast<double>(need) <= this->share * static_cast<double>(this->memory.value());
}

void GenerationGate::placeWaiting(std::vector<GateAction> &actions, Instant now)
{
    while (this->prefill.mayStart(now)) {
        const QueueItem *head = this->queue.head();
        if (head == nullptr) {
            return;
        }
        const GenerationAsk ask = this->waitingAsks.at(head->request);
        const Choice choice = this->isWithinShare(ask) ? this->choose(ask, now) : Choice();
        if (choice.engine == nullptr) {
            return;
        }
        this->queue.pop();
        this->waitingAsks.erase(ask.id);
        this->place(ask, *choice.engine, now);
        const auto reader =
            this->prefill.start({ask.id, ask.promptName, ask.prompt, choice.engine->places.dataCentre}, now);
        this->placements.at(ask.id).prefill = reader.value_or(EngineId());
        actions.push_back(TryReserve{ask.id, choice.engine->places.engine, reader.value_or(EngineId()), choice.forecast,
                                     now - ask.arrival});
    }
}

void GenerationGate::reject(std::vector<GateAction> &actions, const QueueItem &item, Instant now)
{
    this->waitingAsks.erase(item.request);
    const Duration backlog = this->queue.backlog(item.rank);
    actions.push_back(
        RejectGeneration{item.request, this->admission.retryAfter(backlog, item.cost, now), now - item.arrival});
}

void GenerationGate::demoteLate(std::vector<GateAction> &actions, Instant now)
{
    for (const QueueItem &item : this->queue.takeExpired(now)) {
        const GenerationAsk ask = this->waitingAsks.at(item.request);
        if (now < ask.usefulUntil) {
            this->enqueue(ask, true);
        } else {
            this->reject(actions, item, now);
        }
    }
}

// Those behind which more waits than is placed until their last moment in time will be late. Known now, they need not
// wait for that moment: they are late already, and those that will not be served even late are told so at once. A burst
// may be over before that moment, and the rate of placing is known to some half only; so until the load has lasted,
// only those count that would be late at twice the rate.
void GenerationGate::demoteHopeless(Instant now)
{
    const bool lasts = this->offeredLoad(now) > this->options.lastingLoad * this->admission.rate();
    const double hope = lasts ? 1 : this->options.hopeInBurst;
    for (const int rank : this->queue.waitingRanks()) {
        while (!isLateRank(rank)) {
            const QueueItem *last = this->queue.last(rank);
            if (last == nullptr) {
                break;
            }
            const Duration wait = this->admission.expectedWait(this->queue.backlog(rank) - last->cost);
            if (static_cast<double>(wait.count()) <= static_cast<double>((last->latest - now).count()) * hope) {
                break;
            }
            const RequestId request = last->request;
            this->queue.takeLast(rank);
            this->enqueue(this->waitingAsks.at(request), true);
        }
    }
}

// Those in time go first, so what is late gets only the rate that they leave, and the small share that the queue keeps
// for it.
Duration GenerationGate::expectedWait(int rank, Instant now) const
{
    if (!isLateRank(rank)) {
        return this->admission.expectedWait(this->queue.backlog(rank));
    }
    const double rate = this->admission.rate();
    const double left = std::max(rate - this->offeredLoad(now), rate * this->options.queue.lowRankShare);
    const auto behind = static_cast<double>(this->queue.backlogAt(rank).count());
    const auto before = static_cast<double>(this->queue.backlog(rank - 1).count());
    return Duration(static_cast<std::int64_t>(before / rate + behind / left));
}

void GenerationGate::rejectSurplus(std::vector<GateAction> &actions, Instant now)
{
    while (const auto rank = this->queue.lastRank()) {
        const GenerationAsk &first = this->waitingAsks.at(this->queue.head(*rank)->request);
        const bool isTooMany = this->queue.size() > this->options.mostWaiting;
        const bool isTooLong = this->expectedWait(*rank, now) > first.usefulUntil - first.arrival;
        if (!isTooMany && (!isTooLong || this->queue.size() == 1)) {
            return;
        }
        const auto last = this->queue.takeLast(*rank);
        if (!last) {
            return;
        }
        this->reject(actions, *last, now);
    }
}

std::vector<GateAction> GenerationGate::poll(Instant now)
{
    std::vector<GateAction> actions;
    this->demoteLate(actions, now);
    this->placeWaiting(actions, now);
    this->demoteHopeless(now);
    this->rejectSurplus(actions, now);
    return actions;
}

std::optional<StageLoad> GenerationGate::stageLoad(Instant now) const
{
    if (this->ended < leastEnded) {
        return std::nullopt;
    }
    const double perUs = this->needFade(now) / static_cast<double>(this->options.needWindow.count());
    return StageLoad{this->promptTokens * this->prefill.perTokenUs() * perUs, this->heldTokenUs * perUs};
}

GateView GenerationGate::view(Instant now) const
{
    return {this->queue.size(),     this->placements.size(), this->engines.size(),
            this->offeredLoad(now), this->admission.rate(),  Duration(static_cast<std::int64_t>(this->perTokenUs))};
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
    if (!this->prefill.mayStart(now)) {
        wake = std::min(*wake, this->prefill.nextStart(now));
    }
    return std::max(*wake, now);
}

GenerationGate::Engine *GenerationGate::engineOf(const Placement &placement)
{
    const auto found = this->engines.find(placement.engine);
    const bool isSameStart = found != this->engines.end() && found->second.places.incarnation == placement.incarnation;
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
        engine->runs.erase(id);
    }
    return placement;
}

void GenerationGate::adopt(const GenerationAsk &ask, const EngineId &id, Instant since)
{
    if (this->queue.remove(ask.id)) {
        this->waitingAsks.erase(ask.id);
    }
    this->take(ask.id);
    const auto engine = this->engines.find(id);
    if (engine != this->engines.end()) {
        this->place(ask, engine->second, since);
    }
}

void GenerationGate::onReserved(const RequestId &id)
{
    const auto found = this->placements.find(id);
    if (found == this->placements.end() || found->second.isReserved) {
        return;
    }
    found->second.isReserved = true;
    const bool othersWait = this->queue.size() > 0;
    this->admission.onPlaced(this->costOf(found->second.ask), othersWait, found->second.since);
    if (Engine *engine = this->engineOf(found->second)) {
        engine->faultsInRow = 0;
    }
}

void GenerationGate::onRead(const RequestId &id, Instant now)
{
    this->prefill.onRead(id, now);
}

void GenerationGate::onReadFailed(const RequestId &id, Instant now)
{
    this->prefill.onFailed(id, now);
}

void GenerationGate::onResultLost(const RequestId &id, Instant now)
{
    const auto placement = this->placements.find(id);
    if (placement != this->placements.end()) {
        this->prefill.onResultLost(placement->second.prefill, now);
    }
}

void GenerationGate::onFull(const RequestId &id, Instant now)
{
    this->prefill.onDropped(id, now);
    const auto placement = this->take(id);
    if (!placement) {
        return;
    }
    if (Engine *engine = this->engineOf(*placement)) {
        engine->fullUntil = now + this->options.askAgain;
    }
}

void GenerationGate::onFault(const RequestId &id, Instant now)
{
    this->prefill.onDropped(id, now);
    const auto placement = this->take(id);
    if (!placement) {
        return;
    }
    if (Engine *engine = this->engineOf(*placement)) {
        engine->faults.add(1, now);
        const Duration pause = this->options.afterFault * (1 << std::min(engine->faultsInRow, mostDoublings));
        engine->fullUntil = now + std::min(pause, this->options.longestAfterFault);
        ++engine->faultsInRow;
    }
}

void GenerationGate::onEnded(const RequestId &id, bool isEngineFault, Tokens made, Instant now)
{
    this->prefill.onDropped(id, now);
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
    if (made.value() >= leastMade && !isEngineFault) {
        this->learn(engine, *placement, made, now);
    }
}

void GenerationGate::learn(Engine *engine, const Placement &placement, Tokens made, Instant now)
{
    const double each = static_cast<double>((now - placement.since).count()) / static_cast<double>(made.value());
    ++this->ended;
    const double weight = std::max(tokenWeight, 1.0 / static_cast<double>(this->ended));
    this->perTokenUs += weight * (each - this->perTokenUs);
    this->estimate.learn(placement.ask.output, made);
    if (engine != nullptr) {
        const double before = engine->perTokenUs.value_or(this->perTokenUs);
        engine->perTokenUs = before + engineTokenWeight * (each - before);
    }
}

} // namespace fescuesill
