// The gate knows the generations that it placed and forecasts from them the peak memory of each engine. An engine in
// whose forecast one more generation fits is asked for a reservation. Only the engine knows its free memory exactly and
// may still refuse, because of other gates or of generations that exceeded their estimate. The reservation precedes the
// prefill, so a prefill result never waits for a place.
//
// A request without a place waits, first among the requests that can still be on time. After that it is late in any
// case and waits behind all that are not: an on-time answer is worth several late ones to the callers, and a late
// answer more than a refusal. It is rejected when its caller is about to give up, or on arrival if the requests before
// it already take longer than that at the measured rate.

#include "decide/generationgate.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fescuesill
{
namespace
{

constexpr double tokenWeight = 0.05; // weight of one generation in the mean time of a token, over all engines
constexpr double engineTokenWeight = 0.2; // the same for one engine, where fewer generations end
constexpr int maxDoublings = 4;
constexpr std::int64_t minEnded = 10; // generations before the measured time of a token is used
constexpr std::int64_t minGenerated = 200; // tokens; a shorter output says little about the time of a step

// Within one rank of the callers, requests that are already late go behind the others.
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
    , handoverFaults(given.handover)
    , perTokenUs(static_cast<double>(given.perToken.count()))
{
}

void GenerationGate::setEngines(const std::vector<DecodeEngine> &listed, Instant now)
{
    this->handoverFaults.removeOld(now);
    std::unordered_map<EngineId, Engine> next;
    this->memory = Tokens(0);
    for (const DecodeEngine &spec : listed) {
        const auto known = this->engines.find(spec.engine);
        const bool isSameStart = known != this->engines.end() && known->second.spec.incarnation == spec.incarnation;
        Engine engine = isSameStart ? std::move(known->second) : Engine();
        engine.spec = spec;
        this->memory += spec.memory;
        next.emplace(spec.engine, std::move(engine));
    }
    this->engines = std::move(next);
}

void GenerationGate::setPrefillEngines(const std::vector<PrefillEngine> &listed)
{
    this->prefill.setEngines(listed);
}

// Cost of a generation: the share of the total memory that it holds, times its duration, which is the time of the whole
// pool that it uses.
Duration GenerationGate::costOf(const GenerationRequest &request) const
{
    const double life = this->perTokenUs * static_cast<double>(request.output.value());
    const auto all = static_cast<double>(std::max<std::int64_t>(1, this->memory.value()));
    return Duration(static_cast<std::int64_t>(static_cast<double>(request.need().value()) / all * life));
}

void GenerationGate::enqueue(const GenerationRequest &request, bool isLate)
{
    this->waitingRequests[request.id] = request;
    this->queue.push({request.id, request.workspace, queueRank(request.rank, isLate), this->costOf(request),
                      request.arrival, isLate ? request.usefulUntil : request.onTimeUntil});
}

// As a share of the time of the whole pool.
double GenerationGate::offeredLoad(Instant now) const
{
    const auto window = static_cast<double>(this->options.loadWindow.count());
    return this->offered * std::exp(-static_cast<double>((now - this->offeredAt).count()) / window) / window;
}

double GenerationGate::shareLeft(double minimum, Instant now) const
{
    return std::max(1 - this->offeredLoad(now) / this->admission.rate(), minimum);
}

void GenerationGate::submit(const GenerationRequest &request, Instant now)
{
    const auto window = static_cast<double>(this->options.loadWindow.count());
    this->offered = this->offeredLoad(now) * window + static_cast<double>(this->costOf(request).count());
    this->offeredAt = now;
    this->addNeed(request, now);
    if (this->isPinned(request) || (!request.excluded.empty() && !this->hasEngineFor(request))) {
        this->pinned.push_back(request);
    } else {
        this->enqueue(request, now >= request.onTimeUntil);
    }
}

double GenerationGate::needDecay(Instant now) const
{
    const auto window = static_cast<double>(this->options.needWindow.count());
    return std::exp(-static_cast<double>((now - this->needAt).count()) / window);
}

void GenerationGate::addNeed(const GenerationRequest &request, Instant now)
{
    const double decay = this->needDecay(now);
    const auto output =
        static_cast<double>(this->estimate.expect(request.output, request.maxOutput).remaining(Tokens(0)).value());
    const double meanHeld = static_cast<double>(request.prompt.value()) + output / 2;
    this->promptTokens = this->promptTokens * decay + static_cast<double>(request.prompt.value());
    this->heldTokenUs = this->heldTokenUs * decay + meanHeld * output * this->perTokenUs;
    this->needAt = now;
}

Duration GenerationGate::perToken(const Engine &engine) const
{
    return Duration(static_cast<std::int64_t>(engine.perTokenUs.value_or(this->perTokenUs)));
}

bool GenerationGate::mayRun(const DecodeEngine &engine, const GenerationRequest &request)
{
    const auto &excluded = request.excluded;
    return (request.version.isEmpty() || engine.version == request.version) && engine.engine != request.avoid
        && std::find(excluded.begin(), excluded.end(), engine.engine) == excluded.end();
}

std::optional<double> GenerationGate::peakShare(const Engine &engine, const GenerationRequest &request,
                                                Instant now) const
{
    const bool isFull =
        (engine.fullUntil && now < *engine.fullUntil) || static_cast<int>(engine.runs.size()) >= engine.spec.slots;
    if (isFull || !mayRun(engine.spec, request)) {
        return std::nullopt;
    }
    std::vector<GrowingRun> runs;
    runs.reserve(engine.runs.size() + 1);
    for (const auto &[id, run] : engine.runs) {
        runs.push_back(run);
    }
    runs.push_back({request.prompt, this->estimate.expect(request.output, request.maxOutput), now});
    const Tokens peak = peakMemory(runs, this->perToken(engine), now);
    const double share = static_cast<double>(peak.value()) / static_cast<double>(engine.spec.memory.value());
    // A request larger than the fill limit still gets an empty engine.
    const bool fits = share <= this->options.fill || (engine.runs.empty() && share <= 1);
    return fits ? std::optional(share) : std::nullopt;
}

GenerationGate::Choice GenerationGate::choose(const GenerationRequest &request, Instant now)
{
    Choice chosen;
    double lowest = std::numeric_limits<double>::max();
    for (auto &[id, engine] : this->engines) {
        const auto share = this->peakShare(engine, request, now);
        if (!share) {
            continue;
        }
        // Smaller than the share of one generation. Breaks ties between engines with equal state, so that gates with
        // the same view do not all choose the same engine.
        const double jitter = static_cast<double>(this->random() % 1000) * 1e-5;
        const double far = engine.spec.dataCentre == request.dataCentre ? 0.0 : this->options.farPenalty;
        const double cost = *share + far + this->options.faultPenalty * engine.faults.at(now) + jitter;
        if (cost < lowest) {
            lowest = cost;
            chosen = {&engine, *share};
        }
    }
    return chosen;
}

void GenerationGate::place(const GenerationRequest &request, Engine &engine, Instant now)
{
    engine.runs[request.id] = GrowingRun{request.prompt, this->estimate.expect(request.output, request.maxOutput), now};
    this->placements[request.id] = Placement{request, engine.spec.engine, engine.spec.incarnation, now, false};
}

bool GenerationGate::isWithinShare(const GenerationRequest &request) const
{
    if (this->share >= 1 || this->placements.empty()) {
        return true;
    }
    std::int64_t need = request.need().value();
    for (const auto &[id, placement] : this->placements) {
        need += placement.request.need().value();
    }
    return static_cast<double>(need) <= this->share * static_cast<double>(this->memory.value());
}

bool GenerationGate::tryPlace(const GenerationRequest &request, std::vector<GateAction> &actions, Instant now)
{
    const Choice choice = this->isWithinShare(request) ? this->choose(request, now) : Choice();
    if (choice.engine == nullptr) {
        return false;
    }
    this->place(request, *choice.engine, now);
    const auto prefillEngine =
        this->prefill.start({request.id, request.promptName, request.prompt, choice.engine->spec.dataCentre}, now);
    this->placements.at(request.id).prefill = prefillEngine.value_or(EngineId());
    actions.push_back(TryReserve{request.id, choice.engine->spec.engine, prefillEngine.value_or(EngineId()),
                                 choice.forecast, now - request.arrival});
    return true;
}

void GenerationGate::placeWaiting(std::vector<GateAction> &actions, Instant now)
{
    while (this->prefill.mayStart(now)) {
        const QueueItem *head = this->queue.head();
        if (head == nullptr) {
            return;
        }
        const GenerationRequest request = this->waitingRequests.at(head->request);
        if (!this->tryPlace(request, actions, now)) {
            if (!this->isPinned(request) && request.excluded.empty()) {
                return;
            }
            this->pinned.push_back(request); // other engines than those that may run it may have room
        }
        this->queue.pop();
        this->waitingRequests.erase(request.id);
    }
}

bool GenerationGate::isPinned(const GenerationRequest &request) const
{
    const auto isOfItsVersion = [&request](const auto &entry) {
        return entry.second.spec.version == request.version;
    };
    return !request.version.isEmpty()
        && (!std::all_of(this->engines.begin(), this->engines.end(), isOfItsVersion) || !this->hasEngineFor(request));
}

bool GenerationGate::hasEngineFor(const GenerationRequest &request) const
{
    return std::any_of(this->engines.begin(), this->engines.end(),
                       [&request](const auto &entry) { return mayRun(entry.second.spec, request); });
}

void GenerationGate::placePinned(std::vector<GateAction> &actions, Instant now)
{
    std::vector<GenerationRequest> left;
    for (const GenerationRequest &request : this->pinned) {
        if (!this->hasEngineFor(request)) {
            const RejectReason reason = request.version.isEmpty() ? RejectReason::NoRoom : RejectReason::NoVersion;
            actions.push_back(RejectGeneration{request.id, Duration(0), now - request.arrival, reason});
        } else if (now >= request.usefulUntil || left.size() >= this->options.maxWaiting) {
            actions.push_back(RejectGeneration{request.id, Duration(0), now - request.arrival});
        } else if (!this->prefill.mayStart(now) || !this->tryPlace(request, actions, now)) {
            left.push_back(request);
        }
    }
    this->pinned = std::move(left);
}

bool GenerationGate::removeWaiting(const RequestId &id)
{
    if (this->queue.remove(id)) {
        this->waitingRequests.erase(id);
        return true;
    }
    const auto found = std::find_if(this->pinned.begin(), this->pinned.end(),
                                    [&id](const GenerationRequest &request) { return request.id == id; });
    if (found == this->pinned.end()) {
        return false;
    }
    this->pinned.erase(found);
    return true;
}

void GenerationGate::reject(std::vector<GateAction> &actions, const QueueItem &item, Instant now)
{
    this->waitingRequests.erase(item.request);
    // Callers that return compete with new ones, so only the rate that those leave serves them. Where they leave none,
    // a burst is assumed to end.
    const double share = this->shareLeft(this->options.minReturnShare, now);
    const auto atThatRate = [share](Duration cost) {
        return Duration(static_cast<std::int64_t>(static_cast<double>(cost.count()) / share));
    };
    const Duration retryAfter =
        this->admission.retryAfter(atThatRate(this->queue.backlog(item.rank)), atThatRate(item.cost), now);
    actions.push_back(RejectGeneration{item.request, retryAfter, now - item.arrival});
}

void GenerationGate::demoteLate(std::vector<GateAction> &actions, Instant now)
{
    for (const QueueItem &item : this->queue.takeExpired(now)) {
        const GenerationRequest request = this->waitingRequests.at(item.request);
        if (now < request.usefulUntil) {
            this->enqueue(request, true);
        } else {
            this->reject(actions, item, now);
        }
    }
}

// Demotes requests that are expected to be late: the backlog before them takes longer to place than the time left to
// them. They become late at once instead of at their deadline, and those that will not be served even late are refused
// at once. A burst may end before the deadline, and the measured placement rate may be off by about half, so until the
// load is sustained only requests that would be late at twice the measured rate are demoted.
void GenerationGate::demoteExpectedLate(Instant now)
{
    const bool isSustained = this->offeredLoad(now) > this->options.sustainedLoad * this->admission.rate();
    const double factor = isSustained ? 1 : this->options.burstRateFactor;
    for (const int rank : this->queue.waitingRanks()) {
        while (!isLateRank(rank)) {
            const QueueItem *last = this->queue.last(rank);
            if (last == nullptr) {
                break;
            }
            const Duration wait = this->admission.expectedWait(this->queue.backlog(rank) - last->cost);
            if (static_cast<double>(wait.count()) <= static_cast<double>((last->latest - now).count()) * factor) {
                break;
            }
            const RequestId request = last->request;
            this->queue.takeLast(rank);
            this->enqueue(this->waitingRequests.at(request), true);
        }
    }
}

// On-time requests go first, so late ones get only the rate that those leave, and the small share that the queue
// reserves for them.
Duration GenerationGate::expectedWait(int rank, Instant now) const
{
    if (!isLateRank(rank)) {
        return this->admission.expectedWait(this->queue.backlog(rank));
    }
    const double rate = this->admission.rate();
    const double left = rate * this->shareLeft(this->options.queue.lowRankShare, now);
    const auto behind = static_cast<double>(this->queue.backlogAt(rank).count());
    const auto before = static_cast<double>(this->queue.backlog(rank - 1).count());
    return Duration(static_cast<std::int64_t>(before / rate + behind / left));
}

void GenerationGate::rejectSurplus(std::vector<GateAction> &actions, Instant now)
{
    while (const auto rank = this->queue.lastRank()) {
        const GenerationRequest &first = this->waitingRequests.at(this->queue.head(*rank)->request);
        const bool isTooMany = this->queue.size() > this->options.maxWaiting;
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
    this->placePinned(actions, now);
    this->placeWaiting(actions, now);
    this->demoteExpectedLate(now);
    this->rejectSurplus(actions, now);
    return actions;
}

std::optional<StageLoad> GenerationGate::stageLoad(Instant now) const
{
    if (this->ended < minEnded) {
        return std::nullopt;
    }
    const double perUs = this->needDecay(now) / static_cast<double>(this->options.needWindow.count());
    return StageLoad{this->promptTokens * this->prefill.perTokenUs() * perUs, this->heldTokenUs * perUs};
}

GateView GenerationGate::view(Instant now) const
{
    return {this->waiting(),        this->placements.size(), this->engines.size(),
            this->offeredLoad(now), this->admission.rate(),  Duration(static_cast<std::int64_t>(this->perTokenUs))};
}

std::optional<Instant> GenerationGate::nextWake(Instant now) const
{
    std::optional<Instant> wake = this->queue.nextExpiry();
    for (const GenerationRequest &request : this->pinned) {
        wake = std::min(wake.value_or(request.usefulUntil), request.usefulUntil);
    }
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
    const bool isSameStart = found != this->engines.end() && found->second.spec.incarnation == placement.incarnation;
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

void GenerationGate::adopt(const GenerationRequest &request, const EngineId &id, Instant since)
{
    this->removeWaiting(request.id);
    this->take(request.id);
    const auto engine = this->engines.find(id);
    if (engine != this->engines.end()) {
        this->place(request, engine->second, since);
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
    this->admission.onPlaced(this->costOf(found->second.request), othersWait, found->second.since);
    if (Engine *engine = this->engineOf(found->second)) {
        engine->consecutiveFaults = 0;
    }
}

void GenerationGate::onPrefilled(const RequestId &id, Instant now)
{
    this->prefill.onPrefilled(id, now);
}

void GenerationGate::onPrefillFailed(const RequestId &id, Instant now)
{
    this->prefill.onFailed(id, now);
}

void GenerationGate::onResultLost(const RequestId &id, Instant now)
{
    const auto placement = this->placements.find(id);
    if (placement == this->placements.end()) {
        return;
    }
    const EngineId &prefillEngine = placement->second.prefill;
    placement->second.isRefused = true;
    if (this->handoverFaults.onRefused(prefillEngine, placement->second.engine, now) == Pool::Prefill) {
        this->prefill.onResultLost(prefillEngine, now);
    } else if (Engine *engine = this->engineOf(placement->second)) {
        this->avoid(*engine, now);
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
        engine->fullUntil = now + this->options.fullRetryDelay;
    }
}

void GenerationGate::onDeclined(const RequestId &id, Instant now)
{
    this->prefill.onDropped(id, now);
    this->take(id);
}

void GenerationGate::onFault(const RequestId &id, Instant now)
{
    this->prefill.onDropped(id, now);
    const auto placement = this->take(id);
    if (!placement) {
        return;
    }
    if (Engine *engine = this->engineOf(*placement)) {
        this->avoid(*engine, now);
    }
}

void GenerationGate::avoid(Engine &engine, Instant now) const
{
    engine.faults.add(1, now);
    const Duration pause = this->options.faultBackoff * (1 << std::min(engine.consecutiveFaults, maxDoublings));
    engine.fullUntil = now + std::min(pause, this->options.maxFaultBackoff);
    ++engine.consecutiveFaults;
}

void GenerationGate::onEnded(const RequestId &id, bool isEngineFault, Tokens generated, Instant now)
{
    this->prefill.onDropped(id, now);
    if (this->removeWaiting(id)) {
        return;
    }
    const auto placement = this->take(id);
    if (!placement || placement->isRefused) {
        return;
    }
    if (generated.value() > 0 && !placement->prefill.isEmpty()) {
        this->handoverFaults.onTaken(placement->prefill, placement->engine, now);
    }
    Engine *engine = this->engineOf(*placement);
    if (engine != nullptr) {
        engine->fullUntil.reset();
        engine->faults.add(isEngineFault ? 1 : 0, now);
    }
    if (generated.value() >= minGenerated && !isEngineFault) {
        this->learn(engine, *placement, generated, now);
    }
}

void GenerationGate::learn(Engine *engine, const Placement &placement, Tokens generated, Instant now)
{
    const double each = static_cast<double>((now - placement.since).count()) / static_cast<double>(generated.value());
    ++this->ended;
    const double weight = std::max(tokenWeight, 1.0 / static_cast<double>(this->ended));
    this->perTokenUs += weight * (each - this->perTokenUs);
    this->estimate.learn(placement.request.output, generated);
    if (engine != nullptr) {
        const double before = engine->perTokenUs.value_or(this->perTokenUs);
        engine->perTokenUs = before + engineTokenWeight * (each - before);
    }
}

} // namespace fescuesill
