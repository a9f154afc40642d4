#pragma once

// The messages between the processes of fescuesill, each a struct, and their CBOR encoding.
//
//     const std::string bytes = peer::encodeMessage(peer::Submit{...});
//     const auto message = peer::decodeMessage(bytes);             // WireError if the bytes are not a message
//     std::visit(Overloaded{[](const peer::Placed &placed) { ... }, [](const auto &) { ... }}, *message);
//
// Times are sent as durations, because the clocks of two hosts may differ. Only messages for promise/peerclock.h have
// readings of a clock. The order of the
// structs in the variant, of their fields and of the enumerators is the wire format.

#include "decide/cellmessages.h"
#include "decide/rejectreason.h"
#include "decide/workspacetable.h"
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

// Entry to the owner of a cell: requests engines for a caller's request.
struct Submit {
    RequestId request;
    CellId cell;
    ServiceId service;
    WorkspaceId workspace;
    Tokens prompt;
    Tokens maxOutput;
    std::vector<std::uint64_t> prefix; // hashes of the prompt's leading blocks
    Duration waited{0}; // since the caller's request arrived
    std::uint64_t content = 0; // RequestTrait::value() of the whole request
};

// Owner to the entry: the engines for prefill and decode. If `decodeReady` is false, the entry waits for StartDecode,
// but not longer than `expiry`.
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

// The owner has refused the request. No other message about it follows.
struct Refused {
    RequestId request;
    Refusal refusal;
};

struct PrefillDone {
    RequestId request;
    Tokens read; // prompt tokens that the engine computed
    Tokens reused; // prompt tokens that it had in its cache
    Duration keep{0}; // how long the engine keeps the result
};

struct PrefillFailed {
    RequestId request;
    PrefillFault fault = PrefillFault::Unreachable;
    std::uint64_t content = 0; // as in DecodeFailed
    Duration ran{0};
};

// The output so far. The first message reports that the first token has been sent.
struct OutputProgress {
    RequestId request;
    Tokens output;
};

// The owner answers with StartDecode while the prefill result is held, otherwise with Placed or Refused.
struct DecodeFailed {
    RequestId request;
    DecodeFault fault = DecodeFault::Unreachable;
    bool kvHeld = false;
    std::uint64_t content = 0; // RequestTrait::value() of the whole request, if the engine ended under it; otherwise 0
    Duration ran{0}; // how long it had run then
};

enum class RequestOutcome {
    Completed,
    Cancelled, // the caller disconnected and the engine confirmed the cancellation
    Failed,
};

struct Finished {
    RequestId request;
    RequestOutcome outcome = RequestOutcome::Completed;
    Tokens output;
};

// A request that an entry is running, reported to a new owner and after a reconnect.
struct Held {
    RequestId request;
    CellId cell;
    ServiceId service;
    WorkspaceId workspace;
    StreamId stream; // empty during prefill
    EngineId decodeEngine;
    Tokens prompt;
    Tokens output;
    Tokens maxOutput;
};

struct Holding {
    std::vector<Held> requests;
};

// The configuration that the sender uses: an encoded ConfigRecord, or empty if it has none yet.
struct ConfigInForce {
    std::string record;
    bool serving = false; // the sender may accept new requests under this configuration
};

// Requests ConfigInForce.
struct FetchConfig {
};

struct LiveHost {
    HostId host;
    DataCentreId dataCentre;
    std::string schedulerAddress;
    bool leaving = false;
};

// The live hosts in the sender's view of the membership.
struct LiveHosts {
    std::vector<LiveHost> hosts;
};

// The state of a cell that an entry needs to choose the cell, and to place requests in it while its owner is
// unreachable.
struct CellUpdate {
    CellId cell;
    HostId owner;
    std::string ownerAddress;
    Duration queueDelay{0};
    Duration prefillPerToken{0};
    double memoryUse = 0;
    Pieces freePieces;
    bool accepting = true;
    std::uint64_t version = 0; // version of the summary, 0 if there is none
};

struct AllCells {
    std::vector<CellUpdate> cells;
};

// An entry subscribes to the updates of a scheduler, or ends its subscription. The scheduler sends ConfigInForce,
// LiveHosts and AllCells at once, on every change and every second.
struct Follow {
    bool wanted = true;
};

