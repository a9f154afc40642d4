#include "cell.h"

#include <chrono>

namespace fescuesill::bench
{

static CellScheduler::Options optionsFor(const Cell &cell)
{
    const Settings &settings = cell.load().settings;
    CellScheduler::Options options;
    options.prefixBlock = blockTokens;
    options.shiftRoles = settings.shiftRoles;
    if (settings.caution >= 0) {
        options.caution = settings.caution;
    }
    if (settings.shortFirst >= 0) {
        options.queue.shortFirst = settings.shortFirst;
    }
    return options;
}

OurPolicy::OurPolicy(Cell &cell)
    : cell(&cell)
    , scheduler(CellScheduler::create(optionsFor(cell)).value())
{
}

// Tells the scheduler one event and carries out what follows.
template<typename Call>
void OurPolicy::run(Call call)
{
    const Instant now = this->cell->clock().now();
    const auto begin = std::chrono::steady_clock::now();
    call(now);
    const std::vector<Action> actions = this->scheduler.poll(now);
    this->secondsInside += std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    ++this->calls;
    const auto specs = this->cell->specs();
    const auto indexOf = [&specs](const EngineId &engine) {
        const auto found = std::find_if(specs.begin(), specs.end(),
                                        [&engine](const EngineSpec &spec) { return spec.engine == engine; });
        return static_cast<std::size_t>(found - specs.begin());
    };
    for (const Action &action : actions) {
        if (const auto *place = std::get_if<Place>(&action)) {
            this->cell->startPrefill(place->request, indexOf(place->prefillEngine));
            if (place->decodeReady) {
                this->bound[place->request] = indexOf(place->decodeEngine);
            } else {
                this->bound.erase(place->request);
            }
        } else if (const auto *start = std::get_if<StartDecode>(&action)) {
            this->cell->startDecode(start->request, indexOf(start->decodeEngine));
        } else if (const auto *refusal = std::get_if<Refuse>(&action)) {
            this->bound.erase(refusal->request);
            this->cell->refuse(refusal->request, refusal->refusal.retryAfter);
        } else if (const auto *change = std::get_if<ChangeRole>(&action)) {
            this->cell->changeRole(indexOf(change->engine), change->pool);
        }
    }
    this->wake();
}

void OurPolicy::wake()
{
    const auto next = this->scheduler.nextWake();
    const Instant now = this->cell->clock().now();
    if (!next || (this->woken && *this->woken <= *next && *this->woken > now)) {
        return;
    }
    const Instant when = std::max(*next, now + 1ms);
    this->woken = when;
    this->cell->clock().at(when, [this, when] {
        if (this->woken == when) {
            this->woken.reset();
            this->run([](Instant) {});
        }
    });
}

void OurPolicy::submit(const PlaceRequest &request)
{
    this->run([&](Instant now) { this->scheduler.submit(request, now); });
}

void OurPolicy::prefillDone(const RequestId &request, const PrefillResult &result)
{
    const auto bound = this->bound.find(request);
    if (bound != this->bound.end()) {
        this->cell->startDecode(request, bound->second);
        this->bound.erase(bound);
    }
    this->run([&](Instant now) { this->scheduler.onPrefillDone(request, result, now); });
}

void OurPolicy::prefillFailed(const RequestId &request, PrefillFault fault)
{
    this->run([&](Instant now) { this->scheduler.onPrefillFailed(request, fault, now); });
}

void OurPolicy::decodeFailed(const RequestId &request, DecodeFault fault, bool kvHeld)
{
    this->run([&](Instant now) { this->scheduler.onDecodeFailed(request, fault, kvHeld, now); });
}

void OurPolicy::firstToken(const RequestId &request)
{
    this->run([&](Instant now) { this->scheduler.onFirstToken(request, now); });
}

void OurPolicy::progress(const RequestId &request, Tokens output)
{
    this->run([&](Instant now) { this->scheduler.onProgress(request, output, now); });
}

void OurPolicy::finished(const RequestId &request)
{
    this->run([&](Instant now) { this->scheduler.onFinished(request, now); });
}

void OurPolicy::cancelled(const RequestId &request)
{
    this->bound.erase(request);
    this->run([&](Instant now) { this->scheduler.onCancelled(request, now); });
}

void OurPolicy::enginesChanged()
{
    this->run([&](Instant now) { this->scheduler.setEngines(this->cell->specs(), now); });
}

void OurPolicy::loadReport(const EngineId &engine, const LoadReport &report)
{
    this->run([&](Instant now) { this->scheduler.onLoadReport(engine, report, now); });
}

void OurPolicy::cacheEvents(const EngineId &engine, const std::vector<CacheEvent> &events, bool gap)
{
    this->run([&](Instant) { this->scheduler.onCacheEvents(engine, events, gap); });
}

CellSummary OurPolicy::summary() const
{
    return this->scheduler.summary(this->cell->clock().now());
}

} // namespace fescuesill::bench
