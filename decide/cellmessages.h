#pragma once

// Inputs and outputs of the decisions of one cell, as plain values. See cellscheduler.h for their use.

#include "fescuesill/errors.h"
#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fescuesill
{

// The pool an engine works in.
enum class Pool {
    Prefill,
    Decode,
};

// Hash of a prompt from its start to the end of one block of tokens; equal hashes mean equal prefixes.
struct PrefixHash {
    std::uint64_t value = 0;

    friend bool operator==(PrefixHash a, PrefixHash b)
    {
        return a.value == b.value;
    }
};

// Targets and urgency of a request. A lower rank is placed first.
struct RequestClass {
    std::string name;
    int rank = 0;
    Duration firstToken{550ms};
    Duration perToken{71ms};
    Duration patience{5s}; // maximum time in the queue before the request is refused
    double wasteWeight = 1.0; // cost of one wasted prefill token relative to one token of goodput
};

struct PlaceRequest {
    RequestId request;
    WorkspaceId workspace;
    RequestClass requestClass;
    Tokens prompt;
    Tokens maxOutput{1024};
    std::vector<PrefixHash> prefix; // of the first block, the first two blocks, and so on
    Instant arrival;
};

struct EngineSpec {
    EngineId engine;
    Pool pool = Pool::Prefill;
    Pieces memory{20};
    DataCentreId dataCentre;
    std::string link; // engines with the same link name share its rate; empty: a link of its own
    bool leaving = false; // draining: gets no new work
};

// Load as reported by the engine. It lags by `age`.
struct LoadReport {
    Pieces piecesUsed;
    int running = 0;
    Tokens queued;
    Duration age{0};
    std::string instance; // changes when the engine process restarts
};

struct CacheEvent {
    enum class Kind {
        Added,
        Evicted,
    };
    Kind kind = Kind::Added;
    PrefixHash prefix;
};

struct PrefillResult {
    Tokens read; // tokens that the engine computed
    Tokens reused; // tokens found in its cache
    Duration keep{800ms}; // how long the engine keeps the result
};

enum class PrefillFault {
    QueueFull, // 503: the request can be placed on another engine
    Unreachable, // no answer: the engine may be slow or dead
};

enum class DecodeFault {
    NoMemory, // 503: the prefill result is still held
    KvGone, // 410: the prefill result has expired
    Unreachable,
};

// A request that an entry or an engine reports as running when a new owner takes over the cell.
struct HeldRequest {
    PlaceRequest request;
    EngineId decodeEngine;
    Tokens output; // generated so far
};

// Prefill the prompt on one engine, then decode on another.
struct Place {
    RequestId request;
    EngineId prefillEngine;
    EngineId decodeEngine;
    // False: the decode memory is expected to become free by the end of the prefill, so wait for StartDecode. If none
    // arrives by `expiry` (the scheduler may have died), start decoding on decodeEngine anyway.
    bool decodeReady = true;
    Instant expiry;
};

// Memory is free: transfer the prefill result to this engine and decode. Sent once after a Place with decodeReady
// false, and again after a decode that failed while the result was still held.
struct StartDecode {
    RequestId request;
    EngineId decodeEngine;
};

// The request is refused and nothing of it runs any more. Final.
struct Refuse {
    RequestId request;
    Refusal refusal;
};

// Proposes to move an engine to the other pool. The owner carries it out under its fencing number.
struct ChangeRole {
    EngineId engine;
    Pool pool = Pool::Prefill;
};

using Action = std::variant<Place, StartDecode, Refuse, ChangeRole>;

// The state that other data centres need in order to choose a cell. Spread with the membership, so it lags.
struct CellSummary {
    std::uint64_t version = 0; // increases with each publication; 0: none was published
    Duration queueDelay{0}; // expected wait of a new request before its prefill starts
    Duration prefillPerToken{0};
    double memoryUse = 0; // share of the decode memory that is in use or promised, 0 to 1
    Pieces freePieces;
    int decodeEngines = 0; // that take work
    int prefillEngines = 0;
    bool accepting = true;
};

// Totals since the cell was created.
struct CellCounters {
    std::uint64_t submitted = 0;
    std::uint64_t placed = 0;
    std::uint64_t refused = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t replaced = 0; // placed again after a fault
    std::uint64_t resumed = 0; // decoded on another engine from a prefill result that was still held
    Tokens promptComputed;
    Tokens promptReused;
    Tokens wastedExpired;
    Tokens wastedRedone;
    Tokens wastedCancelled;
    Tokens wastedNoPlace;
    std::uint64_t decisions = 0;
    std::uint64_t steps = 0; // engines and queue heads examined
};

} // namespace fescuesill
