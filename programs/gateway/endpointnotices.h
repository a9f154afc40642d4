#pragma once

// What endpoints state about themselves in their answers, whatever was asked: that they ask this host for rest. Used only by
// the forwarding thread.
//
//     EndpointNotices notices(fleet);
//     notices.onAnswer(endpoint, response);          // each answer of an endpoint
//     notices.onTunnelled(address, response);        // each answer that this host has relayed for another one

#include "programs/gateway/fleetview.h"
#include "wire/httpclient.h"

namespace fescuesill
{

class EndpointNotices
{
public:
    explicit EndpointNotices(FleetView &view)
        : fleet(view)
    {
    }

    void onAnswer(const EndpointRecord &endpoint, const HttpResponse &response);
    void onTunnelled(const std::string &address, const HttpResponse &response);

private:
    FleetView &fleet;
};

} // namespace fescuesill
