// A host asks for a slot only where the endpoint that it would choose is limited, so without overload no message is
// sent. The host that decides keeps one queue for its own calls and for those of all hosts that follow it. Each request
// has a ticket, which is mapped to the link and the number of the host; a link that closes cancels its tickets.
//
// A call that waits while the leader changes is requested again at the next one. A message that is lost is corrected by
// later ones: a leader replies to a request for an endpoint that is not limited, and to an overload of one that is,
// with the state of its limit.

#include "programs/gateway/endpointslots.h"

#include "fescuesill/overloaded.h"
#include "wire/clock.h"
#include "wire/log.h"

#include <algorithm>
#include <utility>

namespace fescuesill
{
namespace
{

// Beyond the time that a call may wait, for the way to the leader and back.
constexpr Duration replyMargin{100ms};
// For calls that a host without a leader refuses; the next leader is known within a second.
constexpr Duration retryAfterWithoutLeader{300ms};
constexpr Duration retryAfterInvalid{1s};
constexpr Duration overloadReportInterval{100ms};
// Overloads of one message that count. A few limit an endpoint, and the limit is lowered once in a while only.
constexpr std::uint64_t maxOverloadsCounted = 8;
constexpr std::size_t maxTickets = 20'000;
constexpr Duration ticketLife{4s}; // after the grant, longer than the queue keeps it
constexpr Duration minTimerDelay{1ms};

template<typename Message>
bool check(const Message &message, const char *name)
{
    if (!peer::isValid(message)) {
        Log::warning("slot_message_invalid", {{"message", name}});
        return false;
    }
    return true;
}

} // namespace

SlotClaim &SlotClaim::operator=(SlotClaim &&other) noexcept
{
    if (this != &other) {
        this->end(false, Duration(0));
        this->owner = std::exchange(other.owner, {});
        this->number = other.number;
        this->granted = std::exchange(other.granted, std::nullopt);
        this->wait = other.wait;
    }
    return *this;
}

void SlotClaim::end(bool wasServed, Duration took)
{
    if (const auto slots = std::exchange(this->owner, {}).lock()) {
        slots->release(this->number, wasServed, took);
    }
}

EndpointSlots::EndpointSlots(asio::io_context &context, const FleetView &fleetView, bool isOn)
    : io(context)
    , fleet(fleetView)
    , isEnabled(isOn)
    , self(this, [](EndpointSlots *) {})
    , timer(context)
{
}

SlotClaim EndpointSlots::take(const SlotRequest &given, CallAbort &abort, const asio::yield_context &yield)
{
    if (abort.isAborted()) {
        return {};
    }
    if (!this->queue && !this->uplink) {
        return this->takeWithoutLeader(given);
    }
    const std::uint64_t number = ++this->lastNumber;
    const auto call = std::make_shared<Waiting>(this->io, given);
    call->request.ticket = number;
    call->request.candidates.resize(std::min(given.candidates.size(), peer::maxSlotCandidates));
    this->waiting[number] = call;
    this->submit(call->request);
    if (!call->reply) {
        const Instant now = steadyNow();
        const Instant until = std::min(std::max(given.onTimeUntil, now) + replyMargin, given.usefulUntil);
        boost::system::error_code ignored;
        call->timer.expires_after(std::max(until - now, Duration(0)));
        abort.setHandler([call] { call->timer.cancel(); });
        call->timer.async_wait(yield[ignored]);
        abort.setHandler({});
    }
    this->waiting.erase(number);
    if (abort.isAborted() || !call->reply) {
        this->cancel(number);
        return abort.isAborted() ? SlotClaim() : this->takeWithoutLeader(given);
    }
    const peer::SlotReply &reply = *call->reply;
    return reply.endpoint.isEmpty() ? this->deny(reply.retryAfter) : this->hold(number, reply.endpoint, false);
}

void EndpointSlots::endWaits(const std::function<bool(Instant)> &isToEnd)
{
    for (const auto &[number, call] : this->waiting) {
        if (isToEnd(call->request.usefulUntil)) {
            call->timer.cancel();
        }
    }
}

// One call in flight to each limited endpoint, so that every host gets something and all together stay within what an
// endpoint can queue.
SlotClaim EndpointSlots::takeWithoutLeader(const SlotRequest &request)
{
    for (const EndpointId &candidate : request.candidates) {
        const bool isInUse = std::any_of(this->held.begin(), this->held.end(),
                                         [&](const auto &entry) { return entry.second.endpoint == candidate; });
        if (!this->isLimited(candidate) || !isInUse) {
            return this->hold(++this->lastNumber, candidate, true);
        }
    }
    return this->deny(retryAfterWithoutLeader);
}

SlotClaim EndpointSlots::hold(std::uint64_t number, const EndpointId &endpoint, bool isGrantedHere)
{
    ++this->grantedCount;
    this->held[number] = {endpoint, isGrantedHere};
    SlotClaim claim;
    claim.owner = this->self;
    claim.number = number;
    claim.granted = endpoint;
    return claim;
}

SlotClaim EndpointSlots::deny(Duration retryAfter)
{
    ++this->deniedCount;
    SlotClaim claim;
    claim.wait = retryAfter;
    return claim;
}

void EndpointSlots::submit(const SlotRequest &request)
{
    if (this->queue) {
        this->decide(LinkId{}, {}, request.ticket, request);
    } else if (this->uplink) {
        const Instant now = steadyNow();
        peer::RequestSlot message;
        message.number = request.ticket;
        for (const EndpointId &candidate : request.candidates) {
            message.candidates.push_back(candidate.value());
        }
        message.rank = static_cast<std::uint64_t>(std::max(0, request.rank));
        message.onTime = std::max(request.onTimeUntil - now, Duration(0));
        message.useful = std::max(request.usefulUntil - now, Duration(0));
        this->uplink(message);
    }
}

void EndpointSlots::submitWaiting()
{
    for (const auto &[number, call] : this->waiting) {
        if (!call->reply) {
            this->submit(call->request);
        }
    }
}

void EndpointSlots::cancel(std::uint64_t number)
{
    if (this->queue) {
        this->cancelTicket(LinkId{}, number);
    } else if (this->uplink) {
        this->uplink(peer::CancelSlot{number});
    }
}

void EndpointSlots::release(std::uint64_t number, bool wasServed, Duration took)
{
    const auto found = this->held.find(number);
    if (found == this->held.end()) {
        return;
    }
    const bool isGrantedHere = found->second.isGrantedHere;
    this->held.erase(found);
    if (isGrantedHere) {
        return;
    }
    if (this->queue) {
        this->endTicket(LinkId{}, number, wasServed, took);
    } else if (this->uplink) {
        this->uplink(peer::SlotReleased{number, wasServed, took});
    }
}

void EndpointSlots::onOverload(const EndpointId &endpoint)
{
    if (!this->isEnabled) {
        return;
    }
    if (this->queue) {
        this->countOverloads(endpoint, 1);
    } else if (this->uplink) {
        Overloads &counted = this->overloads[endpoint];
        ++counted.unreported;
        this->reportOverloads(endpoint, counted, steadyNow());
    }
}

void EndpointSlots::reportOverloads(const EndpointId &endpoint, Overloads &counted, Instant now)
{
    if (this->uplink && counted.unreported > 0 && now - counted.reported >= overloadReportInterval) {
        this->uplink(peer::EndpointOverloaded{endpoint, std::exchange(counted.unreported, 0)});
        counted.reported = now;
    }
}

void EndpointSlots::setUplink(Send send)
{
    this->uplink = std::move(send);
    if (this->uplink && !this->queue) {
        this->submitWaiting();
    }
}

void EndpointSlots::setFollowers(Send send)
{
    this->followers = std::move(send);
}

// A host that takes over begins with the limits that the last leader announced. Otherwise the endpoint would get all
// calls until it has turned some away again.
void EndpointSlots::setDeciding(bool isDeciding)
{
    if (isDeciding == this->queue.has_value()) {
        return;
    }
    this->tickets.clear();
    this->ticketsByNumber.clear();
    this->known.clear();
    this->timer.cancel();
    if (!isDeciding) {
        this->queue.reset();
        return;
    }
    const SlotQueue::Options options;
    this->queue.emplace(options);
    for (const EndpointId &endpoint : std::exchange(this->limited, {})) {
        this->countOverloads(endpoint, options.overloads);
    }
    this->submitWaiting();
}

bool EndpointSlots::onMessage(LinkId link, const Send &reply, const peer::Message &message)
{
    return std::visit(Overloaded{[&](const peer::RequestSlot &request) {
                                     this->onRequested(link, reply, request);
                                     return true;
                                 },
                                 [&](const peer::CancelSlot &cancelled) {
                                     this->cancelTicket(link, cancelled.number);
                                     return true;
                                 },
                                 [&](const peer::SlotReleased &released) {
                                     this->onReleased(link, released);
                                     return true;
                                 },
                                 [&](const peer::EndpointOverloaded &overloaded) {
                                     this->onOverloaded(reply, overloaded);
                                     return true;
                                 },
                                 [&](const peer::SlotReply &answer) {
                                     this->onReply(answer);
                                     return true;
                                 },
                                 [&](const peer::EndpointLimited &announced) {
                                     this->onLimited(announced);
                                     return true;
                                 },
                                 [](const auto &) {
                                     return false;
                                 }},
                      message);
}

void EndpointSlots::onReply(const peer::SlotReply &message)
{
    const auto found = this->waiting.find(message.number);
    if (found == this->waiting.end() || found->second->reply) {
        return;
    }
    Waiting &call = *found->second;
    const auto &candidates = call.request.candidates;
    const bool isGranted = !message.endpoint.isEmpty();
    const bool isCandidate = std::find(candidates.begin(), candidates.end(), message.endpoint) != candidates.end();
    call.reply = message;
    if (!check(message, "slot_reply")) {
        call.reply = peer::SlotReply{message.number, {}, retryAfterInvalid};
    } else if (isGranted && !isCandidate) {
        Log::warning("slot_message_invalid", {{"message", "slot_reply"}, {"endpoint", message.endpoint.value()}});
        call.reply = peer::SlotReply{message.number, {}, retryAfterInvalid};
    }
    if (isGranted && call.reply->endpoint.isEmpty()) {
        this->cancel(message.number);
    }
    call.timer.cancel();
}

void EndpointSlots::onLimited(const peer::EndpointLimited &message)
{
    if (!this->isEnabled || this->queue || !check(message, "endpoint_limited")) {
        return;
    }
    if (!message.isLimited) {
        this->limited.erase(message.endpoint);
    } else if (this->fleet.slotsOf(message.endpoint)) {
        this->limited.insert(message.endpoint);
    } else {
        Log::info("slot_message_invalid", {{"message", "endpoint_limited"}, {"endpoint", message.endpoint.value()}});
    }
}

void EndpointSlots::onRequested(LinkId link, const Send &reply, const peer::RequestSlot &message)
{
    if (!this->queue || !check(message, "request_slot")) {
        reply(peer::SlotReply{message.number, {}, retryAfterInvalid});
        return;
    }
    SlotRequest request;
    request.candidates.reserve(message.candidates.size());
    for (const std::string &candidate : message.candidates) {
        request.candidates.emplace_back(candidate);
    }
    const EndpointId chosen = request.candidates.front();
    const Instant now = steadyNow();
    request.rank = static_cast<int>(message.rank);
    request.onTimeUntil = now + message.onTime;
    request.usefulUntil = now + message.useful;
    this->decide(link, reply, message.number, std::move(request));
    if (!this->isLimited(chosen)) {
        reply(peer::EndpointLimited{chosen, false});
    }
}

void EndpointSlots::onReleased(LinkId link, const peer::SlotReleased &message)
{
    const bool isValid = check(message, "slot_released");
    this->endTicket(link, message.number, isValid && message.wasServed, isValid ? message.took : Duration(0));
}

void EndpointSlots::onOverloaded(const Send &reply, const peer::EndpointOverloaded &message)
{
    if (!this->isEnabled || !this->queue || !check(message, "endpoint_overloaded")) {
        return;
    }
    const bool wasLimited = this->isLimited(message.endpoint);
    this->countOverloads(message.endpoint, message.count);
    if (wasLimited) {
        reply(peer::EndpointLimited{message.endpoint, true});
    }
}

void EndpointSlots::sendLimits(const Send &reply) const
{
    for (const EndpointId &endpoint : this->limited) {
        reply(peer::EndpointLimited{endpoint, true});
    }
}

void EndpointSlots::decide(LinkId link, const Send &reply, std::uint64_t number, SlotRequest request)
{
    const SlotTicket ticket = ++this->lastTicket;
    if (this->tickets.size() >= maxTickets) {
        this->answer(reply, {number, {}, retryAfterInvalid});
        return;
    }
    if (!this->ticketsByNumber.emplace(std::pair(link, number), ticket).second) {
        Log::warning("slot_message_invalid", {{"message", "request_slot"}, {"number", number}});
        return;
    }
    this->tickets[ticket] = {link, number, reply, std::nullopt};
    for (const EndpointId &candidate : request.candidates) {
        this->updateSlots(candidate);
    }
    request.ticket = ticket;
    this->queue->request(request, steadyNow());
    this->poll();
}

std::optional<SlotTicket> EndpointSlots::takeTicket(LinkId link, std::uint64_t number)
{
    const auto found = this->ticketsByNumber.find({link, number});
    if (found == this->ticketsByNumber.end()) {
        return std::nullopt;
    }
    const SlotTicket ticket = found->second;
    this->tickets.erase(ticket);
    this->ticketsByNumber.erase(found);
    return ticket;
}

void EndpointSlots::answer(const Send &reply, const peer::SlotReply &decision)
{
    if (reply) {
        reply(decision);
    } else {
        this->onReply(decision);
    }
}

void EndpointSlots::cancelTicket(LinkId link, std::uint64_t number)
{
    if (const auto ticket = this->takeTicket(link, number)) {
        this->queue->cancel(*ticket, steadyNow());
        this->poll();
    }
}

void EndpointSlots::endTicket(LinkId link, std::uint64_t number, bool wasServed, Duration took)
{
    if (const auto ticket = this->takeTicket(link, number)) {
        this->queue->onEnded(*ticket, wasServed, took, steadyNow());
        this->poll();
    }
}

void EndpointSlots::onLinkLost(LinkId link)
{
    auto found = this->ticketsByNumber.lower_bound({link, 0});
    while (found != this->ticketsByNumber.end() && found->first.first == link) {
        this->queue->cancel(found->second, steadyNow());
        this->tickets.erase(found->second);
        found = this->ticketsByNumber.erase(found);
    }
    this->poll();
}

bool EndpointSlots::updateSlots(const EndpointId &endpoint)
{
    const auto slots = this->fleet.slotsOf(endpoint);
    if (slots && this->queue->setSlots(endpoint, *slots)) {
        this->known.insert(endpoint);
        return true;
    }
    return false;
}

void EndpointSlots::countOverloads(const EndpointId &endpoint, std::uint64_t count)
{
    if (!this->updateSlots(endpoint)) {
        return;
    }
    for (std::uint64_t counted = 0; counted < std::min(count, maxOverloadsCounted); ++counted) {
        this->queue->onOverload(endpoint, steadyNow());
    }
    this->poll();
}

void EndpointSlots::onFleetChanged()
{
    for (auto endpoint = this->known.begin(); endpoint != this->known.end();) {
        if (const auto slots = this->fleet.slotsOf(*endpoint)) {
            this->queue->setSlots(*endpoint, *slots);
            ++endpoint;
        } else {
            this->queue->forget(*endpoint);
            endpoint = this->known.erase(endpoint);
        }
    }
    if (this->queue) {
        this->poll();
        return;
    }
    for (auto endpoint = this->limited.begin(); endpoint != this->limited.end();) {
        endpoint = this->fleet.slotsOf(*endpoint) ? std::next(endpoint) : this->limited.erase(endpoint);
    }
}

void EndpointSlots::onTick(Instant now)
{
    this->onFleetChanged();
    for (auto counted = this->overloads.begin(); counted != this->overloads.end();) {
        this->reportOverloads(counted->first, counted->second, now);
        const bool isOver = !this->uplink || now - counted->second.reported >= 2 * overloadReportInterval;
        counted = isOver ? this->overloads.erase(counted) : std::next(counted);
    }
    // The queue has dropped grants of this age; their hosts never reported the end.
    for (auto entry = this->tickets.begin(); entry != this->tickets.end();) {
        const Ticket &ticket = entry->second;
        if (ticket.granted && now - *ticket.granted >= ticketLife) {
            this->ticketsByNumber.erase({ticket.link, ticket.number});
            entry = this->tickets.erase(entry);
        } else {
            ++entry;
        }
    }
}

void EndpointSlots::poll()
{
    if (!this->queue) {
        return;
    }
    const Instant now = steadyNow();
    for (const SlotAction &action : this->queue->poll(now)) {
        std::visit([this](const auto &decided) { this->apply(decided); }, action);
    }
    const auto wake = this->queue->nextWake(now);
    if (!wake) {
        this->timer.cancel();
        return;
    }
    this->timer.expires_after(std::max(*wake - now, minTimerDelay));
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->poll();
        }
    });
}

