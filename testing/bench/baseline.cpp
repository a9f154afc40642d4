#include "cell.h"

#include <algorithm>

namespace fescuesill::bench
{

constexpr int readsPerEngine = 3;
constexpr std::size_t queueBound = 200;
constexpr int mostTries = 2;
constexpr Duration tick = 20ms; // between two tries for a decode place
constexpr Duration comeBack = 1s;
constexpr Duration downTime = 3s; // an engine that failed is left alone for this long

Baseline::Baseline(Cell &cell, PolicyKind kind)
    : cell(&cell)
    , kind(kind)
{
}

void Baseline::enginesChanged()
{
    const auto specs = this->cell->specs();
    this->engines.resize(specs.size());
    for (std::size_t i = 0; i < specs.size(); ++i) {
        this->engines[i].spec = specs[i];
    }
    this->dispatch();
}

bool Baseline::usable(const Engine &engine, Pool pool) const
{
    return engine.spec.pool == pool && !engine.spec.leaving && engine.downUntil <= this->cell->clock().now();
}

// The report, and what changed by our own doing since then.
std::int64_t Baseline::loadOf(const Engine &engine) const
{
    if (this->kind == PolicyKind::PrefillFirst) {
        return engine.own;
    }
    return engine.reported + engine.own - engine.ownAtReport;
}

std::optional<std::size_t> Baseline::nextInTurn(Pool pool, std::size_t &turn, bool needsRoom) const
{
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
        turn = (turn + 1) % this->engines.size();
        const Engine &engine = this->engines[turn];
        if (this->usable(engine, pool) && (!needsRoom || engine.outstanding < readsPerEngine)) {
            return turn;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> Baseline::leastLoaded(Pool pool) const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
        const Engine &engine = this->engines[i];
        const bool room = pool == Pool::Decode || engine.outstanding < readsPerEngine;
        if (this->usable(engine, pool) && room
            && (!best || this->loadOf(engine) < this->loadOf(this->engines[*best]))) {
            best = i;
        }
    }
    return best;
}

std::optional<std::size_t> Baseline::pickPrefill(const PlaceRequest &request)
{
    if (this->kind == PolicyKind::RoundRobin) {
        return this->nextInTurn(Pool::Prefill, this->prefillTurn, true);
    }
    if (this->kind == PolicyKind::LeastLoaded) {
        return this->leastLoaded(Pool::Prefill);
    }
    for (auto hash = request.prefix.rbegin(); hash != request.prefix.rend(); ++hash) {
        const auto found = this->holders.find(hash->value);
        if (found == this->holders.end()) {
            continue;
        }
        const std::size_t none = this->engines.size();
        std::size_t best = none;
        for (const std::size_t i : found->second) {
            const Engine &engine = this->engines[i];
            const bool room = this->usable(engine, Pool::Prefill) && engine.outstanding < readsPerEngine;
            if (room && (best == none || engine.outstanding < this->engines[best].outstanding)) {
                best = i;
            }
        }
        if (best != none) {
            return best;
        }
        // Prefix only: wait for a holder. Prefill first goes elsewhere when the holders are busy.
        if (this->kind == PolicyKind::PrefixOnly && !found->second.empty()) {
            return std::nullopt;
        }
    }
    return this->leastLoaded(Pool::Prefill);
}

std::optional<std::size_t> Baseline::pickDecode(const PlaceRequest &request)
{
    if (this->kind == PolicyKind::PrefillFirst) {
        const auto best = this->leastLoaded(Pool::Decode);
        const auto need = piecesFor(request.prompt + Tokens(1)).value();
        const bool fits = best && this->engines[*best].own + need <= this->engines[*best].spec.memory.value();
        return fits ? best : std::nullopt;
    }
    if (this->kind == PolicyKind::LeastLoaded) {
        return this->leastLoaded(Pool::Decode);
    }
    return this->nextInTurn(Pool::Decode, this->decodeTurn, false);
}

void Baseline::submit(const PlaceRequest &request)
{
    if (this->queue.size() >= queueBound) {
        this->cell->refuse(request.request, comeBack);
        return;
    }
    Running &running = this->running[request.request];
    running.request = request;
    this->requeue(running);
    this->dispatch();
}

void Baseline::requeue(Running &running)
{
    running.place = this->nextPlace++;
    this->queue.insert({running.request.requestClass.rank, running.place});
    this->queued[running.place] = running.request.request;
}

// Until the first token on an idle cell.
static Duration serviceTime(const EngineModel &model, const PlaceRequest &request)
{
    return (model.prefillPerToken + model.transferPerToken) * request.prompt.value() + 2 * model.stepBase;
}

void Baseline::dispatch()
{
    const Instant now = this->cell->clock().now();
    for (auto entry = this->queue.begin(); entry != this->queue.end();) {
        Running &running = this->running.at(this->queued.at(entry->second));
        const RequestClass &targets = running.request.requestClass;
        const Duration service = serviceTime(this->cell->load().model, running.request);
        const bool late = now > running.request.arrival + std::min(targets.patience, targets.firstToken - service);
        const std::size_t none = this->engines.size();
        const std::size_t engine = late ? none : this->pickPrefill(running.request).value_or(none);
        if (!late && engine == none) {
            // Behind a prefix whose holders are busy others may still go.
            if (this->kind == PolicyKind::PrefixOnly) {
                ++entry;
                continue;
            }
            break;
        }
        this->queued.erase(entry->second);
        entry = this->queue.erase(entry);
        running.place = 0;
        const RequestId request = running.request.request;
        if (late) {
            this->running.erase(request);
            this->cell->refuse(request, comeBack);
            continue;
        }
        ++running.tries;
        running.prefill = engine;
        ++this->engines[engine].outstanding;
        this->engines[engine].own += running.request.prompt.value();
        this->cell->startPrefill(request, engine);
    }
    this->scheduleTick();
}

// Most urgent first, then in the order in which they became ready.
void Baseline::tryReady()
{
    auto waiting = std::exchange(this->ready, {});
    const auto gone = [this](const RequestId &request) {
        return this->running.count(request) == 0;
    };
    waiting.erase(std::remove_if(waiting.begin(), waiting.end(), gone), waiting.end());
    std::stable_sort(waiting.begin(), waiting.end(), [this](const RequestId &a, const RequestId &b) {
        return this->running.at(a).request.requestClass.rank < this->running.at(b).request.requestClass.rank;
    });
    for (const RequestId &request : waiting) {
        this->placeDecode(this->running.at(request));
    }
}

void Baseline::scheduleTick()
{
    if (this->ticking || (this->queue.empty() && this->ready.empty())) {
        return;
    }
    this->ticking = true;
    this->cell->clock().after(tick, [this] {
        this->ticking = false;
        this->tryReady();
        this->dispatch();
    });
}

void Baseline::placeDecode(Running &running)
{
    const auto engine = this->pickDecode(running.request);
    if (!engine) {
        this->ready.push_back(running.request.request);
        this->scheduleTick();
        return;
    }
    running.decode = *engine;
    running.decoding = true;
    this->engines[*engine].own += piecesFor(running.request.prompt + Tokens(1)).value();
    this->cell->startDecode(running.request.request, *engine);
}

void Baseline::leave(Running &running)
{
    if (running.decoding) {
        this->engines[running.decode].own -= piecesFor(running.request.prompt + Tokens(1)).value();
        running.decoding = false;
    }
}

void Baseline::prefillDone(const RequestId &request, const PrefillResult &)
{
    const auto found = this->running.find(request);
    if (found == this->running.end()) {
        return;
    }
    Running &running = found->second;
    --this->engines[running.prefill].outstanding;
    this->engines[running.prefill].own -= running.request.prompt.value();
    for (const PrefixHash hash : running.request.prefix) {
        this->holders[hash.value].insert(running.prefill);
    }
    this->placeDecode(running);
    this->dispatch();
}

void Baseline::prefillFailed(const RequestId &request, PrefillFault fault)
{
    const auto found = this->running.find(request);
    if (found == this->running.end()) {
        return;
    }
    Running &running = found->second;
    Engine &engine = this->engines[running.prefill];
    --engine.outstanding;
    engine.own -= running.request.prompt.value();
    if (fault == PrefillFault::Unreachable) {
        engine.downUntil = this->cell->clock().now() + downTime;
    }
    if (running.tries >= mostTries) {
        this->running.erase(found);
        this->cell->refuse(request, comeBack);
    } else {
        this->requeue(running);
    }
    this->dispatch();
}

void Baseline::decodeFailed(const RequestId &request, DecodeFault fault, bool kvHeld)
{
    const auto found = this->running.find(request);
    if (found == this->running.end()) {
        return;
    }
    Running &running = found->second;
    this->leave(running);
    if (fault == DecodeFault::Unreachable) {
        this->engines[running.decode].downUntil = this->cell->clock().now() + downTime;
    }
    if (kvHeld) {
        // Tried again at the next tick, on the next engine.
        this->ready.push_back(request);
        this->scheduleTick();
        return;
    }
    if (running.tries >= mostTries) {
        this->running.erase(found);
        this->cell->refuse(request, comeBack);
        return;
    }
    this->requeue(running);
    this->dispatch();
}

void Baseline::firstToken(const RequestId &)
{
}

void Baseline::progress(const RequestId &, Tokens)
{
}

void Baseline::finished(const RequestId &request)
{
    const auto found = this->running.find(request);
    if (found != this->running.end()) {
        this->leave(found->second);
        this->running.erase(found);
    }
    if (this->kind == PolicyKind::PrefillFirst) {
        this->tryReady();
    }
    this->dispatch();
}

void Baseline::cancelled(const RequestId &request)
{
    const auto found = this->running.find(request);
    if (found == this->running.end()) {
        return;
    }
    Running &running = found->second;
    if (running.place != 0) {
        this->queue.erase({running.request.requestClass.rank, running.place});
        this->queued.erase(running.place);
    } else if (running.decoding) {
        this->leave(running);
    } else if (std::find(this->ready.begin(), this->ready.end(), request) == this->ready.end()) {
        --this->engines[running.prefill].outstanding;
        this->engines[running.prefill].own -= running.request.prompt.value();
    }
    this->ready.erase(std::remove(this->ready.begin(), this->ready.end(), request), this->ready.end());
    this->running.erase(found);
    this->dispatch();
}

void Baseline::loadReport(const EngineId &name, const LoadReport &report)
{
    for (Engine &engine : this->engines) {
        if (engine.spec.engine == name) {
            engine.reported = engine.spec.pool == Pool::Prefill ? report.queued.value() : report.piecesUsed.value();
            engine.ownAtReport = engine.own;
        }
    }
}

void Baseline::cacheEvents(const EngineId &name, const std::vector<CacheEvent> &events, bool)
{
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
        if (this->engines[i].spec.engine != name) {
            continue;
        }
        for (const CacheEvent &event : events) {
            if (event.kind == CacheEvent::Kind::Added) {
                this->holders[event.prefix.value].insert(i);
            } else {
                this->holders[event.prefix.value].erase(i);
            }
        }
    }
}

CellSummary Baseline::summary() const
{
    CellSummary summary;
    const auto &model = this->cell->load().model;
    summary.prefillPerToken = model.prefillPerToken;
    std::int64_t held = 0;
    std::int64_t total = 0;
    for (const Engine &engine : this->engines) {
        summary.prefillEngines += this->usable(engine, Pool::Prefill) ? 1 : 0;
        summary.decodeEngines += this->usable(engine, Pool::Decode) ? 1 : 0;
        if (engine.spec.pool == Pool::Decode) {
            held += engine.own;
            total += engine.spec.memory.value();
        }
    }
    summary.memoryUse = total > 0 ? static_cast<double>(held) / static_cast<double>(total) : 1;
    summary.queueDelay = 150ms * static_cast<Duration::rep>(this->queue.size()) / std::max(1, summary.prefillEngines);
    return summary;
}

} // namespace fescuesill::bench
