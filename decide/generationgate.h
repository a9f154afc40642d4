#pragma once

// Decides which decode engine runs a generation and when, on one host, where engines accept reservations themselves.
//
//     GenerationGate gate(GenerationGate::Options{}, seed);
//     gate.setEngines(engines, now);
//     gate.submit({id, rank, Tokens(5200), Tokens(3500), Tokens(6500), now, now + 500ms, now + 3s}, now);
//     for (const GateAction &action : gate.poll(now)) { ... TryReserve: call the engine; Reject: refuse the caller ...
//     } gate.onReserved(id);                      // or onFull(id, now), onFault(id, now), and submit it again
//     gate.onEnded(id, false, Tokens(3500), now);     // releases its place; also if the caller disconnected
//
// Guards against admitting more generations than the memory of the engines holds: prompts would be prefilled without a
// decode place, answers preempted when memory runs out, and callers kept waiting beyond their target.

#include "decide/admission.h"
#include "decide/classqueue.h"
#include "decide/faultrate.h"
#include "decide/handoverfaults.h"
#include "decide/memoryforecast.h"
#include "decide/prefillpool.h"
#include "decide/rejectreason.h"
#include "decide/workspacetable.h"

#include <optional>
#include <random>
#include <unordered_map>
#include <variant>
#include <vector>

namespace fescuesill
{

struct DecodeEngine {
    EngineId engine;
    std::int64_t incarnation = 0;
    Tokens memory;
    int slots = 1;
    DataCentreId dataCentre;
    SoftwareVersion version = {};
};

struct GenerationRequest {
    RequestId id;
    int rank = 0; // lower goes first
    Tokens prompt;
    Tokens output; // the caller's estimate
    Tokens maxOutput; // the caller's limit
    Instant arrival;
    Instant onTimeUntil; // a later placement misses the target
    Instant usefulUntil; // the caller has given up after this
    DataCentreId dataCentre; // of the gateway that receives the answer
    EngineId avoid = {}; // the engine that just failed the request; empty if none
    std::vector<EngineId> excluded = {}; // engines that have turned its host away for now
    std::string promptName = {}; // name of the prompt's own part; empty if none
    // The only version that may run it, since that one began its stream; empty if any may.
    SoftwareVersion version = {};
    // A stream that its caller takes up: its version is to be found by the request that brought its first event.
    bool isTakenUp = false;
    RequestId resumes = {}; // that request; empty if the caller did not name it
    WorkspaceId workspace = {}; // that the call is accounted to; empty if it has none
    QuotaUnits cost = {}; // that it takes of the workspace's quota
    bool isCharged = false; // has taken it

