#pragma once

// Queues generations until an engine has room: those of this host, and on the leader those of all hosts.
//
//     PlacementGates gates(io, fleet, credits, isFirstStart, seed);
//     const GateAction action = gates.requestPlacement(service, request, yield); // an engine to try, or a rejection
//     gates.report(service, id, peer::PlacementEvent::Full);             // the generation is queued again
//     const GateAction next = gates.nextDecision(id, yield);
//     gates.setUplink([&](const peer::Message &message) { ... });    // another host is the leader, or its deputy
//     gates.suspend();                                               // it was lost, and a deputy may take over soon
//     gates.setUplink({});                                           // there is none: this host decides alone
//     gates.setRegistryCheck([&] { ... });                           // reads the registry, then calls the next one
//     gates.onRegistryChecked(at);                                   // all changes until then are known
//
// Every host also tracks its own generations in a gate, so that it can decide alone at any time. It then sees only its
// own part of the load, and engines refuse more often.

#include "decide/streamorigins.h"
#include "programs/gateway/fleetview.h"
#include "programs/gateway/workspacecredits.h"
#include "wire/linkid.h"
#include "wire/messages.h"

#include <boost/asio/steady_timer.hpp>
#include <unordered_map>

namespace fescuesill
{

class PlacementGates
{
public:
    using Send = std::function<void(const peer::Message &)>;

    // `isFirstStart`: all hosts start together for the first time.
    PlacementGates(asio::io_context &io, FleetView &fleet, WorkspaceCredits &credits, bool isFirstStart,
                   std::uint64_t seed);

    // Submits a request and waits for the decision. With the first engine that is offered, the request has been charged
    // to its workspace. Empty if the wait was ended before, and may go on with nextDecision().
    std::optional<GateAction> requestPlacement(const ServiceId &service, const GenerationRequest &request,
                                               const asio::yield_context &yield);
    // Waits for the next decision after an engine was full or failed.
    std::optional<GateAction> nextDecision(const RequestId &id, const asio::yield_context &yield);
    // Reports an event of the placement of a generation of this host.
    void report(const ServiceId &service, const RequestId &id, peer::PlacementEvent event, Tokens output = Tokens(0));
    // Reports that an engine of this version has reserved a place for a generation of this host. The version is empty
    // if the generation can't go on at another engine.
    void reportReserved(const ServiceId &service, const RequestId &id, const SoftwareVersion &version);
    // Ends a wait at once, since the caller disconnected.
    void cancelWait(const RequestId &id);
    // Ends the waits of all generations of this host.
    void wakeWaiting();
    // Engines were added, removed or changed.
    void onFleetChanged();
    // Sets how to have the registry read. onRegistryChecked() follows each call.
    void setRegistryCheck(std::function<void()> check);
    // All changes of the registry until `at`, of the clock that also advances while the host is suspended, have been
    // applied. Empty if it can't be read: then the requests that wait for it are rejected.
    void onRegistryChecked(std::optional<Instant> at);
    // Sums over all services.
    std::size_t waiting() const;
    std::size_t placed() const;
    bool isFollowing() const
    {
        return static_cast<bool>(this->uplink);
    }
    // Empty for a service without a gate, for which nothing was placed yet.
    std::optional<StageLoad> stageLoad(const ServiceId &service) const;

    // Sets the engines that have turned this host away, for the next request for the generation's place.
    void setExcluded(const RequestId &id, const std::vector<EngineId> &engines);
    // Sets how to send to the leader or its deputy; empty if neither can be reached.
    void setUplink(Send send);
    // Stops placing: generations wait for the next call of setUplink().
    void suspend();
    // Sets the part of the engines' memory that this host may fill.
    void setShare(double share);
    void onPlacementOffered(const peer::OfferPlacement &message);
    void onPlacementRejected(const peer::RejectPlacement &message);
    void onChanging(const peer::EngineChanging &message);

