#pragma once

// Limits on the rate of calls that endpoints state in their answers, and permits for calls within them.
//
//     EndpointLimits limits(EndpointLimits::Options{});
//     if (limits.onAnswer(endpoint, CallRate{6.4}, sentAt, now)) { ... the limit has changed: notify other hosts ... }
//     const Duration wait = limits.take(endpoint, 1.0, now); // zero: the call may be sent now
//
// An endpoint's limit holds for all hosts together. So one host gives the permits for all, and a host that can't reach
// it uses only its share.

#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fescuesill
{

struct CallRate {
    double perSecond = 0;
};

class EndpointLimits
{
public:
    struct Options {
        // Calls that may be sent at once after an idle time: as many as the limit allows in this time, and at least
        // one.
        Duration burst{250ms};
        // Of a limit of zero, so that an answer can show its end.
        CallRate leastRate{0.5};
        std::size_t maxLimits = 4096;
    };

    explicit EndpointLimits(const Options &options)
        : options(options)
    {
    }

    // The limit that an answer to a call sent at `sent` states; empty if it states none. Returns whether the limit has
    // changed.
    bool onAnswer(const EndpointId &endpoint, const std::optional<CallRate> &rate, Instant sent, Instant now);
    // The same, learned from another host.
    bool set(const EndpointId &endpoint, const std::optional<CallRate> &rate, Instant now);
    // Empty if the endpoint has no limit.
    std::optional<CallRate> limitOf(const EndpointId &endpoint) const;
    std::vector<std::pair<EndpointId, CallRate>> all() const;

    // Takes a permit for one call within `share` of the limit and returns zero, or returns the time until there may be
    // one.
    Duration take(const EndpointId &endpoint, double share, Instant now);
    // No permits are given for the next `wait`, as the host that gives them has stated.
    void suspend(const EndpointId &endpoint, Duration wait, Instant now);
    // The time until suspend() ends; zero if it does not apply.
    Duration suspendedFor(const EndpointId &endpoint, Instant now) const;

    // Drops the limit of an endpoint that was removed.
    void forget(const EndpointId &endpoint);

private:
    struct Limit {
        CallRate rate;
        Instant stated; // by an answer or another host
        double permits = 0;
        Instant refilled;
        Instant suspendedUntil;
    };

    double rateOf(const Limit &limit, double share) const;
    void refill(Limit &limit, double share, Instant now) const;

    Options options;
    std::unordered_map<EndpointId, Limit> limits;
};

} // namespace fescuesill