    Tokens need() const
    {
        return this->prompt + this->output;
    }
};

struct TryReserve {
    RequestId id;
    EngineId engine;
    EngineId prefill = {}; // prefills the prompt; empty if none
    double forecast = 0; // forecast peak memory of the engine with this generation, as a share of its memory
    Duration waited{0}; // in this queue and earlier ones
};

struct RejectGeneration {
    RequestId id;
    Duration retryAfter;
    Duration waited{0};
    RejectReason reason = RejectReason::NoRoom;
};

// State behind the decisions of a gate, for the log.
struct GateView {
    std::size_t waiting = 0;
    std::size_t placed = 0;
    std::size_t engines = 0;
    double offeredLoad = 0; // recent, as a share of the time of the whole pool
    double rate = 0; // pool time placed per second while requests wait
    Duration perToken{0};
};

// Recent need of the submitted generations for the two pools, used for moving engines between them.
struct StageLoad {
    double prefillEngines = 0; // number in use all the time
    double heldTokens = 0; // decode memory in use all the time
};

using GateAction = std::variant<TryReserve, RejectGeneration>;

class GenerationGate
{
public:
    struct Options {
        // Maximum number of waiting requests. More would wait longer than any target allows, at some ten placements a
        // second on each host.
        std::size_t maxWaiting = 256;
        // Time before an engine that had no room is tried again, unless a generation of this host ends there. Places
        // become free every few hundred milliseconds on each engine, so a shorter time only costs calls.
        Duration fullRetryDelay{120ms};
        // Backoff after a fault, doubled with each further fault up to the maximum. An engine that is down looks empty
        // and would otherwise be chosen repeatedly until the platform detects the failure.
        Duration faultBackoff{250ms};
        Duration maxFaultBackoff{2s};
        // Added to the memory share of an engine in another data centre: its answers cross between data centres, and a
        // load that is a tenth higher is the smaller loss.
        double farPenalty = 0.1;
        // Added to the memory share of an engine that fails every call, in proportion to its fault rate.
        double faultPenalty = 2.0;
        // Share of an engine's memory that the forecast may fill. Estimates of the output are right only at the median;
        // over the eight or more generations of a full engine their errors amount to some 6% either way.
        double fill = 1.0;
        // Decode time of one token until the first measurement.
        Duration perToken{1ms};
        // Time constant of the offered load. After a burst of a few seconds the requests that it delayed can still be
        // served; a sustained load leaves no capacity for them, and they are refused at once.
        Duration loadWindow{5s};
        // Factor by which the placement rate may exceed its measurement until a load has lasted for the window above.
        // In a burst of five seconds at twice the capacity, 135 of 190 requests are on time with 2 and 130 with 1.
        double burstRateFactor = 2;
        // Time constant of the need of the two pools, which follows the mix of requests and not its bursts.
        Duration needWindow{10s};
        // Offered load, as a multiple of the placement rate, above which the load counts as sustained. At twice the
        // capacity this is reached after some five seconds; from then on refused requests wait 0.48 s on average
        // instead of 0.84 s.
        double sustainedLoad = 1.2;
        // Least share of the placement rate that refused callers may expect to be left for them when they return.
        double minReturnShare = 0.25;
        ClassQueue::Options queue;
        Admission::Options admission;
        PrefillPool::Options prefill;
        HandoverFaults::Options handover;
    };

    GenerationGate(const Options &options, std::uint64_t seed);

    void setEngines(const std::vector<DecodeEngine> &engines, Instant now);
    // Sets the engines that prefill prompts for the decode engines.
    void setPrefillEngines(const std::vector<PrefillEngine> &engines);
    // Sets the share of the engines' memory that this gate may fill if other gates, unseen by this one, fill the same
    // engines.
    void setShare(double part)
    {
        this->share = part;
    }
    void submit(const GenerationRequest &request, Instant now);
    // Returns the actions that follow from all events so far. Call it after each event and at nextWake().
    std::vector<GateAction> poll(Instant now);
    std::optional<Instant> nextWake(Instant now) const;

    // Takes over a generation that another gate placed, or that this gate placed before its host became the leader.
    // `since`: the time of the placement.
    void adopt(const GenerationRequest &request, const EngineId &engine, Instant since);
    void onReserved(const RequestId &id);
    // Outcome of the prefill at the prefill engine of the placement.
    void onPrefilled(const RequestId &id, Instant now);
    void onPrefillFailed(const RequestId &id, Instant now);
    // The decode engine refused the generation although it had granted the reservation, so it may not have found the
    // prefill result.
    void onResultLost(const RequestId &id, Instant now);
    void onFull(const RequestId &id, Instant now);
    // Its host does not use the engine, which may serve others.
    void onDeclined(const RequestId &id, Instant now);
    void onFault(const RequestId &id, Instant now);
    // The generation ended, completely or through a fault of the engine. `generated`: its output; 0 if there was none.
    void onEnded(const RequestId &id, bool isEngineFault, Tokens generated, Instant now);

