#pragma once

// The prefill jobs placed on each engine and their expected end, by the engine's measured speed.
//
//     PrefillQueues queues(PrefillQueues::Options{});
//     queues.setEngine(slot, true);
//     queues.ahead(slot, rank, now);                 // work that precedes a new request of this rank
//     queues.add(slot, key, rank, nominal, now);
//     queues.done(slot, key, now);                   // updates the engine's speed

#include "decide/enginetable.h"
#include "fescuesill/units.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace fescuesill
{

class PrefillQueues
{
public:
    struct Options {
        // Weight of one prefill in an engine's speed: five prefills, under a second, identify a slow engine.
        double speedWeight = 0.2;
        // Maximum slowness of an engine, so that one stall does not exclude it for ever.
        double maxSlowness = 50;
        // A prefill is overdue after this many times its forecast, but not before the floor. This is ten times the
        // spread of a healthy engine, and still within the patience of most classes.
        double overdueFactor = 4;
        Duration overdueFloor{300ms};
    };

    explicit PrefillQueues(const Options &options)
        : options(options)
    {
    }

    void setEngine(EngineSlot slot, bool usable);
    bool usable(EngineSlot slot) const
    {
        return slot < this->engines.size() && this->engines[slot].usable;
    }
    void add(EngineSlot slot, std::uint64_t key, int rank, Duration nominal, Instant now);
    // Returns the measured duration relative to the nominal one, if it could be measured.
    std::optional<double> done(EngineSlot slot, std::uint64_t key, Instant now);
    // The prefill was cancelled or refused.
    void remove(EngineSlot slot, std::uint64_t key, Instant now);

    // Expected time until the engine can start a new prefill of this rank.
    Duration ahead(EngineSlot slot, int rank, Instant now) const;
    double slowness(EngineSlot slot) const
    {
        return this->engines[slot].slowness;
    }
    // Whether a prefill is well past its expected end, which means that the engine is stalled or dead.
    bool overdue(EngineSlot slot, Instant now) const;
    std::vector<std::uint64_t> jobs(EngineSlot slot) const;
    std::size_t jobCount(EngineSlot slot) const
    {
        return slot < this->engines.size() ? this->engines[slot].jobs.size() : 0;
    }
    // Share of the usable engines that were computing a prefill, averaged over the last seconds.
    double busyShare() const
    {
        return this->busy;
    }
    void measureBusy(Instant now);

private:
    struct Job {
        std::uint64_t key = 0;
        int rank = 0;
        Duration nominal{0};
        Duration expected{0}; // by the engine's speed
        Instant started; // when the engine could start it
        bool preempted = false; // another job ran in between, so it cannot be measured
    };
    struct Engine {
        // In the order in which the engine processes them. Few, see CellScheduler::Options::prefillAhead.
        std::vector<Job> jobs;
        double slowness = 1;
        bool usable = false;
    };

    std::vector<Job>::iterator find(Engine &engine, std::uint64_t key);
    void startNext(Engine &engine, Instant now);

    Options options;
    std::vector<Engine> engines;
    double busy = 0;
    Instant measured;
};

} // namespace fescuesill
