#pragma once

// Moves engines of generating services between prefill and decode. Active only on the host that may give orders.
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
    // Notifies all hosts that an engine accepts no work for a while.
    using Announce = std::function<void(const peer::EngineChanging &)>;

    StageOrders(const GatewayServices &gatewayServices, Announce announceChange)
        : services(gatewayServices)
        , announce(std::move(announceChange))
    {
    }

    void onTick(const StoreWatcher &store, Instant now);

private:
    // An order to an engine whose registry row does not show the new stage yet.
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
        std::map<std::string, Seen> seen; // by address: engines that accept work, or did within `missingLimit`
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
    std::map<ServiceId, Service> plans; // of generating services of the current or an earlier configuration
};

} // namespace fescuesill
