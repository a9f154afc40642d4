#pragma once

// Slots for calls to overloaded plain endpoints, which the leader grants for all hosts. Used only by the forwarding
// thread.
//
//     EndpointSlots slots(io, fleet, settings.sharedSlots);
//     if (slots.isLimited(endpoint)) {
//         SlotClaim claim = slots.take({0, candidates, rank, onTimeUntil, usefulUntil}, abort, yield);
//         if (!claim.endpoint()) { ... refuse, retry after claim.retryAfter() ... }
//         ... call *claim.endpoint() ...
//         claim.end(true, 15ms);
//     }
//     slots.onOverload(endpoint);                  // it turned a call away, or reset its connection

#include "decide/slotqueue.h"
#include "programs/gateway/fleetview.h"
#include "wire/httpclient.h"
#include "wire/linkid.h"
#include "wire/messages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace fescuesill
{

namespace asio = boost::asio;

class EndpointSlots;

// A slot for one call, or the time after which to retry. Ends as not served when it is destroyed.
class SlotClaim
{
public:
    SlotClaim() = default;
    SlotClaim(SlotClaim &&other) noexcept
    {
        *this = std::move(other);
    }
    SlotClaim &operator=(SlotClaim &&other) noexcept;
    ~SlotClaim()
    {
        this->end(false, Duration(0));
    }

    // Empty if the call has no slot.
    const std::optional<EndpointId> &endpoint() const
    {
        return this->granted;
    }
    Duration retryAfter() const
    {
        return this->wait;
    }
    // Releases the slot; later calls do nothing.
    void end(bool wasServed, Duration took);

private:
    friend class EndpointSlots;

    std::weak_ptr<EndpointSlots> owner;
    std::uint64_t number = 0;
    std::optional<EndpointId> granted;
    Duration wait{0};
};

struct SlotCounts {
    std::size_t waiting = 0; // on the leader, calls of all hosts
    std::size_t inFlight = 0; // the same
    std::uint64_t granted = 0; // to calls of this host
    std::uint64_t denied = 0;
    std::size_t limited = 0; // endpoints
};

class EndpointSlots
{
public:
    using Send = std::function<void(const peer::Message &)>;

    // If it is not enabled, no endpoint is ever limited.
    EndpointSlots(asio::io_context &io, const FleetView &fleet, bool isEnabled);

    // Whether calls to this endpoint need a slot.
    bool isLimited(const EndpointId &endpoint) const
    {
        return this->limited.count(endpoint) > 0;
    }
    // Waits until the call has a slot, can't have one in time, or is aborted. The ticket in the request is not used.
    SlotClaim take(const SlotRequest &request, CallAbort &abort, const asio::yield_context &yield);
    void onOverload(const EndpointId &endpoint);
    // Ends the waits of those calls of this host for which this is true of the time until which they are useful.
    void endWaits(const std::function<bool(Instant usefulUntil)> &isToEnd);

    // Sets how to send to the leader or its deputy; empty if neither can be reached.
    void setUplink(Send send);
    // Sets how to send to all hosts that follow this one.
    void setFollowers(Send send);
    // Sets whether this host decides for itself and all that follow it.
    void setDeciding(bool isDeciding);
    // Returns false if the message is not about slots.
    bool onMessage(LinkId link, const Send &reply, const peer::Message &message);
    void sendLimits(const Send &reply) const;
    void onLinkLost(LinkId link);
    void onFleetChanged();
    // Called periodically.
    void onTick(Instant now);
    SlotCounts counts() const;

private:
    friend class SlotClaim;

    // A call of this host that waits for the reply.
    struct Waiting {
        Waiting(asio::io_context &io, SlotRequest given)
            : timer(io)
            , request(std::move(given))
        {
        }

        asio::steady_timer timer;
        SlotRequest request;
        std::optional<peer::SlotReply> reply;
    };
    // A call of this host that has a slot.
    struct Held {
        EndpointId endpoint;
        bool isGrantedHere = false; // without the leader
    };
    // A request that this host decides on.
    struct Ticket {
        LinkId link{}; // of the host that requests it; LinkId{} for this host
        std::uint64_t number = 0; // of that host
        Send reply;
        std::optional<Instant> granted;
    };
    struct Overloads {
        std::uint64_t unreported = 0;
        Instant reported;
    };

    void submit(const SlotRequest &request);
    void submitWaiting();
    void cancel(std::uint64_t number);
    SlotClaim hold(std::uint64_t number, const EndpointId &endpoint, bool isGrantedHere);
    SlotClaim deny(Duration retryAfter);
    SlotClaim takeWithoutLeader(const SlotRequest &request);
    void release(std::uint64_t number, bool wasServed, Duration took);
    void reportOverloads(const EndpointId &endpoint, Overloads &overloads, Instant now);

    void onReply(const peer::SlotReply &message);
    void onLimited(const peer::EndpointLimited &message);
    void onRequested(LinkId link, const Send &reply, const peer::RequestSlot &message);
    void onReleased(LinkId link, const peer::SlotReleased &message);
    void onOverloaded(const Send &reply, const peer::EndpointOverloaded &message);

    // The rest is for a host that decides.
    void decide(LinkId link, const Send &reply, std::uint64_t number, SlotRequest request);
    // Removes the ticket of that request and returns it; empty if there is none.
    std::optional<SlotTicket> takeTicket(LinkId link, std::uint64_t number);
    // Sends the decision to the host that requested it; without `reply`, to a call of this host.
    void answer(const Send &reply, const peer::SlotReply &decision);
    void cancelTicket(LinkId link, std::uint64_t number);
    void endTicket(LinkId link, std::uint64_t number, bool wasServed, Duration took);
    bool updateSlots(const EndpointId &endpoint);
    void countOverloads(const EndpointId &endpoint, std::uint64_t count);
    // Carries out what the queue has decided, and sets the timer for its next decision.
    void poll();
    void apply(const SlotGranted &granted);
    void apply(const SlotDenied &denied);
    void apply(const SlotLimitChanged &changed);

    asio::io_context &io;
    const FleetView &fleet;
    bool isEnabled;
    std::shared_ptr<EndpointSlots> self; // owns nothing; claims may outlive this object
    Send uplink;
    Send followers;
    std::uint64_t lastNumber = 0;
    // Both bounded by the number of callers' connections.
    std::map<std::uint64_t, std::shared_ptr<Waiting>> waiting;
    std::unordered_map<std::uint64_t, Held> held;
    // These are bounded by the endpoints in the registry.
    std::set<EndpointId> limited;
    std::map<EndpointId, Overloads> overloads;
    std::uint64_t grantedCount = 0;
    std::uint64_t deniedCount = 0;

    std::optional<SlotQueue> queue; // empty unless this host decides
    std::set<EndpointId> known; // to the queue
    SlotTicket lastTicket = 0;
    std::unordered_map<SlotTicket, Ticket> tickets;
    std::map<std::pair<LinkId, std::uint64_t>, SlotTicket> ticketsByNumber;
    asio::steady_timer timer;
};

} // namespace fescuesill