void EndpointSlots::apply(const SlotGranted &granted)
{
    const auto found = this->tickets.find(granted.ticket);
    if (found == this->tickets.end()) {
        return;
    }
    Ticket &ticket = found->second;
    ticket.granted = steadyNow();
    this->answer(ticket.reply, {ticket.number, granted.endpoint, Duration(0)});
}

void EndpointSlots::apply(const SlotDenied &denied)
{
    const auto found = this->tickets.find(denied.ticket);
    if (found == this->tickets.end()) {
        return;
    }
    const Ticket ticket = std::move(found->second);
    this->tickets.erase(found);
    this->ticketsByNumber.erase({ticket.link, ticket.number});
    this->answer(ticket.reply, {ticket.number, {}, denied.retryAfter});
}

void EndpointSlots::apply(const SlotLimitChanged &changed)
{
    if (changed.isLimited) {
        this->limited.insert(changed.endpoint);
    } else {
        this->limited.erase(changed.endpoint);
    }
    Log::info("endpoint_limited",
              {{"endpoint", changed.endpoint.value()},
               {"limited", changed.isLimited},
               {"in_flight", this->queue->inFlight(changed.endpoint)},
               {"waiting", static_cast<std::uint64_t>(this->queue->waiting(changed.endpoint))}});
    if (this->followers) {
        this->followers(peer::EndpointLimited{changed.endpoint, changed.isLimited});
    }
}

SlotCounts EndpointSlots::counts() const
{
    return {this->queue ? this->queue->waiting() : this->waiting.size(),
            this->queue ? this->queue->inFlight() : this->held.size(), this->grantedCount, this->deniedCount,
            this->limited.size()};
}

} // namespace fescuesill