    GateView view(Instant now) const;
    // Empty until enough generations have ended to know their duration.
    std::optional<StageLoad> stageLoad(Instant now) const;
    std::size_t waiting() const
    {
        return this->queue.size() + this->pinned.size();
    }
    std::size_t placed() const
    {
        return this->placements.size();
    }

private:
    struct Engine {
        DecodeEngine spec;
        std::unordered_map<RequestId, GrowingRun> runs; // placed by this gate
        std::optional<Instant> fullUntil;
        int consecutiveFaults = 0;
        std::optional<double> perTokenUs; // measured on this engine, because engines of one service differ in speed
        FaultRate faults;
    };
    struct Placement {
        GenerationRequest request;
        EngineId engine;
        std::int64_t incarnation = 0;
        Instant since;
        bool isReserved = false;
        EngineId prefill = {};
        bool isRefused = false; // by the decode engine, after the prefill
    };

    struct Choice {
        Engine *engine = nullptr; // null if none has room
        double forecast = 0;
    };
    Choice choose(const GenerationRequest &request, Instant now);
    // Peak memory of the engine with one more generation, as a share of its memory; empty if it does not fit.
    std::optional<double> peakShare(const Engine &engine, const GenerationRequest &request, Instant now) const;
    Engine *engineOf(const Placement &placement);
    void avoid(Engine &engine, Instant now) const;
    std::optional<Placement> take(const RequestId &id);
    Duration costOf(const GenerationRequest &request) const;
    Duration perToken(const Engine &engine) const;
    void learn(Engine *engine, const Placement &placement, Tokens generated, Instant now);
    void enqueue(const GenerationRequest &request, bool isLate);
    void place(const GenerationRequest &request, Engine &engine, Instant now);
    bool isWithinShare(const GenerationRequest &request) const;
    void placeWaiting(std::vector<GateAction> &actions, Instant now);
    void placePinned(std::vector<GateAction> &actions, Instant now);
    bool tryPlace(const GenerationRequest &request, std::vector<GateAction> &actions, Instant now);
    // Whether only some of the engines may run it, or none.
    bool isPinned(const GenerationRequest &request) const;
    bool hasEngineFor(const GenerationRequest &request) const; // now or later, as far as is known
    // Whether the engine may run the request at all.
    static bool mayRun(const DecodeEngine &engine, const GenerationRequest &request);
    bool removeWaiting(const RequestId &id);
    void demoteLate(std::vector<GateAction> &actions, Instant now);
    void demoteExpectedLate(Instant now);
    void rejectSurplus(std::vector<GateAction> &actions, Instant now);
    Duration expectedWait(int queueRank, Instant now) const;
    double offeredLoad(Instant now) const;
    // Share of the placement rate that the offered load leaves, but at least `minimum`.
    double shareLeft(double minimum, Instant now) const;
    double needDecay(Instant now) const;
    void addNeed(const GenerationRequest &request, Instant now);
    void reject(std::vector<GateAction> &actions, const QueueItem &item, Instant now);

    Options options;
    std::mt19937_64 random;
    ClassQueue queue;
    Admission admission;
    PrefillPool prefill;
    HandoverFaults handoverFaults;
    std::unordered_map<RequestId, GenerationRequest> waitingRequests;
    // Waiting for an engine of their version while engines of others serve too, oldest first. They go before the queue,
    // in which one of them would hold up the others while only engines of other versions have room.
    std::vector<GenerationRequest> pinned;
    std::unordered_map<RequestId, Placement> placements;
    OutputEstimate estimate;
    double offered = 0; // cost in microseconds of pool time that arrived within the window, decayed
    Instant offeredAt;
    // Sums over the requests submitted within the need window, decayed. A request that is submitted again counts again,
    // for both pools.
    double promptTokens = 0;
    double heldTokenUs = 0; // tokens of decode memory times the time for which they are held
    Instant needAt;
    std::int64_t ended = 0; // generations that contributed to the time of a token
    std::unordered_map<EngineId, Engine> engines;
    Tokens memory; // of all engines
    double share = 1;
    double perTokenUs;
};

} // namespace fescuesill