// Gateway to the leader: requests a decode engine for a generation. A placement within `onTime` still meets the target
// of the route, and one after `useful` is too late to be used.
struct RequestPlacement {
    RequestId request;
    ServiceId service;
    std::uint64_t rank = 0;
    Tokens prompt;
    Tokens output; // the caller's estimate
    Tokens maxOutput;
    Duration waited{0}; // since the first request for this generation
    Duration onTime{0};
    Duration useful{0};
    DataCentreId dataCentre;
    EngineId avoid;
    std::vector<std::string> excluded; // engines that have turned the sender away for now
    std::string promptName; // name of the part that is the prompt's own, or empty
    SoftwareVersion version; // the only one that may run it, or empty
    bool isTakenUp = false; // a stream that its caller takes up; its version is not known to the sender if empty
    RequestId resumes; // the request that brought the stream's first event, or empty
    WorkspaceId workspace; // that the call is accounted to, or empty
    QuotaUnits cost; // that it takes of the workspace's quota
    bool isCharged = false; // an earlier request for it was, at this leader or another one
};

// Leader to a gateway: the engine at which to request a reservation.
struct OfferPlacement {
    RequestId request;
    EngineId engine;
    EngineId prefill; // the prefill engine; empty if there is none
};

// Leader to a gateway: why the generation gets no engine.
struct RejectPlacement {
    RequestId request;
    Duration retryAfter{0};
    RejectReason reason = RejectReason::NoRoom;
};

enum class PlacementEvent {
    Reserved,
    Prefilled, // the prefill engine named by the leader has finished
    PrefillFailed,
    ResultLost, // the decode engine refused, perhaps because it could not fetch the prefill result
    Full, // the engine has no room; another RequestPlacement follows
    Fault, // the engine did not answer; another RequestPlacement follows
    Ended,
    EndedByFault,
    Declined, // the sender does not use the engine, which may serve others; another RequestPlacement follows
};

// Gateway to the leader: a change in the state of a placement.
struct PlacementReport {
    RequestId request;
    ServiceId service;
    PlacementEvent event = PlacementEvent::Ended;
    Tokens output; // number of output tokens, once the generation has ended
    SoftwareVersion version; // of the engine that has reserved a place for a resumable stream; otherwise empty
};

// A running generation, reported to a new leader.
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

// A stream and the version that began it.
struct StreamOrigin {
    RequestId request;
    ServiceId service;
    SoftwareVersion version;
    Duration age{0};
    WorkspaceId workspace; // on whose behalf it runs, or empty
};

// Gateway to the leader or its deputy after the link has opened, and from the leader to its deputy: the recent streams
// of services with several versions that the sender knows of.
struct StreamsBegun {
    std::vector<StreamOrigin> streams;
};

// Gateway to the leader or its deputy: subscribes to the changes in the store after this version. If the version is
// newer than the leader's own, the leader answers when it has caught up.
struct FollowStore {
    std::uint64_t version = 0;
};

struct RegistryRow {
    std::uint64_t version = 0;
    std::string key;
    std::string value; // the bytes as written to the store
    bool isRemoved = false;
};

// Leader to a gateway, or from a gateway that reads for the leader: the rows of the registry that changed after version
// `after` of the store, up to `version`. With `hasGap`, rows may have come and gone in between without being in `rows`.
struct RegistryUpdate {
    std::uint64_t after = 0;
    std::uint64_t version = 0;
    std::vector<RegistryRow> rows;
    bool hasGap = false;
};

// Leader to a gateway, or from a gateway that reads for the leader: the row of the configuration has this version. If
// `change` is empty, or is based on another row than the gateway has, the gateway reads the row from the store, whose
// links have more spare bandwidth than the leader's.
struct ConfigUpdate {
    std::uint64_t rowVersion = 0;
    std::uint64_t after = 0; // version of the row that the change is based on
    std::string change; // encodeRoutingChange(), or empty
};

// Leader to a gateway: the configuration has changed, and the leader is late in reading it.
struct ConfigDelayed {
};

// Leader to a gateway: the engine has been ordered to change its stage and accepts no work for `duration`.
struct EngineChanging {
    EngineId engine;
    Duration duration{0};
};

// The limit that an endpoint states in its answers, or that it states none any more. From a gateway that has received
// such an answer to the leader, and from the leader to the others.
struct EndpointLimit {
    EndpointId endpoint;
    bool isLimited = false;
    double perSecond = 0;
};

// Gateway to the leader: requests a permit to send one call to an endpoint that has a limit.
struct RequestPermit {
    std::uint64_t number = 0; // repeated in the reply
    EndpointId endpoint;
};

