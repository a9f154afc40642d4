#pragma once

// Lets generations wait for places: those of this host, and where this host leads those of all others.
//
//     GateKeeper keeper(io, fleet, seed);
//     const GateAction action = keeper.ask(service, ask, yield);     // waits until there is a place to try, or none
//     keeper.report(service, id, peer::PlacementEvent::Full);            // the same generation asks again
//     const GateAction next = keeper.again(id, yield);
//     keeper.setUplink([&](const peer::Message &message) { ... });   // the leader, or its deputy, is another host
//     keeper.hold();                                                 // it was lost, and a deputy may take over soon
//     keeper.setUplink({});                                          // there is none: this host decides alone
//
// Every host keeps a gate of the generations that it runs itself, so it can decide alone at any moment: then it sees
// only its own part of the load, and engines refuse more often.

#include "programs/gateway/fleetview.h"
#include "wire/linkid.h"
#include "wire/messages.h"

#include <boost/asio/steady_timer.hpp>
#include <unordered_map>

namespace fescuesill
{

class GateKeeper
{
public:
    using Send = std::function<void(const peer::Message &)>;

    GateKeeper(asio::io_context &io, FleetView &fleet, std::uint64_t seed);

    // Submits and waits. Ends with RejectGeneration too where the caller went while it waited.
    GateAction ask(const ServiceId &service, const GenerationAsk &ask, const asio::yield_context &yield);
    // Waits for the next decision after a place that was full or failed.
    GateAction again(const RequestId &id, const asio::yield_context &yield);
    // What became of the place of a generation of this host.
    void report(const ServiceId &service, const RequestId &id, peer::PlacementEvent event, Tokens made = Tokens(0));
    // The caller went: a wait ends at once.
    void wake(const RequestId &id);
    // Engines came, left or changed.
    void onFleetChanged();
    // Over all services.
    std::size_t waiting() const;
    std::size_t placed() const;
    bool isFollowing() const
    {
        return static_cast<bool>(this->uplink);
    }
    // None for a service that nothing was placed for yet.
    std::optional<StageLoad> stageLoad(const ServiceId &service) const;

    // Towards the leader; empty where there is none to be reached.
    void setUplink(Send send);
    // Nobody places now: generations wait for the next setUplink().
    void hold();
    // The part of the engines' memory that this host may fill.
    void setShare(double share);
    void onTry(const peer::OfferPlacement &message);
    void onNone(const peer::RejectPlacement &message);
    void onChanging(const peer::EngineChanging &message);

    // From a host that follows this one.
    void onAsk(LinkId link, const Send &reply, const peer::RequestPlacement &message);
    void onReport(LinkId link, const peer::PlacementReport &message);
    void onHeld(LinkId link, const peer::HeldPlacements &message);
    void onFollowerLost(LinkId link);

private:
    // One generation of this host, from its ask to its end.
    struct Local {
        explicit Local(asio::io_context &io)
            : timer(io)
        {
        }

        asio::steady_timer timer;
        std::optional<GateAction> decision;
        ServiceId service;
        GenerationAsk ask;
        EngineId engine; // its place; empty while it waits
        Instant since;
        bool isAtLeader = false; // the leader was asked and has not decided
    };
    // One generation of another host that this one leads.
    struct Remote {
        LinkId link{};
        ServiceId service;
        Send reply;
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
    void decide(Local &local, const GateAction &action);
    void submit(Local &local);
    void apply(Gate &gate, const RequestId &id, peer::PlacementEvent event, Tokens made);

    asio::io_context &io;
    FleetView &fleet;
    std::uint64_t seed;
    std::map<ServiceId, Gate> gates; // of the generating services that the configuration names or named
    std::unordered_map<RequestId, std::shared_ptr<Local>> locals; // bounded by the callers' connections
    std::unordered_map<RequestId, Remote> remotes; // by those of all hosts
    Send uplink;
    bool isHeld = false;
    double share = 1;
};

} // namespace fescuesill