    // Messages from a host that follows this one.
    void onPlacementRequested(LinkId link, const Send &reply, const peer::RequestPlacement &message);
    void onPlacementReport(LinkId link, const peer::PlacementReport &message);
    void onHeldPlacements(LinkId link, const peer::HeldPlacements &message);
    void onStreamsBegun(const peer::StreamsBegun &message);
    // What an earlier leader has saved.
    void onStreamsSaved(const peer::StreamsBegun &message);
    // The streams that this host knows of, for another host; empty while each service has a single version.
    peer::StreamsBegun streamsBegun() const;
    // Those that were reported since the last call. Reports to the host that this one follows those that it may not
    // know.
    peer::StreamsBegun takeNewStreams();
    void onFollowerLost(LinkId link);

private:
    // One generation of this host, from its request to its end.
    struct LocalGeneration {
        explicit LocalGeneration(asio::io_context &io)
            : timer(io)
        {
        }

        asio::steady_timer timer;
        std::optional<GateAction> decision;
        ServiceId service;
        GenerationRequest request;
        EngineId engine; // where it is placed; empty while it waits
        Instant since;
        Instant asked; // when the request came, of the clock that also advances while the host is suspended
        bool isAtLeader = false; // the request waits for a decision of the leader
        bool isUnconfirmed = false; // it waits for a check of the registry
        bool isChargedHere = false; // to its workspace, until an engine is offered: from then on the caller refunds it
    };
    // One generation of another host, placed by this one.
    struct RemoteGeneration {
        LinkId link{};
        ServiceId service;
        Send reply;
        WorkspaceId workspace = {};
        QuotaUnits cost = {};
        bool isChargedHere = false; // until an engine is offered: from then on the other host refunds it
    };
    // A request of another host that waits for a check of the registry.
    struct UnconfirmedRequest {
        LinkId link{};
        Send reply;
        peer::RequestPlacement message;
        Instant asked; // as in LocalGeneration
    };
    struct Gate {
        Gate(asio::io_context &io, std::uint64_t seed)
            : core(GenerationGate::Options{}, seed)
            , timer(io)
        {
        }

        GenerationGate core;
        asio::steady_timer timer;
    };

    Gate &gate(const ServiceId &service);
    void refresh(const ServiceId &service, Gate &gate);
    void poll(Gate &gate);
    void armTimer(Gate &gate);
    void deliver(const GateAction &action);
    void decide(LocalGeneration &local, const GateAction &action);
    void submit(LocalGeneration &local);
    // Charges the request here unless it was charged before. Returns why it can't be.
    std::optional<RejectGeneration> charge(GenerationRequest &request);
    void refundUnoffered(LocalGeneration &local);
    void refundUnoffered(RemoteGeneration &remote);
    void apply(Gate &gate, const RequestId &id, peer::PlacementEvent event, Tokens output);
    void send(const peer::PlacementReport &message);
    // Sets the version of a stream that its caller takes up, if this host knows it.
    enum class VersionState {
        Known, // or not needed
        Unconfirmed,
        Unknown,
    };
    VersionState findVersion(const ServiceId &service, GenerationRequest &request, Instant asked) const;
    void rejectUnknown(LocalGeneration &local);
    void rejectUnknown(const Send &reply, const peer::RequestPlacement &message) const;
    void submitRemote(LinkId link, const Send &reply, const peer::RequestPlacement &message, Instant asked);
    void forgetUnconfirmed(const RequestId &id);

    asio::io_context &io;
    FleetView &fleet;
    WorkspaceCredits &credits;
    std::uint64_t seed;
    StreamOrigins origins;
    Instant startedAt; // of the clock that also advances while the host is suspended
    bool hasListed = false; // the versions of the first configuration
    std::uint64_t registryGaps = 0; // when the fleet last changed
    std::function<void()> checkRegistry;
    std::vector<UnconfirmedRequest> unconfirmed; // bounded like remoteGenerations
    std::map<ServiceId, Gate> gates; // of generating services of the current or an earlier configuration
    // Bounded by the number of callers' connections.
    std::unordered_map<RequestId, std::shared_ptr<LocalGeneration>> localGenerations;
    // Bounded by the callers' connections of all hosts.
    std::unordered_map<RequestId, RemoteGeneration> remoteGenerations;
    Send uplink;
    Instant uplinkSince;
    bool isSuspended = false;
    double share = 1;
};

} // namespace fescuesill
