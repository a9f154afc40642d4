#pragma once

// Decides which prefill engine of a pool takes the next prompt and when it may start, for one scheduler that sees all
// prefills.
//
//     PrefillPool pool(PrefillPool::Options{});
//     pool.setEngines({{EngineId("p1"), DataCentreId("a")}, {EngineId("p2"), DataCentreId("b")}});
//     if (pool.mayStart(now)) { const auto engine = pool.start({request, "a41f", Tokens(5200), nearDecode}, now); ... }
//     else { ... poll again at pool.nextStart(now) ... }
//     pool.onPrefilled(request, now);            // or onFailed; onDropped if the prefill was cancelled

#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fescuesill
{

struct PrefillEngine {
    EngineId engine;
    DataCentreId dataCentre;
};

struct PrefillRequest {
    RequestId request;
    std::string prompt; // name of the prompt's own part; empty if it has none
    Tokens size;
    DataCentreId decode; // destination of the result
};

class PrefillPool
{
public:
    struct Options {
        // Maximum expected time of the prefills queued at an engine.
        Duration maxQueue{150ms};
        // Time per token and per call until the first measurement.
        double perTokenUs = 20;
        Duration perPrefill{10ms};
        // Weight of one prefill in the measured speed of an engine.
        double speedWeight = 0.2;
        // Extra cost of transferring a result between data centres.
        Duration farCost{15ms};
        // Share of the prefill time of a prompt by which its home is preferred.
        double homeShare = 0.5;
        // An engine whose prefill exceeds both this multiple of the expected time and the floor gets no further
        // prefill.
        double overdueFactor = 4;
        Duration overdueFloor{300ms};
        // Backoff after a failed prefill, doubled with each further one up to the maximum.
        Duration failureBackoff{250ms};
        Duration maxFailureBackoff{2s};
        // Time without a failure after which the next one counts as the first.
        Duration failureReset{4s};
    };

    explicit PrefillPool(const Options &given)
        : options(given)
    {
    }

    // Keeps the state of engines that were listed before; drops prefills on engines that are no longer listed.
    void setEngines(const std::vector<PrefillEngine> &listed);
    // Whether an engine can accept one more prefill; also true if there is no engine to wait for.
    bool mayStart(Instant now) const;
    // The earliest instant at which a prefill may start.
    Instant nextStart(Instant now) const;
    // Assigns the prefill to the engine that will complete it first. Empty if no engine is working.
    std::optional<EngineId> start(const PrefillRequest &prefill, Instant now);
    void onPrefilled(const RequestId &request, Instant now);
    void onFailed(const RequestId &request, Instant now);
    void onDropped(const RequestId &request, Instant now);
    // A prefill result of this engine could not be fetched.
    void onResultLost(const EngineId &engine, Instant now);
    // Mean time of one token over the engines, in microseconds.
    double perTokenUs() const;

private:
    struct Job {
        RequestId request;
        Duration nominal{0};
        Instant started; // when the engine was able to start it
    };
    struct Engine {
        DataCentreId dataCentre;
        std::vector<Job> jobs; // in the order of processing
        double slowness = 1;
        Instant avoidedUntil;
        int consecutiveFailures = 0;
    };

    Duration nominal(Tokens size) const;
    Duration ahead(const Engine &engine, Instant now) const;
    bool isWorking(const Engine &engine, Instant now) const;
    // A removed job, its engine, and whether it was the one in progress.
    struct Removed {
        Engine *engine = nullptr;
        Job job;
        bool wasFirst = false;
    };
    void avoid(Engine &engine, Instant now) const;
    std::optional<Removed> remove(const RequestId &request, Instant now);

    Options options;
    std::unordered_map<EngineId, Engine> engines;
    std::unordered_map<RequestId, EngineId> assigned;
};

} // namespace fescuesill