// Leader to a gateway: the call may be sent if `wait` is zero; otherwise no permit is available for that time.
struct PermitReply {
    std::uint64_t number = 0;
    Duration wait{0};
};

// Leader to a gateway: reads the store for the leader and sends it all changes after this version of the
// registry, or stops doing so. Sent while the leader itself cannot read the store.
struct DelegateReading {
    bool isWanted = false;
    std::uint64_t registryVersion = 0;
};

// Leader to a gateway: neither the leader nor the gateways that read for it can read the store. From a gateway that
// reads for the leader: it cannot read the store.
struct StoreLost {
};

// Leader to a gateway: the store can be read again.
struct StoreRestored {
    Duration sinceFailure{0}; // since the start of the last read that failed
};

// Deputy to a gateway that it places for: the lease now names this leader.
struct LeaderNamed {
    HostId host;
    std::string address; // IP:PORT for links
    std::uint64_t lease = 0; // the version of the lease's row
};

// Leader to a gateway: the sender is no longer the leader.
struct LeadershipEnded {
};

// Gateway to the leader, after the link has opened: the address at which other gateways reach the sender.
struct FollowerAddress {
    std::string address; // IP:PORT for links; empty if the sender is stopping and must not become the deputy
    std::string tunnels; // IP:PORT at which the sender opens tunnels to endpoints; empty if it does not
};

// Leader to a gateway: the deputy, which places while the leader is unreachable.
struct DeputyNamed {
    std::string address; // empty if there is none
    std::uint64_t hosts = 1; // number of hosts that the leader places for, including itself
};

// Gateway to the leader: the sender can't reach endpoints, and requests hosts through which it can connect to them.
struct RequestTunnelHosts {
    bool isCutOff = false; // it reaches none, so it opens no tunnels itself
};

// Leader to a gateway: hosts that open tunnels to endpoints.
struct TunnelHostsNamed {
    std::vector<std::string> addresses; // IP:PORT
    bool areOthersCutOff = false; // there are other hosts, but none of them reaches endpoints
};

// Gateway to the leader: asks whether a call may run within the quota of its workspace.
struct RequestCredit {
    std::uint64_t number = 0; // repeated in the reply
    WorkspaceId workspace;
    QuotaUnits cost;
};

// Leader to a gateway: the call was charged if `wait` is zero; otherwise the credit will probably cover it after that.
struct CreditReply {
    std::uint64_t number = 0;
    Duration wait{0};
};

struct QuotaUse {
    WorkspaceId workspace;
    QuotaUnits units; // negative if more did not run than was admitted
};

// Gateway to the leader: what it has admitted without asking, less what did not run after it was charged.
struct QuotaReport {
    std::vector<QuotaUse> uses;
};

// Leader to a gateway that has reported some use: the quota of the workspace is used up for this time.
struct QuotaUsedUp {
    WorkspaceId workspace;
    Duration wait{0};
};

// Between two gateways: requests the time of the peer's clock. The clocks also advance while a host is suspended.
struct RequestClock {
    std::uint64_t sent = 0; // microseconds of the sender's clock, repeated in the reply
};

struct ClockReply {
    std::uint64_t sent = 0;
    std::uint64_t clock = 0; // microseconds of the replying host's clock
};

// Leader to a gateway, or from a gateway that reads for the leader: at that instant of the sender's clock, this row of
// the configuration was the newest. Sent only while the configuration has workspaces.
struct ConfigCurrent {
    std::uint64_t rowVersion = 0;
    std::uint64_t at = 0; // microseconds
    std::uint64_t hosts = 0; // of the fleet, as the leader counts them; 0 from other hosts
};

// Gateway to the leader: an endpoint ended while it ran a request of the gateway's callers.
struct EndpointCrashed {
    EndpointId endpoint;
    std::uint64_t incarnation = 0;
    std::vector<std::uint64_t> traits; // of the request (decide/requesttrait.h)
    Duration sinceBegin{0}; // since the request was sent to the endpoint
    Duration sinceEnd{0}; // since the endpoint ended
    std::uint64_t number = 0; // of the report; unless it is 0, the leader replies once it has notified all gateways
};

// Leader to a gateway: the crash was counted, and what that blocks was sent before this.
struct CrashCounted {
    std::uint64_t number = 0;
};

// From the leader to its deputy, and saved in the store: the crashes that may still block requests, with those traits
// that count.
struct CrashesKnown {
    std::vector<EndpointCrashed> crashes;
};

