#pragma once

// Which generation goes to which decode engine and when, on one host, where engines take reservations themselves.
//
//     GenerationGate gate(GenerationGate::Options{}, seed);
//     gate.setEngines(engines, now);
//     gate.submit({id, rank, Tokens(5200), Tokens(3500), Tokens(6500), now, now + 500ms, now + 3s}, now);
//     for (const GateAction &action : gate.poll(now)) { ... TryReserve: ask the engine; Reject: answer the caller ... }
//     gate.onReserved(id);                      // or onFull(id, now), onFault(id, now), and submit it once more
//     gate.onEnded(id, now);                    // its place is free; also for a caller that has gone
//
// Load: more generations than the engines' memory holds. Harm prevented: prompts read for a decode place that is not
// there, answers thrown out midway when memory runs out, and callers held until it is too late for them.

#include "decide/admission.h"
#include "decide/classqueue.h"
#include "decide/faultrate.h"
#include "decide/memoryforecast.h"
#include "decide/prefillpool.h"

#include <optional>
#include <random>
#include <unordered_map>
#include <variant>
#include <vector>

namespace fescuesill
{

struct DecodePlaces {
    EngineId engine;
    std::int64_t incarnation = 0;
    Tokens memory;
    int slots = 1;
    DataCentreId dataCentre;
};

struct GenerationAsk {
    RequestId id;
    int rank = 0; // lower goes first
    Tokens prompt;
    Tokens output; // the caller's estimate
    Tokens mostOutput; // the caller's bound
    Instant arrival;
    Instant onTimeUntil; // a place later than this misses the target
    Instant usefulUntil; // later than this the caller has gone
    DataCentreId dataCentre; // where its answer goes first
    EngineId avoid = {}; // it just failed there; none where empty
    std::string promptName = {}; // of the prompt's own part; none where empty

    Tokens need() const
    {
        return this->prompt + this->output;
    }
};

struct TryReserve {
    RequestId id;
    EngineId engine;
    EngineId prefill = {}; // reads the prompt; none where empty
    double forecast = 0; // how full the engine will get with it, as a share of its memory
    Duration waited{0}; // in this queue and those before
};

struct RejectGeneration {
    RequestId id;
    Duration retryAfter;
    Duration waited{0};
};

// What a gate decides by, for the log.
struct GateView {
    std::size_t waiting = 0;
    std::size_t placed = 0;
    std::size_t engines = 0;
    double offeredLoad = 0; // of the pool's whole time, lately
    double rate = 0; // of the pool's time that is given out a second while some wait
    Duration perToken{0};
};

// What the generations that were submitted lately need of the two pools, for moving engines between them.
struct StageLoad {
    double prefillEngines = 0; // in use all the time
    double heldTokens = 0; // decode memory in use all the time
};

using GateAction = std::variant<TryReserve, RejectGeneration>;

class GenerationGate
{
public:
    struct Options {
        // Waiting at once; more would wait longer than any target allows, at some ten places a second on each host.
        std::size_t mostWaiting = 256;
        // An engine that had no room is not asked again sooner, unless a generation of this host ends there. Places
        // come free every few hundred milliseconds on each engine; asking oftener only costs calls.
        Duration askAgain{120ms};
        // After a fault, doubled at each further one up to the longest: an engine that is down looks empty, and would
        // be chosen again and again until the platform notices.
        Duration afterFault{250ms};
        Duration longestAfterFault{2s};
        // What fullness a far engine is taken to have beyond its own, as a share of its memory: its answers cross
        // between data centres, and a tenth fuller is a smaller loss than that.
        double farShare = 0.1;
        // How much of its memory an engine that fails every call is taken to have lost.
        double faultShare = 2.0;
        // Share of an engine's memory that the forecast may fill. Estimates of the output are right at the median only;
        // over the eight or more runs of a full engine their errors leave some 6% either way.
        double fill = 1.0;
        // Time of one token until measured.
        Duration perToken{1ms};
        // Weight of time in the load that is offered. A burst of a few seconds passes, and those that it made late are
        // served after it; a load that lasts leaves nothing for them, and they are told so at once.
        Duration loadWindow{5s};
        // By how much the rate of placing may be better than it is believed while a load has not lasted for the window
        // above. In a burst of five seconds at twice the capacity, 135 of 190 are on time with 2 and 130 with 1.
        double hopeInBurst = 2;
        // Weight of time in the need of the two pools, which follows the mix of requests and not its bursts.
        Duration needWindow{10s};
        // Load offered over that window, as a multiple of the rate, that is taken for lasting. At twice the capacity
        // it is reached after some five seconds; from then on those that are refused wait 0.48 s on average, not 0.84.
        double lastingLoad = 1.2;
        ClassQueue::Options queue;
        Admission::Options admission;
        PrefillPool::Options prefill;
    };

