#pragma once

// Moves engines of generating services between reading prompts and writing answers, on the host that may give orders.
//
//     StageOrders orders(services, gates);
//     orders.onTick(store, now);          // several times a second

#include "decide/poolplan.h"
#include "platform/enginedialect.h"
#include "programs/gateway/forwarding.h"

namespace fescuesill
{

class StageOrders
{
public:
    // Tells all hosts that an engine takes no work for a while.
    using Announce = std::function<void(const peer::EngineChanging &)>;

    StageOrders(const GatewayServices &gatewayServices, Announce announceChange)
        : services(gatewayServices)
        , announce(std::move(announceChange))
    {
    }

    void onTick(const StoreWatcher &store, Instant now);

private:
    // An engine that was ordered to change and does not show it in the registry yet.
    struct Order {
        EndpointPart to = EndpointPart::Decode;
        Instant at;
    };
    struct Seen {
        EndpointPart part = EndpointPart::Decode;
        Instant at;
    };
    struct Service {
        PoolPlan plan;
        std::map<EndpointId, Order> ordered;
        std::map<std::string, Seen> seen; // by address: engines that take work or did so within `missingLimit`
    };

    static bool isPending(const Service &service, const EndpointRecord &engine, Instant now);
    void planService(const ServiceId &id, const EngineTraits &traits, const StoreWatcher &store, Instant now);
    void recordEngines(const ServiceId &id, Service &service, Instant now) const;
    static PoolSizes sizes(const Service &service);
    std::optional<PoolNeed> need(const ServiceId &id, const EngineTraits &traits) const;
    std::optional<EndpointRecord> chooseEngine(const ServiceId &id, EndpointPart from, const Service &service,
                                               Instant now) const;
    void order(const EndpointRecord &engine, EndpointPart part, const EngineTraits &traits, const StoreWatcher &store);
    void sendOrder(const EndpointRecord &engine, EndpointPart part, Duration lasts, const StoreWatcher &store,
                   const asio::yield_context &yield);

    const GatewayServices &services;
    Announce announce;
    std::map<ServiceId, Service> plans; // of the generating services that the configuration names or named
};

} // namespace fescuesill