// Leader to a gateway: reports are wanted of requests with one of these traits that are answered in full.
struct TraitsWatched {
    std::vector<std::uint64_t> traits;
};

// Gateway to the leader: a request with these traits, of those that are watched, was answered in full. From the leader
// to the others: the traits are no cause of crashes.
struct TraitsServed {
    std::vector<std::uint64_t> traits;
};

// Leader to a gateway: requests that have all of these traits crash endpoints, and must not be sent to any. If the
// duration is zero, they may be sent again. The trials are for the next leader (decide/requestblocks.h).
struct RequestsBlocked {
    std::vector<std::uint64_t> traits;
    Duration duration{0};
    Duration untilTrial{0};
    Duration trialInterval{0};
};

// Between a gateway and the leader, either way: this start of the endpoint has said in an answer that it is leaving.
struct EndpointLeaving {
    EndpointId endpoint;
    std::uint64_t incarnation = 0;
};

// Gateway to the leader or its deputy, at most once a second: what it has relayed to callers since the last one.
struct EventCounts {
    std::uint64_t events = 0;
    std::uint64_t stalls = 0; // pauses before events that arrived together (decide/eventbatch.h)
};

// Leader to a gateway: whether packets are being lost, so that events are to be written in fewer packets.
struct EventLoss {
    bool isSeen = false;
};

// Of one request.
constexpr std::size_t maxSlotCandidates = 256;

// Gateway to the leader: requests a slot of one of these endpoints for one call. An answer that begins within `onTime`
// meets the target of the route, and after `useful` the caller has left.
struct RequestSlot {
    std::uint64_t number = 0; // of the sender, repeated in the messages about this request
    std::vector<std::string> candidates; // best first
    std::uint64_t rank = 0;
    Duration onTime{0};
    Duration useful{0};
};

// Gateway to the leader: the sender no longer waits for the slot.
struct CancelSlot {
    std::uint64_t number = 0;
};

// Gateway to the leader: the call that had the slot has ended.
struct SlotReleased {
    std::uint64_t number = 0;
    bool wasServed = false;
    Duration took{0};
};

// Gateway to the leader: the endpoint has turned away that many calls, or reset their connections.
struct EndpointOverloaded {
    EndpointId endpoint;
    std::uint64_t count = 0;
};

// Leader to a gateway: the endpoint that the call may be sent to. If it is empty, the call gets no slot, and there may
// be one after `retryAfter`.
struct SlotReply {
    std::uint64_t number = 0;
    EndpointId endpoint;
    Duration retryAfter{0};
};

// Leader to a gateway: calls to this endpoint need a slot from now on, or no longer.
struct EndpointLimited {
    EndpointId endpoint;
    bool isLimited = false;
};

// Whether the numbers in the message can be meant. Messages that fail this are ignored or rejected.
bool isValid(const RequestSlot &message);
bool isValid(const SlotReleased &message);
bool isValid(const EndpointOverloaded &message);
bool isValid(const SlotReply &message);
bool isValid(const EndpointLimited &message);

using Message =
    std::variant<Hello, Submit, Placed, StartDecode, Refused, PrefillDone, PrefillFailed, OutputProgress, DecodeFailed,
                 Finished, Holding, ConfigInForce, FetchConfig, LiveHosts, AllCells, Follow, RequestPlacement,
                 OfferPlacement, RejectPlacement, PlacementReport, HeldPlacements, FollowStore, RegistryUpdate,
                 ConfigUpdate, EngineChanging, StoreLost, LeadershipEnded, FollowerAddress, DeputyNamed, ConfigDelayed,
                 EndpointLimit, RequestPermit, PermitReply, DelegateReading, StoreRestored, LeaderNamed,
                 RequestTunnelHosts, TunnelHostsNamed, StreamsBegun, RequestCredit, CreditReply, QuotaReport,
                 QuotaUsedUp, RequestClock, ClockReply, ConfigCurrent, EndpointCrashed, TraitsWatched, TraitsServed,
                 RequestsBlocked, CrashCounted, EndpointLeaving, EventCounts, EventLoss, RequestSlot, CancelSlot,
                 SlotReleased, EndpointOverloaded, SlotReply, EndpointLimited, CrashesKnown>;

std::string encodeMessage(const Message &message);
tl::expected<Message, WireError> decodeMessage(std::string_view bytes);

} // namespace fescuesill::peer
