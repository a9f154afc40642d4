#pragma once

// Permits to call endpoints that state a limit on their rate of calls. The leader gives them for all hosts. Used only
// by the forwarding thread.
//
//     EndpointPermits permits(io, fleet.limits());
//     const Duration wait = permits.take(endpoint, yield);  // zero: send the call; otherwise choose another endpoint
//     permits.onAnswer(endpoint, head.limit, sentAt);

#include "decide/endpointlimits.h"
#include "wire/messages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

namespace fescuesill
{

namespace asio = boost::asio;

class EndpointPermits
{
public:
    using Send = std::function<void(const peer::Message &)>;

    EndpointPermits(asio::io_context &io, EndpointLimits &limits);

    // Takes a permit for one call and returns zero, or returns the time until there may be one. Waits for the leader's
    // reply if the endpoint has a limit.
    Duration take(const EndpointId &endpoint, const asio::yield_context &yield);
    // The limit that an answer to a call sent at `sent` states.
    void onAnswer(const EndpointId &endpoint, const std::optional<CallRate> &rate, Instant sent);

    // Sets how to send to the leader or its deputy; empty if neither can be reached.
    void setUplink(Send send);
    // Sets how to send to all hosts that follow this one.
    void setFollowers(Send send);
    // Sets the part of each limit that this host may use without an uplink.
    void setShare(double part);
    void onReply(const peer::PermitReply &message);
    void onLimit(const peer::EndpointLimit &message);
    // Messages from a host that follows this one.
    void onRequested(const Send &reply, const peer::RequestPermit &message);
    void sendLimits(const Send &reply) const;

private:
    struct Request {
        explicit Request(asio::io_context &io)
            : timer(io)
        {
        }

        asio::steady_timer timer;
        std::optional<Duration> wait; // of the reply
    };

    Duration request(const EndpointId &endpoint, const asio::yield_context &yield);
    void announce(const EndpointId &endpoint);

    asio::io_context &io;
    EndpointLimits &limits;
    Send uplink;
    Send followers;
    double share = 1;
    std::uint64_t lastNumber = 0;
    // Bounded by the number of callers' connections.
    std::unordered_map<std::uint64_t, std::shared_ptr<Request>> requests;
};

} // namespace fescuesill
