#pragma once

// What goes into and comes out of the decisions of one cell. Plain values; see cellscheduler.h for their use.

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

// Targets and urgency of a request; a lower rank goes first.
struct RequestClass {
    std::string name;
    int rank = 0;
    Duration firstToken{550ms};
    Duration perToken{71ms};
    Duration patience{5s}; // how long it may wait in the queue before it is refused
    double wasteWeight = 1.0; // price of one wasted prefill token against one token of goodput
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
    std::string link; // engines that name the same link share its rate; empty: a link of its own
    bool leaving = false; // gets no new work
};

// An engine's own word about its load; it lags by `age`.
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
    Tokens reused; // tokens that its cache held
    Duration keep{800ms}; // how long it keeps the result
};

enum class PrefillFault {
    QueueFull, // 503: the request stays ours to place elsewhere
    Unreachable, // no answer: the engine may be slow or dead
};

enum class DecodeFault {
    NoMemory, // 503: the prefill result is still held
    KvGone, // 410: the prefill result has expired
    Unreachable,
};

// What an entry or an engine says is running when a new owner takes the cell over.
struct HeldRequest {
    PlaceRequest request;
    EngineId decodeEngine;
    Tokens output; // written so far
};

// Read the prompt on one engine, then decode on another.
struct Place {
    RequestId request;
    EngineId prefillEngine;
    EngineId decodeEngine;
    // False: the decode memory is expected to come free by the end of the prefill. Wait for StartDecode; without one by
    // `expiry` (the scheduler may have died) go to decodeEngine all the same.
    bool decodeReady = true;
    Instant expiry;
};

// Memory is free: move the prefill result there and decode. Sent once after a Place that was not ready, and again after
// a decode that failed while the result was still held.
struct StartDecode {
    RequestId request;
    EngineId decodeEngine;
};

// The request is given up; nothing of it runs any more. Final.
struct Refuse {
    RequestId request;
    Refusal refusal;
};

// Proposal to move an engine to the other pool. The owner carries it out under its fencing number.
struct ChangeRole {
    EngineId engine;
    Pool pool = Pool::Prefill;
};

using Action = std::variant<Place, StartDecode, Refuse, ChangeRole>;

// The little that other data centres need in order to choose a cell. Spread with the membership; it lags.
struct CellSummary {
    std::uint64_t version = 0; // grows with each that is published; 0: none was
    Duration queueDelay{0}; // expected wait of a new request before its prefill starts
    Duration prefillPerToken{0};
    double memoryUse = 0; // share of the decode memory in use or promised, 0..1
    Pieces freePieces;
    int decodeEngines = 0; // that take work
    int prefillEngines = 0;
    bool accepting = true;
};

// What the cell did since it was created.
struct CellCounters {
    std::uint64_t submitted = 0;
    std::uint64_t placed = 0;
    std::uint64_t refused = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t replaced = 0; // placed again after a fault
    std::uint64_t resumed = 0; // decoded elsewhere from a prefill result still held
    Tokens promptRead;
    Tokens promptReused;
    Tokens wastedExpired;
    Tokens wastedRedone;
    Tokens wastedCancelled;
    Tokens wastedNoPlace;
    std::uint64_t decisions = 0;
    std::uint64_t steps = 0; // engines and queue heads looked at
};

} // namespace fescuesill
