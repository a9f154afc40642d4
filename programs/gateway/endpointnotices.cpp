// An endpoint that turns a host away counts the requests that come from it, whoever sent them first. So a host that relays a
// connection for another one reads the head of the answer too, and rests like the one that asked.

#include "programs/gateway/endpointnotices.h"

#include "platform/calldialect.h"
#include "wire/clock.h"
#include "wire/log.h"

namespace fescuesill
{

void EndpointNotices::onAnswer(const EndpointRecord &endpoint, const HttpResponse &response)
{
    if (!isOfExpected(response)) {
        return; // another endpoint is at that address
    }
    if (const auto rest = readRest(response)) {
        if (this->fleet.rests().onAsked(endpoint.id, *rest, steadyNow())) {
            Log::info("endpoint_rests", {{"endpoint", endpoint.id.value()}, {"for_ms", rest->count() / 1000}});
        }
    }
}

void EndpointNotices::onTunnelled(const std::string &address, const HttpResponse &response)
{
    for (const EndpointRecord &endpoint : this->fleet.endpointsAt(address)) {
        this->onAnswer(endpoint, response);
    }
}

} // namespace fescuesill
