// Each engine reads its jobs in the order given. What is ahead of a new one is the expected time of all of them, less
// the time that the first has been read; each report of a finished read corrects it. The engine that will have read the
// prompt first gets it, so the pool works as one queue with many servers: hosts that choose for themselves see only
// their own reads, and leave prompts waiting at one engine while another is idle.
//
// Prompts wait with the scheduler, where they cost nothing, and not at an engine, where each holds decode memory.
//
// A prompt has a home (PromptHome). A caller whose answer broke off comes back
// with the same prompt, perhaps when every scheduler was restarted, and finds most of it in the cache of its home. The
// preference is worth less than a read, so it never sends a prompt behind another one that has just begun.
//
// A read much faster than the engine's others came from its cache and says nothing of its speed.

#include "decide/prefillpool.h"

#include "decide/prompthome.h"

#include <algorithm>

namespace fescuesill
{
namespace
{

constexpr double cachedShare = 0.3; // of the expected time: a shorter read came from the cache
constexpr double slowest = 50; // bounds the effect of one stall
constexpr int mostDoublings = 4;

Duration scaled(Duration time, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
}

} // namespace

void PrefillPool::setEngines(const std::vector<PrefillPlace> &listed)
{
    std::unordered_map<EngineId, Engine> next;
    for (const PrefillPlace &place : listed) {
        const auto known = this->engines.find(place.engine);
        Engine engine = known == this->engines.end() ? Engine() : std::move(known->second);
        engine.dataCentre = place.dataCentre;
        next.emplace(place.engine, std::move(engine));
    }
    this->engines = std::move(next);
    for (auto read = this->reading.begin(); read != this->reading.end();) {
        read = this->engines.count(read->second) == 0 ? this->reading.erase(read) : std::next(read);
    }
}

Duration PrefillPool::nominal(Tokens size) const
{
    return this->options.perRead
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
        if (this->ahead(engine, now) <= this->options.longestQueue) {
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
    Duration least = this->options.overdueFloor;
    for (const auto &[id, engine] : this->engines) {
        if (this->isWorking(engine, now)) {
            least = std::min(least, this->ahead(engine, now) - this->options.longestQueue);
        }
    }
    return now + least;
}

std::optional<EngineId> PrefillPool::start(const PrefillAsk &read, Instant now)
{
    PromptHome home(read.prompt);
    for (const auto &[id, engine] : this->engines) {
        home.offer(id);
    }
    const Duration nominal = this->nominal(read.size);
    const EngineId *chosen = nullptr;
    Duration least = Duration::max();
    for (const auto &[id, engine] : this->engines) {
        if (!this->isWorking(engine, now)) {
            continue;
        }
        Duration cost = this->ahead(engine, now) + scaled(nominal, engine.slowness);
        cost += engine.dataCentre == read.decode ? Duration(0) : this->options.farCost;
        cost -= home.is(id) ? scaled(nominal, this->options.homeShare) : Duration(0);
        if (cost < least) {
            least = cost;
            chosen = &id;
        }
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    this->onDropped(read.request, now);
    this->engines.at(*chosen).jobs.push_back({read.request, nominal, now});
    this->reading.emplace(read.request, *chosen);
    return *chosen;
}

std::optional<PrefillPool::Removed> PrefillPool::remove(const RequestId &request, Instant now)
{
    const auto read = this->reading.find(request);
    if (read == this->reading.end()) {
        return std::nullopt;
    }
    Engine &engine = this->engines.at(read->second);
    this->reading.erase(read);
    const auto job = std::find_if(engine.jobs.begin(), engine.jobs.end(),
                                  [&](const Job &other) { return other.request == request; });
    const Removed removed{&engine, *job, job == engine.jobs.begin()};
    engine.jobs.erase(job);
    if (removed.wasFirst && !engine.jobs.empty()) {
        engine.jobs.front().started = now;
    }
    return removed;
}

void PrefillPool::onRead(const RequestId &request, Instant now)
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
    const double ratio = std::min(took / static_cast<double>(removed->job.nominal.count()), slowest);
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
    if (now - engine.avoidedUntil > this->options.forgetFailures) {
        engine.failuresInRow = 0;
    }
    const Duration pause = this->options.afterFailure * (1 << std::min(engine.failuresInRow, mostDoublings));
    engine.avoidedUntil = now + std::min(pause, this->options.longestAfterFailure);
    ++engine.failuresInRow;
}

// Reads that were under way when the first result was lost may lose theirs too; they tell nothing new.
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
