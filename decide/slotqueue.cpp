// An endpoint that is offered more calls than it can serve spends its slots on turning calls away, and the calls in its
// own queue all become late. With few calls in flight to it, the others wait here, where the urgent ones go first and
// those that can't be on time are denied before they cost the endpoint anything.
//
// A waiting request is listed at each of its candidates. Whenever a slot is free, the first request in order over the
// lists of all endpoints with room is granted, so no request waits while one of its candidates has room. Requests wait
// only for limited endpoints, and the in-flight count of a limited endpoint rises only below its limit.
//
// The completion rate of an endpoint is counted only while its limit is reached; at other times it shows the demand.

#include "decide/slotqueue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fescuesill
{

namespace
{

// Calls by which the assumed completion rate weighs against measured ones.
constexpr double assumedCalls = 5;
// Bounds invalid times, so that the arithmetic with them can't overflow.
constexpr Duration longestWait{1h};

} // namespace

SlotQueue::SlotQueue(const Options &given)
    : options(given)
{
    this->options.overloads = std::max<std::size_t>(1, given.overloads);
}

bool SlotQueue::setSlots(const EndpointId &id, int slots)
{
    if (slots < 1 || slots > this->options.maxSlots) {
        return false;
    }
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end()) {
        if (this->endpoints.size() >= this->options.maxEndpoints) {
            return false;
        }
        Endpoint &added = this->endpoints[id];
        added.slots = slots;
        added.rate.served = assumedCalls;
        added.rate.busyUs = assumedCalls * static_cast<double>(this->options.assumedTime.count()) / slots;
        return true;
    }
    Endpoint &endpoint = found->second;
    endpoint.slots = slots;
    if (endpoint.limit > 0) {
        endpoint.limit = std::clamp(endpoint.limit, slots, 2 * slots);
    }
    return true;
}

void SlotQueue::forget(const EndpointId &id)
{
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end()) {
        return;
    }
    const std::set<Position> waiting = found->second.waiting;
    for (const Position &position : waiting) {
        std::vector<EndpointId> &candidates = this->waits.at(position).candidates;
        if (candidates.size() == 1) {
            this->deny(position, this->options.minRetryAfter, Instant{});
        } else {
            candidates.erase(std::find(candidates.begin(), candidates.end(), id));
        }
    }
    for (auto grant = this->grants.begin(); grant != this->grants.end();) {
        if (grant->second.endpoint == id) {
            this->byExpiry.erase({grant->second.expires, grant->first});
            grant = this->grants.erase(grant);
        } else {
            ++grant;
        }
    }
    if (this->limitedOnes.erase(id) > 0) {
        this->actions.emplace_back(SlotLimitChanged{id, false});
    }
    this->endpoints.erase(id);
}

bool SlotQueue::hasRoom(const Endpoint &endpoint) const
{
    return endpoint.limit == 0 || endpoint.inFlight < endpoint.limit;
}

void SlotQueue::CompletionRate::advance(bool isBusy, Duration window, Instant now)
{
    const auto elapsed = static_cast<double>((now - this->measured).count());
    this->measured = now;
    if (isBusy && elapsed > 0) {
        const double decay = std::exp(-elapsed / static_cast<double>(window.count()));
        this->served *= decay;
        this->busyUs = this->busyUs * decay + elapsed;
    }
}

// Called before each change of the endpoint's load.
void SlotQueue::measure(Endpoint &endpoint, Instant now) const
{
    endpoint.rate.advance(!this->hasRoom(endpoint), this->options.rateWindow, now);
}

double SlotQueue::ratePerUs(const Endpoint &endpoint, Instant now) const
{
    CompletionRate rate = endpoint.rate;
    rate.advance(!this->hasRoom(endpoint), this->options.rateWindow, now);
    return rate.served / std::max(1.0, rate.busyUs);
}

void SlotQueue::grow(Endpoint &endpoint, Instant now) const
{
    const int most = 2 * endpoint.slots;
    const auto steps = (now - endpoint.grown) / this->options.growInterval;
    if (endpoint.limit >= most) {
        endpoint.grown = std::max(endpoint.grown, now);
    } else if (steps > 0) {
        this->measure(endpoint, now);
        endpoint.limit += static_cast<int>(std::min<std::int64_t>(steps, most - endpoint.limit));
        endpoint.grown += steps * this->options.growInterval;
    }
}

