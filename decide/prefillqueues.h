#pragma once

// What each prefill engine has been given to read and when it will be done, by its own measured speed.
//
//     PrefillQueues queues(PrefillQueues::Options{});
//     queues.setEngine(slot, true);
//     queues.ahead(slot, rank, now);                 // work that goes before a new request of this rank
//     queues.add(slot, key, rank, readTime, now);
//     queues.done(slot, key, now);                   // learns the engine's speed

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
        // Weight of one read in an engine's speed: five reads, under a second, find a slow engine.
        double speedWeight = 0.2;
        // An engine's reads count as at most this many times slower, so that one stall is not for ever.
        double slowest = 50;
        // A read is overdue after this many times its forecast, and no sooner than the floor: ten times the spread of a
        // healthy engine, and still within the patience of most classes.
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
    // Returns how many times longer than nominal the read took, where it could be measured.
    std::optional<double> done(EngineSlot slot, std::uint64_t key, Instant now);
    // The read was cancelled or refused.
    void remove(EngineSlot slot, std::uint64_t key, Instant now);

    // Expected time until the engine can start a new read of this rank.
    Duration ahead(EngineSlot slot, int rank, Instant now) const;
    double slowness(EngineSlot slot) const
    {
        return this->engines[slot].slowness;
    }
    // Has a read well past its expected end: the engine is stalled or dead.
    bool overdue(EngineSlot slot, Instant now) const;
    std::vector<std::uint64_t> jobs(EngineSlot slot) const;
    std::size_t jobCount(EngineSlot slot) const
    {
        return slot < this->engines.size() ? this->engines[slot].jobs.size() : 0;
    }
    // Share of time that the usable engines were reading, over the last seconds.
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
        Instant started; // when the engine could begin with it
        bool mixed = false; // another job went in between: not measurable
    };
    struct Engine {
        std::vector<Job>
            jobs; // in the order in which the engine reads them; few, see CellScheduler::Options::prefillAhead
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
