// A token bucket for each endpoint with a limit. It starts empty: the calls before the first answer with the limit are
// not counted against it. In any time t at most rate * (t + burst), or rate * t + 1, permits are given.
//
// Answers overtake each other. One without a limit ends the limit only if its call was sent after the limit was last
// stated; otherwise the answers to calls that were in flight then would switch the limit off and on.

#include "decide/endpointlimits.h"

#include <algorithm>
#include <cmath>

namespace fescuesill
{
namespace
{

double secondsOf(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

bool EndpointLimits::onAnswer(const EndpointId &endpoint, const std::optional<CallRate> &rate, Instant sent,
                              Instant now)
{
    const auto found = this->limits.find(endpoint);
    if (!rate && (found == this->limits.end() || sent < found->second.stated)) {
        return false;
    }
    return this->set(endpoint, rate, now);
}

bool EndpointLimits::set(const EndpointId &endpoint, const std::optional<CallRate> &rate, Instant now)
{
    if (!rate) {
        return this->limits.erase(endpoint) > 0;
    }
    const auto found = this->limits.find(endpoint);
    if (found != this->limits.end()) {
        const bool isChanged = found->second.rate.perSecond != rate->perSecond;
        found->second.rate = *rate;
        found->second.stated = now;
        return isChanged;
    }
    if (this->limits.size() >= this->options.maxLimits) {
        return false;
    }
    this->limits[endpoint] = Limit{*rate, now, 0, now, now};
    return true;
}

std::optional<CallRate> EndpointLimits::limitOf(const EndpointId &endpoint) const
{
    const auto found = this->limits.find(endpoint);
    return found == this->limits.end() ? std::nullopt : std::optional(found->second.rate);
}

std::vector<std::pair<EndpointId, CallRate>> EndpointLimits::all() const
{
    std::vector<std::pair<EndpointId, CallRate>> result;
    result.reserve(this->limits.size());
    for (const auto &[endpoint, limit] : this->limits) {
        result.emplace_back(endpoint, limit.rate);
    }
    return result;
}

double EndpointLimits::rateOf(const Limit &limit, double share) const
{
    return std::max(limit.rate.perSecond, this->options.leastRate.perSecond) * share;
}

void EndpointLimits::refill(Limit &limit, double share, Instant now) const
{
    const double rate = this->rateOf(limit, share);
    const double most = std::max(1.0, rate * secondsOf(this->options.burst));
    limit.permits = std::min(most, limit.permits + rate * secondsOf(now - limit.refilled));
    limit.refilled = now;
}

Duration EndpointLimits::take(const EndpointId &endpoint, double share, Instant now)
{
    const auto found = this->limits.find(endpoint);
    if (found == this->limits.end()) {
        return Duration(0);
    }
    Limit &limit = found->second;
    this->refill(limit, share, now);
    if (limit.permits >= 1) {
        limit.permits -= 1;
        return Duration(0);
    }
    const double seconds = (1 - limit.permits) / this->rateOf(limit, share);
    return Duration(static_cast<Duration::rep>(std::ceil(seconds * 1e6)));
}

void EndpointLimits::suspend(const EndpointId &endpoint, Duration wait, Instant now)
{
    const auto found = this->limits.find(endpoint);
    if (found != this->limits.end()) {
        found->second.suspendedUntil = now + wait;
    }
}

Duration EndpointLimits::suspendedFor(const EndpointId &endpoint, Instant now) const
{
    const auto found = this->limits.find(endpoint);
    return found == this->limits.end() ? Duration(0)
                                       : std::max<Duration>(found->second.suspendedUntil - now, Duration(0));
}

void EndpointLimits::forget(const EndpointId &endpoint)
{
    this->limits.erase(endpoint);
}

} // namespace fescuesill