void SlotQueue::onOverload(const EndpointId &id, Instant now)
{
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end()) {
        return;
    }
    Endpoint &endpoint = found->second;
    if (endpoint.limit > 0) {
        this->grow(endpoint, now);
        endpoint.needed = std::max(endpoint.needed, now);
        if (now - endpoint.lowered >= this->options.lowerInterval) {
            this->measure(endpoint, now);
            endpoint.limit = std::max(endpoint.slots, endpoint.limit - std::max(1, endpoint.limit / 5));
            endpoint.lowered = now;
            endpoint.grown = now;
        }
        return;
    }
    endpoint.overloads.push_back(now);
    if (endpoint.overloads.size() > this->options.overloads) {
        endpoint.overloads.pop_front();
    }
    if (endpoint.overloads.size() == this->options.overloads
        && now - endpoint.overloads.front() <= this->options.overloadWindow) {
        endpoint.limit = 2 * endpoint.slots;
        endpoint.lowered = now;
        endpoint.grown = now;
        endpoint.needed = now;
        endpoint.rate.measured = now;
        endpoint.overloads.clear();
        this->limitedOnes.insert(id);
        this->actions.emplace_back(SlotLimitChanged{id, true});
    }
}

std::vector<EndpointId> SlotQueue::knownCandidates(const SlotRequest &request) const
{
    std::vector<EndpointId> known;
    const std::size_t count = std::min(request.candidates.size(), this->options.maxCandidates);
    for (std::size_t index = 0; index < count; ++index) {
        const EndpointId &id = request.candidates[index];
        if (this->endpoints.count(id) != 0 && std::find(known.begin(), known.end(), id) == known.end()) {
            known.push_back(id);
        }
    }
    return known;
}

void SlotQueue::request(const SlotRequest &request, Instant now)
{
    if (this->positions.count(request.ticket) != 0 || this->grants.count(request.ticket) != 0) {
        return;
    }
    const std::vector<EndpointId> candidates = this->knownCandidates(request);
    if (candidates.empty() || request.usefulUntil <= now || this->grants.size() >= this->options.maxGranted) {
        this->actions.emplace_back(SlotDenied{request.ticket, this->options.minRetryAfter});
        return;
    }
    for (const EndpointId &candidate : candidates) {
        if (this->endpoints.at(candidate).limit == 0) {
            this->grant(request.ticket, candidate, now);
            return;
        }
    }
    const Position position{request.rank, request.usefulUntil, this->nextSequence++};
    const Instant onTimeUntil =
        std::clamp(std::min(request.onTimeUntil, request.usefulUntil), now - 1us, now + longestWait);
    // Half of the time at most, so that an endpoint that became slow still gets calls that show its recovery.
    const Duration callTime = std::min<Duration>(this->expectedTime(candidates), (onTimeUntil - now) / 2);
    const Wait wait{request.ticket, candidates, onTimeUntil - callTime};
    for (const EndpointId &candidate : candidates) {
        this->endpoints.at(candidate).waiting.insert(position);
    }
    this->byLatest.insert({wait.latest, request.ticket});
    this->positions.emplace(request.ticket, position);
    this->waits.emplace(position, wait);
    this->grantWaiting(now);
    if (this->positions.count(request.ticket) == 0) {
        return;
    }
    const double excess = this->excessUs(position, now);
    if (excess > 0) {
        this->deny(position, this->retryAfter(excess), now);
    } else if (this->waits.size() > this->options.maxWaiting) {
        const Position last = this->waits.rbegin()->first;
        this->deny(last, this->retryAfter(this->excessUs(last, now)), now);
    }
}

double SlotQueue::expectedWaitUs(const Position &position, const Wait &wait, Instant now) const
{
    std::vector<std::uint64_t> ahead; // with a candidate in common
    double rate = 0;
    for (const EndpointId &candidate : wait.candidates) {
        const Endpoint &endpoint = this->endpoints.at(candidate);
        rate += this->ratePerUs(endpoint, now);
        for (const Position &other : endpoint.waiting) {
            if (!(other < position)) {
                break;
            }
            ahead.push_back(other.sequence);
        }
    }
    std::sort(ahead.begin(), ahead.end());
    const auto count = std::unique(ahead.begin(), ahead.end()) - ahead.begin();
    return static_cast<double>(count + 1) / std::max(rate, 1e-9);
}

