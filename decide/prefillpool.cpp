// Each engine processes its jobs in the order of arrival. The expected wait of a new job is the expected time of all
// queued jobs less the time for which the first has been running; each report of a completed prefill corrects it. The
// prompt goes to the engine that will complete it first, so the pool works as one queue with many servers. Hosts that
// choose for themselves see only their own prefills and leave prompts waiting at one engine while another is idle.
//
// Prompts wait at the scheduler, where they hold no resources, and not at an engine, where each holds decode memory.
//
// A prompt has a home (PromptHome). A caller whose answer was interrupted retries with the same prompt, possibly after
// all schedulers have restarted, and finds most of it in the cache of its home. The preference is worth less than one
// prefill, so it never sends a prompt behind another one that has just started.
//
// A prefill that is much faster than others on the engine was served from its cache and is no sample of the engine's
// speed.

#include "decide/prefillpool.h"

#include "decide/prompthome.h"

#include <algorithm>

namespace fescuesill
{
namespace
{

constexpr double cachedShare = 0.3; // of the expected time: a shorter prefill was served from the cache
constexpr double maxSlowness = 50; // bounds the effect of one stall
constexpr int maxDoublings = 4;

Duration scaled(Duration time, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
}

} // namespace

void PrefillPool::setEngines(const std::vector<PrefillEngine> &listed)
{
    std::unordered_map<EngineId, Engine> next;
    for (const PrefillEngine &entry : listed) {
        const auto known = this->engines.find(entry.engine);
        Engine engine = known == this->engines.end() ? Engine() : std::move(known->second);
        engine.dataCentre = entry.dataCentre;
        next.emplace(entry.engine, std::move(engine));
    }
    this->engines = std::move(next);
    for (auto entry = this->assigned.begin(); entry != this->assigned.end();) {
        entry = this->engines.count(entry->second) == 0 ? this->assigned.erase(entry) : std::next(entry);
    }
}

Duration PrefillPool::nominal(Tokens size) const
{
    return this->options.perPrefill
        + Duration(static_cast<Duration::rep>(static_cast<double>(size.value()) * this->options.perTokenUs));
}

Duration PrefillPool::ahead(const Engine &engine, Instant now) const
{
    Duration sum{0};
    for (const Job &job : engine.jobs) {
        sum += scaled(job.nominal, engine.slowness);
    }
    if (!engine.jobs.empty()) {
        const Job &first = engine.jobs.front();
        sum -= std::min(now - first.started, scaled(first.nominal, engine.slowness));
    }
    return sum;
}

bool PrefillPool::isWorking(const Engine &engine, Instant now) const
{
    if (now < engine.avoidedUntil) {
        return false;
    }
    if (engine.jobs.empty()) {
        return true;
    }
    const Job &first = engine.jobs.front();
    const Duration allowed = scaled(first.nominal, engine.slowness * this->options.overdueFactor);
    return now - first.started <= std::max(allowed, this->options.overdueFloor);
}

bool PrefillPool::mayStart(Instant now) const
{
    bool isAnyWorking = false;
    for (const auto &[id, engine] : this->engines) {
        if (!this->isWorking(engine, now)) {
            continue;
        }
        if (this->ahead(engine, now) <= this->options.maxQueue) {
            return true;
        }
        isAnyWorking = true;
    }
    return !isAnyWorking;
}

Instant PrefillPool::nextStart(Instant now) const
{
    if (this->mayStart(now)) {
        return now;
    }
    Duration shortest = this->options.overdueFloor;
    for (const auto &[id, engine] : this->engines) {
        if (this->isWorking(engine, now)) {
            shortest = std::min(shortest, this->ahead(engine, now) - this->options.maxQueue);
        }
    }
    return now + shortest;
}

std::optional<EngineId> PrefillPool::start(const PrefillRequest &prefill, Instant now)
{
    PromptHome home(prefill.prompt);
    for (const auto &[id, engine] : this->engines) {
        home.offer(id);
    }
    const Duration nominal = this->nominal(prefill.size);
    const EngineId *chosen = nullptr;
    Duration shortest = Duration::max();
    for (const auto &[id, engine] : this->engines) {
        if (!this->isWorking(engine, now)) {
            continue;
        }
        Duration cost = this->ahead(engine, now) + scaled(nominal, engine.slowness);
        cost += engine.dataCentre == prefill.decode ? Duration(0) : this->options.farCost;
        cost -= home.is(id) ? scaled(nominal, this->options.homeShare) : Duration(0);
        if (cost < shortest) {
            shortest = cost;
            chosen = &id;
        }
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    this->onDropped(prefill.request, now);
    this->engines.at(*chosen).jobs.push_back({prefill.request, nominal, now});
    this->assigned.emplace(prefill.request, *chosen);
    return *chosen;
}

std::optional<PrefillPool::Removed> PrefillPool::remove(const RequestId &request, Instant now)
{
    const auto entry = this->assigned.find(request);
    if (entry == this->assigned.end()) {
        return std::nullopt;
    }
    Engine &engine = this->engines.at(entry->second);
    this->assigned.erase(entry);
    const auto job = std::find_if(engine.jobs.begin(), engine.jobs.end(),
                                  [&](const Job &other) { return other.request == request; });
    const Removed removed{&engine, *job, job == engine.jobs.begin()};
    engine.jobs.erase(job);
    if (removed.wasFirst && !engine.jobs.empty()) {
        engine.jobs.front().started = now;
    }
    return removed;
}

void PrefillPool::onPrefilled(const RequestId &request, Instant now)
{
    const auto removed = this->remove(request, now);
    if (!removed) {
        return;
    }
    Engine &engine = *removed->engine;
    if (!removed->wasFirst) {
        return;
    }
    const auto took = static_cast<double>((now - removed->job.started).count());
    const double ratio = std::min(took / static_cast<double>(removed->job.nominal.count()), maxSlowness);
    if (ratio > cachedShare * engine.slowness) {
        engine.slowness += this->options.speedWeight * (ratio - engine.slowness);
    }
}

void PrefillPool::onFailed(const RequestId &request, Instant now)
{
    const auto removed = this->remove(request, now);
    if (!removed) {
        return;
    }
    this->avoid(*removed->engine, now);
}

void PrefillPool::avoid(Engine &engine, Instant now) const
{
    if (now - engine.avoidedUntil > this->options.failureReset) {
        engine.consecutiveFailures = 0;
    }
    const Duration pause = this->options.failureBackoff * (1 << std::min(engine.consecutiveFailures, maxDoublings));
    engine.avoidedUntil = now + std::min(pause, this->options.maxFailureBackoff);
    ++engine.consecutiveFailures;
}

// Prefills that were in progress when the first result was lost may lose theirs too, so losses during the backoff are
// not counted as further failures.
void PrefillPool::onResultLost(const EngineId &id, Instant now)
{
    const auto engine = this->engines.find(id);
    if (engine != this->engines.end() && now >= engine->second.avoidedUntil) {
        this->avoid(engine->second, now);
    }
}

void PrefillPool::onDropped(const RequestId &request, Instant now)
{
    this->remove(request, now);
}

double PrefillPool::perTokenUs() const
{
    double sum = 0;
    for (const auto &[id, engine] : this->engines) {
        sum += engine.slowness;
    }
    const auto count = static_cast<double>(std::max<std::size_t>(1, this->engines.size()));
    return this->engines.empty() ? this->options.perTokenUs : this->options.perTokenUs * sum / count;
}

} // namespace fescuesill
