#include "decide/testing/plainload.h"

#include <algorithm>
#include <cmath>

namespace fescuesill
{
namespace
{

constexpr Instant begin{1s};
constexpr Instant leaves{5s};
constexpr Instant returns{11s};
constexpr Instant end{14s};
constexpr Instant allAnswered{1min};
constexpr double callsPerSecond = 480;
constexpr Duration target{120ms};
constexpr Duration patience{600ms};
constexpr Duration toEndpoint{1ms};
constexpr Duration toLeader{3ms};
constexpr int slotsOfEndpoint = 6;
constexpr std::size_t queueOfEndpoint = 24;
constexpr Duration arrivalCost{1ms};
// Stated by hosts that don't know when there will be room.
constexpr Duration unknownRetry{50ms};
// How long a call waits at its host: for each way, the one of 40, 60, 80, 90 and 120 ms with the most calls in time.
constexpr Duration longestWaitForShare{40ms};
constexpr Duration longestWaitForRate{90ms};
constexpr double capacityOfEndpoint = 330; // calls per second, known to the leader that sets rates

} // namespace

PlainLoad::PlainLoad(Way given, std::uint64_t seed)
    : way(given)
    , random(seed)
    , slots(SlotQueue::Options{})
{
    for (std::size_t index = 0; index < endpointCount; ++index) {
        this->endpoints[index].id = EndpointId("e" + std::to_string(index));
        this->slots.setSlots(this->endpoints[index].id, slotsOfEndpoint);
    }
    for (std::size_t host = 0; host < hostCount; ++host) {
        this->hosts.push_back(Host{EndpointPicker({}, seed + host)});
        this->weights.push_back(std::pow(static_cast<double>(host + 1), -0.8));
    }
}

void PlainLoad::run()
{
    this->events.runUntil(begin);
    this->arrive();
    this->setRates();
    for (std::size_t index = 0; index < endpointCount; ++index) {
        this->slowPhase(index);
    }
    for (std::size_t index = 1; index < endpointCount; ++index) {
        this->events.after(leaves - begin, [this, index] {
            this->endpoints[index].isPresent = false;
            this->slots.forget(this->endpoints[index].id);
            this->pollSlots();
        });
        this->events.after(returns - begin, [this, index] {
            this->endpoints[index].isPresent = true;
            this->slots.setSlots(this->endpoints[index].id, slotsOfEndpoint);
        });
    }
    this->events.runUntil(allAnswered);
}

void PlainLoad::arrive()
{
    if (this->events.now() >= end) {
        return;
    }
    Call call;
    call.host = std::discrete_distribution<std::size_t>(this->weights.begin(), this->weights.end())(this->random);
    call.arrived = this->events.now();
    this->all.push_back(call);
    ++this->offered;
    this->choose(this->all.size() - 1);
    const double gap = std::exponential_distribution<double>(callsPerSecond)(this->random);
    this->events.after(Duration(static_cast<Duration::rep>(gap * 1e6)), [this] { this->arrive(); });
}

void PlainLoad::slowPhase(std::size_t index)
{
    if (this->events.now() < end) {
        this->events.after(Duration(std::uniform_int_distribution<int>(500'000, 4'000'000)(this->random)),
                           [this, index] {
                               this->endpoints[index].slowUntil = this->events.now() + 300ms;
                               this->slowPhase(index);
                           });
    }
}

void PlainLoad::setRates()
{
    double capacity = 0;
    for (const Endpoint &endpoint : this->endpoints) {
        capacity += endpoint.isPresent ? capacityOfEndpoint : 0;
    }
    double demand = 0;
    for (const Host &host : this->hosts) {
        demand += host.demand + 0.2;
    }
    for (std::size_t index = 0; index < hostCount; ++index) {
        Host &host = this->hosts[index];
        host.rate = capacity * (host.demand + 0.2) / demand;
        host.demand = 0;
    }
    if (this->way == Way::LeaderRates && this->events.now() < end) {
        this->events.after(250ms, [this] { this->setRates(); });
    }
}

std::vector<EndpointCandidate> PlainLoad::candidates(const Call &call) const
{
    std::vector<EndpointCandidate> result;
    for (std::size_t index = 0; index < endpointCount; ++index) {
        if (this->endpoints[index].isPresent && !call.isTried[index]) {
            result.push_back({this->endpoints[index].id, slotsOfEndpoint, index == call.host % endpointCount});
        }
    }
    return result;
}

std::size_t PlainLoad::indexOf(const EndpointId &id) const
{
    return static_cast<std::size_t>(id.value()[1] - '0');
}

void PlainLoad::choose(std::size_t number)
{
    Call &call = this->all[number];
    Host &host = this->hosts[call.host];
    const auto best = host.picker.pick(this->candidates(call), this->events.now());
    if (!best) {
        this->refuse(number, unknownRetry);
    } else if (this->way == Way::EachHostAlone) {
        this->send(number, this->indexOf(*best));
    } else if (this->way == Way::SlotQueue) {
        if (this->limitedAtHosts.count(*best) != 0) {
            this->askSlot(number, *best);
        } else {
            this->send(number, this->indexOf(*best));
        }
    } else {
        ++host.demand;
        host.waiting.push_back(number);
        this->serveWaiting(call.host);
    }
}

bool PlainLoad::takePermit(Host &host, std::size_t endpoint)
{
    if (this->way == Way::FixedShares) {
        return host.inFlight[endpoint] < 1;
    }
    const double elapsed = std::chrono::duration<double>(this->events.now() - host.refilled).count();
    host.permits = std::min(std::max(1.0, host.rate * 0.05), host.permits + host.rate * elapsed);
    host.refilled = this->events.now();
    if (host.permits < 1) {
        return false;
    }
    host.permits -= 1;
    return true;
}

// The first call waits at its host until it gets a permit or misses the target.
void PlainLoad::serveWaiting(std::size_t index)
{
    Host &host = this->hosts[index];
    const Duration longestWait = this->way == Way::FixedShares ? longestWaitForShare : longestWaitForRate;
    while (!host.waiting.empty()) {
        const std::size_t number = host.waiting.front();
        const Call &call = this->all[number];
        if (this->events.now() >= call.arrived + longestWait) {
            host.waiting.pop_front();
            this->refuse(number, unknownRetry);
            continue;
        }
        std::vector<EndpointCandidate> free = this->candidates(call);
        if (this->way == Way::FixedShares) {
            const auto isFull = [&](const EndpointCandidate &each) {
                return host.inFlight[this->indexOf(each.id)] >= 1;
            };
            free.erase(std::remove_if(free.begin(), free.end(), isFull), free.end());
        }
        const auto best = host.picker.pick(free, this->events.now());
        if (!best || !this->takePermit(host, this->indexOf(*best))) {
            this->events.after(2ms, [this, index] { this->serveWaiting(index); });
            return;
        }
        host.waiting.pop_front();
        this->send(number, this->indexOf(*best));
    }
}

void PlainLoad::askSlot(std::size_t number, const EndpointId &best)
{
    const Call &call = this->all[number];
    SlotRequest request;
    request.ticket = ++this->lastTicket;
    request.candidates = {best};
    for (const EndpointCandidate &other : this->candidates(call)) {
        request.candidates.push_back(other.id);
    }
    request.onTimeUntil = call.arrived + target - toLeader; // when the reply arrives
    request.usefulUntil = call.arrived + patience;
    this->callOfTicket[request.ticket] = number;
    this->events.after(toLeader, [this, request] {
        this->slots.request(request, this->events.now());
        this->pollSlots();
    });
}

void PlainLoad::pollSlots()
{
    for (const SlotAction &action : this->slots.poll(this->events.now())) {
        this->events.after(toLeader, [this, action] {
            if (const auto *granted = std::get_if<SlotGranted>(&action)) {
                const std::size_t number = this->callOfTicket.at(granted->ticket);
                this->all[number].ticket = granted->ticket;
                this->send(number, this->indexOf(granted->endpoint));
            } else if (const auto *denied = std::get_if<SlotDenied>(&action)) {
                this->refuse(this->callOfTicket.at(denied->ticket), denied->retryAfter);
            } else if (const auto *changed = std::get_if<SlotLimitChanged>(&action)) {
                if (changed->isLimited) {
                    this->limitedAtHosts.insert(changed->endpoint);
                } else {
                    this->limitedAtHosts.erase(changed->endpoint);
                }
            }
        });
    }
    const auto next = this->slots.nextWake(this->events.now());
    if (next && (!this->wake || *this->wake <= this->events.now() || *next < *this->wake)) {
        this->wake = next;
        this->events.after(*next - this->events.now(), [this] { this->pollSlots(); });
    }
}

void PlainLoad::send(std::size_t number, std::size_t endpoint)
{
    Call &call = this->all[number];
    Host &host = this->hosts[call.host];
    call.endpoint = endpoint;
    call.isTried[endpoint] = true;
    call.sent = this->events.now();
    ++host.inFlight[endpoint];
    host.picker.onSent(this->endpoints[endpoint].id);
    this->events.after(toEndpoint, [this, number] { this->reach(number); });
}

void PlainLoad::reach(std::size_t number)
{
    Endpoint &endpoint = this->endpoints[this->all[number].endpoint];
    endpoint.debt += arrivalCost;
    if (endpoint.busy == slotsOfEndpoint && endpoint.queue.size() >= queueOfEndpoint) {
        ++this->rejected;
        this->events.after(toEndpoint, [this, number] { this->answer(number, false); });
        return;
    }
    endpoint.queue.push_back(number);
    this->startNext(this->all[number].endpoint);
}

void PlainLoad::startNext(std::size_t index)
{
    Endpoint &endpoint = this->endpoints[index];
    while (endpoint.busy < slotsOfEndpoint && !endpoint.queue.empty()) {
        const std::size_t number = endpoint.queue.front();
        endpoint.queue.pop_front();
        ++endpoint.busy;
        const double slow = this->events.now() < endpoint.slowUntil ? 3 : 1;
        const double us = slow * std::lognormal_distribution<double>(std::log(15'000), 0.5)(this->random);
        const Duration takes = Duration(static_cast<Duration::rep>(us)) + std::exchange(endpoint.debt, Duration(0));
        this->events.after(takes, [this, index, number] {
            --this->endpoints[index].busy;
            this->startNext(index);
            this->events.after(toEndpoint, [this, number] { this->answer(number, true); });
        });
    }
}

void PlainLoad::answer(std::size_t number, bool wasServed)
{
    Call &call = this->all[number];
    Host &host = this->hosts[call.host];
    const EndpointId id = this->endpoints[call.endpoint].id;
    const Duration took = this->events.now() - call.sent;
    --host.inFlight[call.endpoint];
    host.picker.onEnded(id, wasServed ? EndpointOutcome::Answered : EndpointOutcome::Full, took, this->events.now());
    if (this->way == Way::SlotQueue) {
        this->events.after(toLeader, [this, id, wasServed, took, ticket = std::exchange(call.ticket, 0)] {
            if (!wasServed) {
                this->slots.onOverload(id, this->events.now());
            }
            if (ticket != 0) {
                this->slots.onEnded(ticket, wasServed, took, this->events.now());
            }
            this->pollSlots();
        });
    }
    if (wasServed) {
        this->answeredInTime += this->events.now() <= call.arrived + target ? 1 : 0;
        this->serveWaiting(call.host);
    } else {
        this->choose(number);
    }
}

// A refused caller returns once.
void PlainLoad::refuse(std::size_t number, Duration retryAfter)
{
    Call &call = this->all[number];
    if (std::exchange(call.hasReturned, true)) {
        return;
    }
    const Duration left = call.arrived + patience - this->events.now();
    this->events.after(std::min<Duration>(retryAfter, left / 3), [this, number] {
        this->all[number].isTried = {};
        this->choose(number);
    });
}

} // namespace fescuesill