// The least time of a call at one of the candidates; zero until it is measured.
Duration SlotQueue::expectedTime(const std::vector<EndpointId> &candidates) const
{
    double least = std::numeric_limits<double>::max();
    for (const EndpointId &candidate : candidates) {
        const Endpoint &endpoint = this->endpoints.at(candidate);
        least = std::min(least, endpoint.meanUs.value_or(0) + this->options.timeDeviations * endpoint.deviationUs);
    }
    return Duration(static_cast<Duration::rep>(least));
}

// How much longer a request is expected to wait than it may.
double SlotQueue::excessUs(const Position &position, Instant now) const
{
    const Wait &wait = this->waits.at(position);
    return this->expectedWaitUs(position, wait, now)
        - static_cast<double>(std::max<Duration>(wait.latest - now, Duration(0)).count());
}

Duration SlotQueue::retryAfter(double excess) const
{
    const auto most = static_cast<double>(this->options.maxRetryAfter.count());
    return std::max(this->options.minRetryAfter, Duration(static_cast<Duration::rep>(std::clamp(excess, 0.0, most))));
}

void SlotQueue::grant(SlotTicket ticket, const EndpointId &id, Instant now)
{
    Endpoint &endpoint = this->endpoints.at(id);
    this->measure(endpoint, now);
    ++endpoint.inFlight;
    const Instant expires = now + this->options.grantLife;
    this->grants.emplace(ticket, Grant{id, expires});
    this->byExpiry.insert({expires, ticket});
    this->actions.emplace_back(SlotGranted{ticket, id});
}

// Grants free slots in order.
void SlotQueue::grantWaiting(Instant now)
{
    this->denyExpired(now);
    while (this->grants.size() < this->options.maxGranted) {
        std::optional<Position> first;
        for (const EndpointId &id : this->limitedOnes) {
            const Endpoint &endpoint = this->endpoints.at(id);
            if (this->hasRoom(endpoint) && !endpoint.waiting.empty()
                && (!first || *endpoint.waiting.begin() < *first)) {
                first = *endpoint.waiting.begin();
            }
        }
        if (!first) {
            return;
        }
        const Wait wait = this->removeWait(*first, now);
        const EndpointId *chosen = nullptr;
        double lowest = 1; // share of the limit in use
        for (const EndpointId &candidate : wait.candidates) {
            const Endpoint &endpoint = this->endpoints.at(candidate);
            const double used = static_cast<double>(endpoint.inFlight) / endpoint.limit;
            if (used < lowest) {
                lowest = used;
                chosen = &candidate;
            }
        }
        this->grant(wait.ticket, *chosen, now);
    }
}

SlotQueue::Wait SlotQueue::removeWait(const Position &position, Instant now)
{
    const auto found = this->waits.find(position);
    Wait wait = std::move(found->second);
    for (const EndpointId &candidate : wait.candidates) {
        Endpoint &endpoint = this->endpoints.at(candidate);
        endpoint.waiting.erase(position);
        endpoint.needed = std::max(endpoint.needed, now);
    }
    this->byLatest.erase({wait.latest, wait.ticket});
    this->positions.erase(wait.ticket);
    this->waits.erase(found);
    return wait;
}

// `position` is a copy, because the one in the table is removed.
void SlotQueue::deny(Position position, Duration retryAfter, Instant now)
{
    this->actions.emplace_back(SlotDenied{this->removeWait(position, now).ticket, retryAfter});
}

void SlotQueue::denyExpired(Instant now)
{
    while (!this->byLatest.empty() && this->byLatest.begin()->first < now) {
        const Position position = this->positions.at(this->byLatest.begin()->second);
        this->deny(position, this->retryAfter(this->excessUs(position, now)), now);
    }
}

void SlotQueue::release(SlotTicket ticket, Instant now)
{
    const auto found = this->grants.find(ticket);
    Endpoint &endpoint = this->endpoints.at(found->second.endpoint);
    this->measure(endpoint, now);
    --endpoint.inFlight;
    this->byExpiry.erase({found->second.expires, ticket});
    this->grants.erase(found);
}

