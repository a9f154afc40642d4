// Shares of a limit that hosts keep for themselves fit neither uneven traffic nor many hosts: of a limit of ten calls a
// second, each of 75 hosts would have one call in eight seconds. So each call to such an endpoint asks the leader,
// which has one bucket for all hosts. The calls are few, by the limit itself, and after a denial a host does not ask
// again before the time that the leader has stated.
//
// Every host has the limits that any host was told: the host that receives a change tells the leader, and the leader
// all others. A new leader is told all limits by each host that connects.

#include "programs/gateway/endpointpermits.h"

#include "wire/clock.h"
#include "wire/log.h"

#include <utility>

namespace fescuesill
{
namespace
{

// A leader that takes longer has no processor time, and another endpoint replies sooner.
constexpr Duration replyLimit{100ms};

peer::EndpointLimit limitMessage(const EndpointId &endpoint, const std::optional<CallRate> &rate)
{
    return {endpoint, rate.has_value(), rate ? rate->perSecond : 0};
}

} // namespace

EndpointPermits::EndpointPermits(asio::io_context &context, EndpointLimits &endpointLimits)
    : io(context)
    , limits(endpointLimits)
{
}

Duration EndpointPermits::take(const EndpointId &endpoint, const asio::yield_context &yield)
{
    if (!this->limits.limitOf(endpoint)) {
        return Duration(0);
    }
    if (!this->uplink) {
        return this->limits.take(endpoint, this->share, steadyNow());
    }
    const Duration left = this->limits.suspendedFor(endpoint, steadyNow());
    return left > 0ms ? left : this->request(endpoint, yield);
}

Duration EndpointPermits::request(const EndpointId &endpoint, const asio::yield_context &yield)
{
    const std::uint64_t number = ++this->lastNumber;
    const auto request = std::make_shared<Request>(this->io);
    this->requests[number] = request;
    this->uplink(peer::RequestPermit{number, endpoint});
    boost::system::error_code ignored;
    request->timer.expires_after(replyLimit);
    request->timer.async_wait(yield[ignored]);
    this->requests.erase(number);
    const Duration wait = request->wait.value_or(replyLimit);
    this->limits.suspend(endpoint, wait, steadyNow());
    return wait;
}

void EndpointPermits::onReply(const peer::PermitReply &message)
{
    const auto found = this->requests.find(message.number);
    if (found != this->requests.end()) {
        found->second->wait = message.wait;
        found->second->timer.cancel();
    }
}

void EndpointPermits::onAnswer(const EndpointId &endpoint, const std::optional<CallRate> &rate, Instant sent)
{
    if (this->limits.onAnswer(endpoint, rate, sent, steadyNow())) {
        this->announce(endpoint);
    }
}

void EndpointPermits::onLimit(const peer::EndpointLimit &message)
{
    const auto rate = message.isLimited ? std::optional(CallRate{message.perSecond}) : std::nullopt;
    if (this->limits.set(message.endpoint, rate, steadyNow()) && !this->uplink) {
        this->announce(message.endpoint);
    }
}

void EndpointPermits::announce(const EndpointId &endpoint)
{
    const auto rate = this->limits.limitOf(endpoint);
    Log::info("endpoint_limit",
              {{"endpoint", endpoint.value()}, {"limited", rate.has_value()}, {"rate", rate ? rate->perSecond : 0}});
    const Send &send = this->uplink ? this->uplink : this->followers;
    if (send) {
        send(limitMessage(endpoint, rate));
    }
}

void EndpointPermits::onRequested(const Send &reply, const peer::RequestPermit &message)
{
    reply(peer::PermitReply{message.number, this->limits.take(message.endpoint, 1, steadyNow())});
}

void EndpointPermits::sendLimits(const Send &reply) const
{
    for (const auto &[endpoint, rate] : this->limits.all()) {
        reply(limitMessage(endpoint, rate));
    }
}

void EndpointPermits::setUplink(Send send)
{
    this->uplink = std::move(send);
    if (this->uplink) {
        this->sendLimits(this->uplink);
    }
}

void EndpointPermits::setFollowers(Send send)
{
    this->followers = std::move(send);
}

void EndpointPermits::setShare(double part)
{
    this->share = part;
}

} // namespace fescuesill
