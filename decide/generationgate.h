#pragma once

// Which generation goes to which decode engine and when, on one host, where engines take reservations themselves.
//
//     GenerationGate gate(GenerationGate::Options{}, seed);
//     gate.setEngines(engines, now);
//     gate.submit({id, rank, Tokens(8700), now, now + 700ms}, now);
//     for (const GateAction &action : gate.poll(now)) { ... TryReserve: ask the engine; Reject: answer the caller ... }
//     gate.onReserved(id);                      // or onFull(id, now), onFault(id, now): it is tried elsewhere, or waits
//     gate.onEnded(id, now);                    // its place is free; also for a caller that has gone
//
// Load: more generations than the engines' memory holds, from several hosts that do not speak to each other. Harm
// prevented: prompts read for a decode place that is not there, and callers held until it is too late for them.

#include "decide/admission.h"
#include "decide/classqueue.h"
#include "decide/faultrate.h"

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
    bool isNear = false; // in the data centre of this host
};

struct GenerationAsk {
    RequestId id;
    int rank = 0; // lower goes first
    Tokens need; // memory at its end
    Instant arrival;
    Instant latest; // a place later than this is no use to the caller
    EngineId avoid; // it just failed there; none where empty
};

struct TryReserve {
    RequestId id;
    EngineId engine;
};

struct RejectGeneration {
    RequestId id;
    Duration retryAfter;
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
        // What fullness a far engine is taken to have beyond its own, as a share of its memory: its answers cross
        // between data centres, and a tenth fuller is a smaller loss than that.
        double farShare = 0.1;
        // How much of its memory an engine that fails every call is taken to have lost.
        double faultShare = 2.0;
        // Life of a generation until measured.
        Duration life{3s};
        ClassQueue::Options queue;
        Admission::Options admission;
    };

    GenerationGate(const Options &options, std::uint64_t seed);

    void setEngines(const std::vector<DecodePlaces> &engines, Instant now);
    void submit(const GenerationAsk &ask, Instant now);
    // What follows from all events so far; ask again after each event and at nextWake().
    std::vector<GateAction> poll(Instant now);
    std::optional<Instant> nextWake(Instant now) const;

    void onReserved(const RequestId &id);
    void onFull(const RequestId &id, Instant now);
    void onFault(const RequestId &id, Instant now);
    // The generation ended there, whole or by the engine's fault.
    void onEnded(const RequestId &id, bool isEngineFault, Instant now);

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
        Tokens held; // by generations of this host
        int running = 0;
        std::optional<Instant> fullUntil;
        FaultRate faults;
    };
    struct Placement {
        GenerationAsk ask;
        EngineId engine;
        std::int64_t incarnation = 0;
        Instant since;
        bool isReserved = false;
    };

    Engine *choose(const GenerationAsk &ask, Instant now);
    Engine *engineOf(const Placement &placement);
    std::optional<Placement> take(const RequestId &id);
    Duration costOf(Tokens need) const;
    void requeue(const GenerationAsk &ask);
    void place(const GenerationAsk &ask, Engine &engine, Instant now);
    void rejectLate(std::vector<GateAction> &actions, Instant now);

    Options options;
    std::mt19937_64 random;
    ClassQueue queue;
    Admission admission;
    std::unordered_map<RequestId, GenerationAsk> waitingAsks;
    std::unordered_map<RequestId, Placement> placements;
    std::unordered_map<EngineId, Engine> engines;
    Tokens memory; // of all engines
    double lifeUs;
};

} // namespace fescuesill