    GenerationGate(const Options &options, std::uint64_t seed);

    void setEngines(const std::vector<DecodePlaces> &engines, Instant now);
    // Engines that read prompts for the decode engines.
    void setPrefillEngines(const std::vector<PrefillPlace> &engines);
    // The part of the engines' memory that this gate may fill, where other gates fill the same engines unseen.
    void setShare(double part)
    {
        this->share = part;
    }
    void submit(const GenerationAsk &ask, Instant now);
    // What follows from all events so far; ask again after each event and at nextWake().
    std::vector<GateAction> poll(Instant now);
    std::optional<Instant> nextWake(Instant now) const;

    // One that another gate placed, or this one before it was the leader's; `since`: when it was.
    void adopt(const GenerationAsk &ask, const EngineId &engine, Instant since);
    void onReserved(const RequestId &id);
    // How the read at the prefill engine of its place ended.
    void onRead(const RequestId &id, Instant now);
    void onReadFailed(const RequestId &id, Instant now);
    // The result of that read was gone when its decode engine asked for it.
    void onResultLost(const RequestId &id, Instant now);
    void onFull(const RequestId &id, Instant now);
    void onFault(const RequestId &id, Instant now);
    // The generation ended there, whole or by the engine's fault. `made`: its output; none where it did not come to
    // any.
    void onEnded(const RequestId &id, bool isEngineFault, Tokens made, Instant now);

    GateView view(Instant now) const;
    // None until generations have shown how long they take.
    std::optional<StageLoad> stageLoad(Instant now) const;
    std::size_t waiting() const
    {
        return this->queue.size();
    }
    std::size_t placed() const
    {
        return this->placements.size();
    }

private:
    struct Engine {
        DecodePlaces places;
        std::unordered_map<RequestId, GrowingRun> runs; // that this gate placed
        std::optional<Instant> fullUntil;
        int faultsInRow = 0;
        std::optional<double> perTokenUs; // measured here; engines of one service differ in speed
        FaultRate faults;
    };
    struct Placement {
        GenerationAsk ask;
        EngineId engine;
        std::int64_t incarnation = 0;
        Instant since;
        bool isReserved = false;
        EngineId prefill = {};
    };

    struct Choice {
        Engine *engine = nullptr; // null where none has room
        double forecast = 0;
    };
    Choice choose(const GenerationAsk &ask, Instant now);
    // Its memory as a share, at its fullest with one more; none where it does not fit.
    std::optional<double> fullness(const Engine &engine, const GenerationAsk &ask, Instant now) const;
    Engine *engineOf(const Placement &placement);
    std::optional<Placement> take(const RequestId &id);
    Duration costOf(const GenerationAsk &ask) const;
    Duration perToken(const Engine &engine) const;
    void learn(Engine *engine, const Placement &placement, Tokens made, Instant now);
    void enqueue(const GenerationAsk &ask, bool isLate);
    void place(const GenerationAsk &ask, Engine &engine, Instant now);
    bool isWithinShare(const GenerationAsk &ask) const;
    void placeWaiting(std::vector<GateAction> &actions, Instant now);
    void demoteLate(std::vector<GateAction> &actions, Instant now);
    void demoteHopeless(Instant now);
    void rejectSurplus(std::vector<GateAction> &actions, Instant now);
    Duration expectedWait(int queueRank, Instant now) const;
    double offeredLoad(Instant now) const;
    double needFade(Instant now) const;
    void addNeed(const GenerationAsk &ask, Instant now);
    void reject(std::vector<GateAction> &actions, const QueueItem &item, Instant now);

    Options options;
    std::mt19937_64 random;
    ClassQueue queue;
    Admission admission;
    PrefillPool prefill;
    std::unordered_map<RequestId, GenerationAsk> waitingAsks;
    std::unordered_map<RequestId, Placement> placements;
    OutputEstimate estimate;
    double offered = 0; // cost in microseconds of the pool's time that came within the window, faded
    Instant offeredAt;
    // Submitted within the window of the need, faded. One that is submitted again counts again, for both pools.
    double promptTokens = 0;
    double heldTokenUs = 0; // tokens of decode memory times how long they are held
    Instant needAt;
    std::int64_t ended = 0; // generations that taught the time of a token
    std::unordered_map<EngineId, Engine> engines;
    Tokens memory; // of all engines
    double share = 1;
    double perTokenUs;
};

} // namespace fescuesill
