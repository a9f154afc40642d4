// An endpoint that turns a host away counts the requests that come from it, whoever sent them first. So a host that
// relays a connection for another one reads the head of the answer too, and rests like the one that asked.
//
// An endpoint that is leaving leaves all hosts, and its row may say so late or never. The host that is told tells the
// leader, and the leader all others: it places generations for them.

#include "programs/gateway/endpointnotices.h"

#include "platform/calldialect.h"
#include "wire/clock.h"
#include "wire/log.h"

#include <utility>

namespace fescuesill
{

void EndpointNotices::onAnswer(const EndpointRecord &endpoint, const HttpResponse &response)
{
    if (!isOfExpected(response)) {
        return; // another endpoint is at that address
    }
    if (statesLeaving(response)) {
        this->onLeaving(endpoint.id, endpoint.incarnation, true);
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

void EndpointNotices::onLeaving(const EndpointId &endpoint, std::int64_t incarnation, bool isOwnAnswer)
{
    if (!this->fleet.onLeavingStated(endpoint, incarnation)) {
        return;
    }
    Log::info("endpoint_states_leaving", {{"endpoint", endpoint.value()}, {"in_own_answer", isOwnAnswer}});
    const Send &send = this->uplink ? this->uplink : this->followers;
    if (send && (isOwnAnswer || !this->uplink)) {
        send(peer::EndpointLeaving{endpoint, static_cast<std::uint64_t>(incarnation)});
    }
    this->gates.onFleetChanged();
}

void EndpointNotices::onMessage(const peer::EndpointLeaving &message)
{
    this->onLeaving(message.endpoint, static_cast<std::int64_t>(message.incarnation), false);
}

void EndpointNotices::setUplink(Send send)
{
    this->uplink = std::move(send);
    if (this->uplink) {
        this->sendLeaving(this->uplink);
    }
}

void EndpointNotices::setFollowers(Send send)
{
    this->followers = std::move(send);
}

void EndpointNotices::sendLeaving(const Send &reply) const
{
    for (const auto &[endpoint, incarnation] : this->fleet.leaving()) {
        reply(peer::EndpointLeaving{endpoint, static_cast<std::uint64_t>(incarnation)});
    }
}

} // namespace fescuesill
