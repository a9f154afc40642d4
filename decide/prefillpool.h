#pragma once

// Which prefill engine reads the next prompt of a pool, and when it may start, for one scheduler that sees all reads.
//
//     PrefillPool pool(PrefillPool::Options{});
//     pool.setEngines({{EngineId("p1"), DataCentreId("a")}, {EngineId("p2"), DataCentreId("b")}});
//     if (pool.mayStart(now)) { const auto engine = pool.start({request, "a41f", Tokens(5200), nearDecode}, now); ... }
//     else { ... ask again at pool.nextStart(now) ... }
//     pool.onRead(request, now);                 // or onFailed; onDropped where it was not read after all

#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fescuesill
{

struct PrefillPlace {
    EngineId engine;
    DataCentreId dataCentre;
};

struct PrefillAsk {
    RequestId request;
    std::string prompt; // its own part, which names it; empty where it has none
    Tokens size;
    DataCentreId decode; // where the result goes
};

class PrefillPool
{
public:
    struct Options {
        // Reads that may wait in front of an engine, as time.
        Duration longestQueue{150ms};
        // Of one token and of one call, until measured.
        double perTokenUs = 20;
        Duration perRead{10ms};
        // Weight of one read in an engine's speed.
        double speedWeight = 0.2;
        // A result that crosses between data centres takes longer and is dearer.
        Duration farCost{15ms};
        // Share of its read time by which the home of a prompt is preferred.
        double homeShare = 0.5;
        // An engine whose read takes this many times the expected time, and no less than the floor, gets no further
        // one.
        double overdueFactor = 4;
        Duration overdueFloor{300ms};
        // After a failed read, doubled at each further one up to the longest.
        Duration afterFailure{250ms};
        Duration longestAfterFailure{2s};
        // Without a further failure, after which the next one counts as the first.
        Duration forgetFailures{4s};
    };

    explicit PrefillPool(const Options &given)
        : options(given)
    {
    }

    // Keeps what is known of those listed before; reads on others are forgotten.
    void setEngines(const std::vector<PrefillPlace> &listed);
    // Whether an engine has room for one more read; true where there is no engine to wait for.
    bool mayStart(Instant now) const;
    // The first instant at which it may.
    Instant nextStart(Instant now) const;
    // The engine that will have read it first. None where no engine is in working order.
    std::optional<EngineId> start(const PrefillAsk &read, Instant now);
    void onRead(const RequestId &request, Instant now);
    void onFailed(const RequestId &request, Instant now);
    void onDropped(const RequestId &request, Instant now);
    // A result that the engine had made could not be had from it.
    void onResultLost(const EngineId &engine, Instant now);
    // Microseconds that one token takes on average over the engines.
    double perTokenUs() const;

private:
    struct Job {
        RequestId request;
        Duration nominal{0};
        Instant started; // when the engine could begin with it
    };
    struct Engine {
        DataCentreId dataCentre;
        std::vector<Job> jobs; // in the order in which they are read
        double slowness = 1;
        Instant avoidedUntil;
        int failuresInRow = 0;
    };

    Duration nominal(Tokens size) const;
    Duration ahead(const Engine &engine, Instant now) const;
    bool isWorking(const Engine &engine, Instant now) const;
    // Removes the job; its engine and whether it was the one being read.
    struct Removed {
        Engine *engine = nullptr;
        Job job;
        bool wasFirst = false;
    };
    void avoid(Engine &engine, Instant now) const;
    std::optional<Removed> remove(const RequestId &request, Instant now);

    Options options;
    std::unordered_map<EngineId, Engine> engines;
    std::unordered_map<RequestId, EngineId> reading;
};

} // namespace fescuesill