void SlotQueue::onEnded(SlotTicket ticket, bool wasServed, Duration took, Instant now)
{
    const auto found = this->grants.find(ticket);
    if (found == this->grants.end()) {
        return;
    }
    Endpoint &endpoint = this->endpoints.at(found->second.endpoint);
    if (wasServed) {
        endpoint.rate.served += this->hasRoom(endpoint) ? 0 : 1;
        const auto us = static_cast<double>(std::clamp<Duration>(took, Duration(0), this->options.grantLife).count());
        const double difference = us - endpoint.meanUs.value_or(us);
        endpoint.meanUs = endpoint.meanUs.value_or(us) + this->options.timeWeight * difference;
        endpoint.deviationUs += this->options.timeWeight * (std::abs(difference) - endpoint.deviationUs);
    }
    this->release(ticket, now);
}

void SlotQueue::cancel(SlotTicket ticket, Instant now)
{
    if (const auto found = this->positions.find(ticket); found != this->positions.end()) {
        const Position position = found->second;
        this->removeWait(position, now);
    } else if (this->grants.count(ticket) != 0) {
        this->release(ticket, now);
        const auto isItsGrant = [ticket](const SlotAction &action) {
            const auto *granted = std::get_if<SlotGranted>(&action);
            return granted != nullptr && granted->ticket == ticket;
        };
        this->actions.erase(std::remove_if(this->actions.begin(), this->actions.end(), isItsGrant),
                            this->actions.end());
    }
}

void SlotQueue::endLimits(Instant now)
{
    const std::set<EndpointId> limitedBefore = this->limitedOnes;
    for (const EndpointId &id : limitedBefore) {
        Endpoint &endpoint = this->endpoints.at(id);
        this->grow(endpoint, now);
        if (endpoint.waiting.empty() && now - endpoint.needed >= this->options.quietTime) {
            this->measure(endpoint, now);
            endpoint.limit = 0;
            this->limitedOnes.erase(id);
            this->actions.emplace_back(SlotLimitChanged{id, false});
        }
    }
}

std::vector<SlotAction> SlotQueue::poll(Instant now)
{
    while (!this->byExpiry.empty() && this->byExpiry.begin()->first <= now) {
        this->release(this->byExpiry.begin()->second, now);
    }
    this->endLimits(now);
    this->grantWaiting(now);
    return std::exchange(this->actions, {});
}

std::optional<Instant> SlotQueue::nextWake(Instant now) const
{
    if (!this->actions.empty()) {
        return now;
    }
    std::optional<Instant> wake;
    const auto include = [&wake, now](Instant at) {
        wake = std::max(now, wake ? std::min(*wake, at) : at);
    };
    if (!this->byLatest.empty()) {
        include(this->byLatest.begin()->first + 1us);
    }
    if (!this->byExpiry.empty()) {
        include(this->byExpiry.begin()->first);
    }
    for (const EndpointId &id : this->limitedOnes) {
        const Endpoint &endpoint = this->endpoints.at(id);
        if (endpoint.waiting.empty()) {
            include(endpoint.needed + this->options.quietTime);
        } else if (this->hasRoom(endpoint) && this->grants.size() < this->options.maxGranted) {
            include(now);
        } else if (endpoint.limit < 2 * endpoint.slots) {
            include(endpoint.grown + this->options.growInterval);
        }
    }
    return wake;
}

bool SlotQueue::isLimited(const EndpointId &endpoint) const
{
    return this->limitedOnes.count(endpoint) != 0;
}

std::vector<EndpointId> SlotQueue::limited() const
{
    return {this->limitedOnes.begin(), this->limitedOnes.end()};
}

std::optional<int> SlotQueue::limitOf(const EndpointId &id) const
{
    const auto found = this->endpoints.find(id);
    return found == this->endpoints.end() || found->second.limit == 0 ? std::nullopt
                                                                      : std::optional(found->second.limit);
}

int SlotQueue::inFlight(const EndpointId &id) const
{
    const auto found = this->endpoints.find(id);
    return found == this->endpoints.end() ? 0 : found->second.inFlight;
}

std::size_t SlotQueue::waiting(const EndpointId &id) const
{
    const auto found = this->endpoints.find(id);
    return found == this->endpoints.end() ? 0 : found->second.waiting.size();
}

} // namespace fescuesill
