#pragma once

// Lets the coroutines of generations wait for the decisions of their service's gate.
//
//     GateKeeper keeper(io, fleet, seed);
//     const GateAction action = keeper.ask(service, ask, yield);     // waits until there is a place to try, or none
//     keeper.onFull(service, id, now);                               // the same generation asks again
//     const GateAction next = keeper.again(service, id, yield);

#include "programs/gateway/fleetview.h"

#include <boost/asio/steady_timer.hpp>
#include <unordered_map>

namespace fescuesill
{

class GateKeeper
{
public:
    GateKeeper(asio::io_context &io, FleetView &fleet, std::uint64_t seed);

    // Submits and waits. Ends with RejectGeneration too where the caller went while it waited.
    GateAction ask(const ServiceId &service, const GenerationAsk &ask, const asio::yield_context &yield);
    // Waits for the next decision after onFull or onFault.
    GateAction again(const ServiceId &service, const RequestId &id, const asio::yield_context &yield);

    void onReserved(const ServiceId &service, const RequestId &id);
    void onFull(const ServiceId &service, const RequestId &id);
    void onFault(const ServiceId &service, const RequestId &id);
    void onEnded(const ServiceId &service, const RequestId &id, bool isEngineFault);
    // The caller went: a wait ends at once.
    void wake(const RequestId &id);
    // Engines came, left or changed.
    void onFleetChanged();
    std::size_t waiting() const;

private:
    struct Waiter {
        explicit Waiter(asio::io_context &io)
            : timer(io)
        {
        }

        asio::steady_timer timer;
        std::optional<GateAction> decision;
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

    asio::io_context &io;
    FleetView &fleet;
    std::uint64_t seed;
    std::map<ServiceId, Gate> gates; // of the generating services that the configuration names or named
    std::unordered_map<RequestId, std::shared_ptr<Waiter>> waiters; // bounded by the callers' connections
};

} // namespace fescuesill
