#pragma once

// The messages between our processes, each a struct, and their CBOR form.
//
//     const std::string bytes = peer::encodeMessage(peer::Submit{...});
//     const auto message = peer::decodeMessage(bytes);             // WireError for anything that is not a message
//     std::visit(Overloaded{[](const peer::Placed &placed) { ... }, [](const auto &) { ... }}, *message);
//
// Times travel as remaining durations, never as clock readings: two hosts' clocks need not agree.

#include "decide/cellmessages.h"
#include "fescuesill/errors.h"
#include "fescuesill/ids.h"
#include "fescuesill/overloaded.h"
#include "fescuesill/units.h"
#include "wire/wireerror.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace fescuesill::peer
{

// The first message of each side of a link.
struct Hello {
    HostId host;
    DataCentreId dataCentre;
    bool isEntry = false;
};

// Entry to the owner of a cell: find engines for this request.
struct Submit {
    RequestId request;
    CellId cell;
    ServiceId service;
    WorkspaceId workspace;
    Tokens prompt;
    Tokens maxOutput;
    std::vector<std::uint64_t> prefix; // hashes of the prompt's leading blocks
    Duration waited{0}; // since the caller's request arrived
};

// Read the prompt at one engine, decode at the other. Not ready: wait for StartDecode, at most until expiry.
struct Placed {
    RequestId request;
    EngineId prefillEngine;
    std::string prefillAddress;
    EngineId decodeEngine;
    std::string decodeAddress;
    bool decodeReady = true;
    Duration expiry{0};
};

struct StartDecode {
    RequestId request;
    EngineId decodeEngine;
    std::string decodeAddress;
};

// The request is given up. Final.
struct Refused {
    RequestId request;
    Refusal refusal;
};

struct PrefillDone {
    RequestId request;
    Tokens read;
    Tokens reused;
    Duration keep{0};
};

struct PrefillFailed {
    RequestId request;
    PrefillFault fault = PrefillFault::Unreachable;
};

// Output so far; the first one says that the first token is out.
struct OutputProgress {
    RequestId request;
    Tokens output;
};

// The owner answers with StartDecode while the prefill result is held, else with Placed or Refused.
struct DecodeFailed {
    RequestId request;
    DecodeFault fault = DecodeFault::Unreachable;
    bool kvHeld = false;
};

enum class RequestOutcome {
    Completed,
    Cancelled, // the caller has gone and the engine has confirmed the cancellation
    Failed,
};

struct Finished {
    RequestId request;
    RequestOutcome outcome = RequestOutcome::Completed;
    Tokens output;
};

// One request that an entry runs, said again to a new owner or after a reconnect.
struct Held {
    RequestId request;
    CellId cell;
    ServiceId service;
    WorkspaceId workspace;
    StreamId stream; // empty while the prompt is read
    EngineId decodeEngine;
    Tokens prompt;
    Tokens output;
    Tokens maxOutput;
};

struct Holding {
    std::vector<Held> requests;
};

// The configuration in force at the sender: an encoded ConfigRecord, empty where there is none yet.
struct ConfigInForce {
    std::string record;
    bool serving = false; // the sender may take new work with it
};

// Asks for ConfigInForce.
struct FetchConfig {
};

struct LiveHost {
    HostId host;
    DataCentreId dataCentre;
    std::string schedulerAddress;
    bool leaving = false;
};

// The live hosts, as the sender sees them.
struct LiveHosts {
    std::vector<LiveHost> hosts;
};

// What an entry needs to choose a cell and to place in it without its owner.
struct CellUpdate {
    CellId cell;
    HostId owner;
    std::string ownerAddress;
    Duration queueDelay{0};
    Duration prefillPerToken{0};
    double memoryUse = 0;
    Pieces freePieces;
    bool accepting = true;
    std::uint64_t version = 0; // of the summary; 0: there is none
};

struct AllCells {
    std::vector<CellUpdate> cells;
};

// An entry asks a scheduler for its news (ConfigInForce, LiveHosts, AllCells: now, on every change, each second), or
// ends it.
struct Follow {
    bool wanted = true;
};

// A gateway to the leader: find a decode engine for this generation. `onTime` and `useful`: how much longer a place
// meets the target, or is of any use.
struct RequestPlacement {
    RequestId request;
    ServiceId service;
    std::uint64_t rank = 0;
    Tokens prompt;
    Tokens output; // the caller's estimate
    Tokens maxOutput;
    Duration waited{0}; // since its first ask
    Duration onTime{0};
    Duration useful{0};
    DataCentreId dataCentre;
    EngineId avoid;
    std::string promptName; // of the prompt's own part; none where empty
};

// The leader to a gateway: ask this engine for a reservation.
struct OfferPlacement {
    RequestId request;
    EngineId engine;
    EngineId prefill; // reads the prompt; none where empty
};

// The leader to a gateway: there is no place in time.
struct RejectPlacement {
    RequestId request;
    Duration retryAfter{0};
};

enum class PlacementEvent {
    Reserved,
    Prefilled, // by the prefill engine that the leader named
    PrefillFailed,
    ResultLost, // the decode engine could not get the result from the prefill engine
    Full, // the engine has no room; another RequestPlacement follows
    Fault, // the engine did not answer; another RequestPlacement follows
    Ended,
    EndedByFault,
};

// A gateway to the leader: what became of a place.
struct PlacementReport {
    RequestId request;
    ServiceId service;
    PlacementEvent event = PlacementEvent::Ended;
    Tokens output; // output, of one that ended
};

// One generation that runs, said to a new leader.
struct HeldPlacement {
    RequestId request;
    ServiceId service;
    EngineId engine;
    Tokens prompt;
    Tokens output; // the caller's estimate
    Tokens maxOutput;
    Duration age{0};
};

struct HeldPlacements {
    std::vector<HeldPlacement> places;
};

// A gateway to the leader: hand on what changes in the store after this version. One that is newer than the leader's
// own is answered when the leader has caught up.
struct FollowStore {
    std::uint64_t version = 0;
};

struct RegistryRow {
    std::uint64_t version = 0;
    std::string key;
    std::string value; // as it was written
    bool isRemoved = false;
};

// The leader to a gateway: the rows of the registry that changed after one version of the store and up to another.
struct RegistryUpdate {
    std::uint64_t after = 0;
    std::uint64_t version = 0;
    std::vector<RegistryRow> rows;
};

// The leader to a gateway: the configuration's row has this version. Where there is no change with it, or the gateway
// has another row than the change is based on, the row is read from the store, which has more room on its links than
// the leader.
struct ConfigUpdate {
    std::uint64_t rowVersion = 0;
    std::uint64_t after = 0; // the row that the change is based on
    std::string change; // encodeRoutingChange(), or empty
};

// The leader to a gateway: the configuration has changed, and the leader is slow to read it.
struct ConfigDelayed {
};

// The leader to a gateway: this engine is ordered to change its stage and takes no work for so long.
struct EngineChanging {
    EngineId engine;
    Duration duration{0};
};

// The leader to a gateway: it cannot read the store.
struct StoreLost {
};

// The leader to a gateway: it does not lead any more.
struct LeadershipEnded {
};

// A gateway to the leader, when the link has opened: where others reach it.
struct FollowerAddress {
    std::string address; // IP:PORT of its links; empty: it stops and is to be nobody's deputy
};

// The leader to a gateway: who places while the leader cannot be reached; empty: none.
struct DeputyNamed {
    std::string address;
    std::uint64_t hosts = 1; // that the leader places for, with itself
};

using Message =
    std::variant<Hello, Submit, Placed, StartDecode, Refused, PrefillDone, PrefillFailed, OutputProgress, DecodeFailed,
                 Finished, Holding, ConfigInForce, FetchConfig, LiveHosts, AllCells, Follow, RequestPlacement,
                 OfferPlacement, RejectPlacement, PlacementReport, HeldPlacements, FollowStore, RegistryUpdate,
                 ConfigUpdate, EngineChanging, StoreLost, LeadershipEnded, FollowerAddress, DeputyNamed, ConfigDelayed>;

std::string encodeMessage(const Message &message);
tl::expected<Message, WireError> decodeMessage(std::string_view bytes);

} // namespace fescuesill::peer
