#pragma once

// Moves engines of generating services between reading prompts and writing answers, on the host that may give orders.
//
//     StageOrders orders(services, gates);
//     orders.onTick(store, now);          // several times a second

#include "decide/roleshift.h"
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

    void onTick(const StoreDuty &store, Instant now);

private:
    struct Service {
        RoleShift shift;
        // Ordered and not to be seen yet in the registry; each once until then.
        struct Order {
            EndpointPart to = EndpointPart::Decode;
            Instant at;
        };
        std::map<EndpointId, Order> ordered;
    };

    static bool isPending(const Service &service, const EndpointRecord &engine, Instant now);
    static int pendingOf(const Service &service, const std::vector<EndpointRecord> &engines, Instant now);
    void consider(const ServiceId &id, const EngineTraits &traits, const StoreDuty &store, Instant now);
    std::optional<EndpointRecord> chooseEngine(const ServiceId &id, EndpointPart from, Service &service,
                                               Instant now) const;
    void order(const EndpointRecord &engine, EndpointPart part, const EngineTraits &traits, const StoreDuty &store);
    void sendOrder(const EndpointRecord &engine, EndpointPart part, Duration lasts, const StoreDuty &store,
                   const asio::yield_context &yield);

    const GatewayServices &services;
    Announce announce;
    std::map<ServiceId, Service> shifts; // of the generating services that the configuration names or named
};

} // namespace fescuesill
