// Each engine processes its jobs by rank, then in the order given. The first job is in progress; its remaining time is
// its expected duration less the time since it started, and never negative. Each report of a finished prefill corrects
// the forecast, so errors do not accumulate.
//
// The speed of an engine is measured from each prefill that ran alone from start to end. Without it, an engine at a
// fifth of the normal speed would get its full share of requests and all of them would miss their target; with its
// speed in the forecast it gets what it can finish in time. A stalled engine reports nothing, so it is detected by an
// overdue first job instead.

#include "decide/prefillqueues.h"

#include <algorithm>

namespace fescuesill
{

constexpr double busyWeight = 0.01; // weight of one sample in the busy share; polls are some 5 ms apart

void PrefillQueues::setEngine(EngineSlot slot, bool usable)
{
    if (slot >= this->engines.size()) {
        this->engines.resize(slot + 1);
    }
    this->engines[slot].usable = usable;
}

void PrefillQueues::add(EngineSlot slot, std::uint64_t key, int rank, Duration nominal, Instant now)
{
    Engine &engine = this->engines[slot];
    Job job;
    job.key = key;
    job.rank = rank;
    job.nominal = nominal;
    job.expected = std::chrono::duration_cast<Duration>(nominal * engine.slowness);
    job.started = now;
    auto place =
        std::find_if(engine.jobs.begin(), engine.jobs.end(), [rank](const Job &other) { return other.rank > rank; });
    if (place == engine.jobs.begin() && place != engine.jobs.end()) {
        // The engine preempts a prefill of a less urgent rank and keeps what it has computed of it.
        Job &paused = *place;
        paused.expected = std::max(Duration(0), paused.expected - (now - paused.started));
        paused.preempted = true;
    }
    engine.jobs.insert(place, job);
}

std::vector<PrefillQueues::Job>::iterator PrefillQueues::find(Engine &engine, std::uint64_t key)
{
    return std::find_if(engine.jobs.begin(), engine.jobs.end(), [key](const Job &job) { return job.key == key; });
}

void PrefillQueues::startNext(Engine &engine, Instant now)
{
    if (!engine.jobs.empty()) {
        engine.jobs.front().started = now;
    }
}

std::optional<double> PrefillQueues::done(EngineSlot slot, std::uint64_t key, Instant now)
{
    if (slot >= this->engines.size()) {
        return std::nullopt;
    }
    Engine &engine = this->engines[slot];
    const auto found = this->find(engine, key);
    if (found == engine.jobs.end()) {
        return std::nullopt;
    }
    const Job job = *found;
    const bool first = found == engine.jobs.begin();
    engine.jobs.erase(found);
    std::optional<double> ratio;
    if (first && !job.preempted && job.nominal > Duration(0)) {
        const auto took = static_cast<double>((now - job.started).count());
        ratio = std::clamp(took / static_cast<double>(job.nominal.count()), 0.1, this->options.maxSlowness);
        engine.slowness += this->options.speedWeight * (*ratio - engine.slowness);
    }
    if (first) {
        this->startNext(engine, now);
    }
    return ratio;
}

void PrefillQueues::remove(EngineSlot slot, std::uint64_t key, Instant now)
{
    if (slot >= this->engines.size()) {
        return;
    }
    Engine &engine = this->engines[slot];
    const auto found = this->find(engine, key);
    if (found == engine.jobs.end()) {
        return;
    }
    const bool first = found == engine.jobs.begin();
    engine.jobs.erase(found);
    if (first) {
        this->startNext(engine, now);
    }
}

Duration PrefillQueues::ahead(EngineSlot slot, int rank, Instant now) const
{
    const Engine &engine = this->engines[slot];
    Duration sum{0};
    for (std::size_t i = 0; i < engine.jobs.size() && engine.jobs[i].rank <= rank; ++i) {
        const Job &job = engine.jobs[i];
        sum += i == 0 ? std::max(Duration(0), job.expected - (now - job.started)) : job.expected;
    }
    return sum;
}

bool PrefillQueues::overdue(EngineSlot slot, Instant now) const
{
    const Engine &engine = this->engines[slot];
    if (engine.jobs.empty()) {
        return false;
    }
    const Job &job = engine.jobs.front();
    const auto allowed = std::chrono::duration_cast<Duration>(job.expected * this->options.overdueFactor);
    return now - job.started > std::max(allowed, this->options.overdueFloor);
}

std::vector<std::uint64_t> PrefillQueues::jobs(EngineSlot slot) const
{
    std::vector<std::uint64_t> keys;
    if (slot < this->engines.size()) {
        for (const Job &job : this->engines[slot].jobs) {
            keys.push_back(job.key);
        }
    }
    return keys;
}

void PrefillQueues::measureBusy(Instant now)
{
    if (now - this->measured < 5ms) {
        return;
    }
    this->measured = now;
    int usable = 0;
    int reading = 0;
    for (const Engine &engine : this->engines) {
        usable += engine.usable ? 1 : 0;
        reading += engine.usable && !engine.jobs.empty() ? 1 : 0;
    }
    if (usable > 0) {
        this->busy += busyWeight * (static_cast<double>(reading) / usable - this->busy);
    }
}

} // namespace fescuesill
