#pragma once

// What endpoints state about themselves in their answers, whatever was asked: that they ask this host for rest, and
// that they are leaving. Used only by the forwarding thread.
//
//     EndpointNotices notices(fleet, gates);
//     notices.onAnswer(endpoint, response);          // each answer of an endpoint
//     notices.onTunnelled(address, response);        // each answer that this host has relayed for another one

#include "programs/gateway/placementgates.h"
#include "wire/httpclient.h"

namespace fescuesill
{

class EndpointNotices
{
public:
    using Send = std::function<void(const peer::Message &)>;

    EndpointNotices(FleetView &view, PlacementGates &placementGates)
        : fleet(view)
        , gates(placementGates)
    {
    }

    void onAnswer(const EndpointRecord &endpoint, const HttpResponse &response);
    void onTunnelled(const std::string &address, const HttpResponse &response);

    // Sets how to send to the leader or its deputy; empty if neither can be reached.
    void setUplink(Send send);
    // Sets how to send to all hosts that follow this one.
    void setFollowers(Send send);
    // Sends what is known to be leaving to a host that has begun to follow this one.
    void sendLeaving(const Send &reply) const;
    void onMessage(const peer::EndpointLeaving &message);

private:
    void onLeaving(const EndpointId &endpoint, std::int64_t incarnation, bool isOwnAnswer);

    FleetView &fleet;
    PlacementGates &gates;
    Send uplink;
    Send followers;
};

} // namespace fescuesill
