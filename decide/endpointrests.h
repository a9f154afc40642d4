#pragma once

// The endpoints that have asked this host for rest, and until when.
//
//     EndpointRests rests(EndpointRests::Options{});
//     rests.onAsked(endpoint, 3s, now);
//     if (rests.isResting(endpoint)) { ... choose another one ... }
//     rests.expire(now);                     // periodically
//
// Guards against requests to an endpoint that is recovering from an overload and has told this host to stay away.

#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace fescuesill
{

class EndpointRests
{
public:
    struct Options {
        // An endpoint that asks for more by mistake is used again after this.
        Duration longest{10min};
        std::size_t maxEndpoints = 4096; // further ones are not remembered
    };

    explicit EndpointRests(const Options &given)
        : options(given)
    {
    }

    // Returns whether the endpoint begins to rest.
    bool onAsked(const EndpointId &endpoint, Duration rest, Instant now)
    {
        const bool isKnown = this->rests.count(endpoint) > 0;
        if (rest <= Duration(0) || (!isKnown && this->rests.size() >= this->options.maxEndpoints)) {
            return false;
        }
        Instant &until = this->rests[endpoint];
        until = std::max(until, now + std::min(rest, this->options.longest));
        return !isKnown;
    }
    bool isResting(const EndpointId &endpoint) const
    {
        return this->rests.count(endpoint) > 0;
    }
    // Until when; empty if it does not rest.
    std::optional<Instant> until(const EndpointId &endpoint) const
    {
        const auto found = this->rests.find(endpoint);
        return found == this->rests.end() ? std::nullopt : std::optional(found->second);
    }
    std::vector<EndpointId> all() const
    {
        std::vector<EndpointId> found;
        found.reserve(this->rests.size());
        for (const auto &[endpoint, until] : this->rests) {
            found.push_back(endpoint);
        }
        return found;
    }
    void expire(Instant now)
    {
        for (auto rest = this->rests.begin(); rest != this->rests.end();) {
            rest = now >= rest->second ? this->rests.erase(rest) : std::next(rest);
        }
    }
    // A new start of the endpoint has not asked for anything.
    void forget(const EndpointId &endpoint)
    {
        this->rests.erase(endpoint);
    }
    std::size_t size() const
    {
        return this->rests.size();
    }

private:
    Options options;
    std::map<EndpointId, Instant> rests;
};

} // namespace fescuesill
