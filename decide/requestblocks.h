#pragma once

// The requests that a host refuses since they crash endpoints, and the traits whose answers it reports.
//
//     RequestBlocks blocks(RequestBlocks::Options{});
//     blocks.block(traits, 10min, now);                 // requests that have all of these
//     if (const auto left = blocks.blockedFor(traitsOfCall, now)) { ... refuse; retry after *left ... }
//     blocks.watch({suspect}, now);
//     const RequestTraits cleared = blocks.watchedOf(traitsOfCall, begun);   // once the call was answered in full

#include "decide/requesttrait.h"
#include "fescuesill/units.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace fescuesill
{

class RequestBlocks
{
public:
    struct Options {
        std::size_t maxBlocks = 256; // beyond this, the one that ends first is dropped
        std::size_t maxWatched = 1024; // further ones are not watched
        Duration watchedFor{10min};
        // After this, one request that is blocked may be sent to see whether it still crashes endpoints. Each further
        // trial waits longer by the factor.
        Duration firstTrial{20s};
        int trialFactor = 6;
    };

    explicit RequestBlocks(const Options &given)
        : options(given)
    {
    }

    // `traits`: sorted. Returns whether it is new.
    bool block(const RequestTraits &traits, Duration duration, Instant now);
    // Returns whether it was blocked.
    bool unblock(const RequestTraits &traits);
    // Requests with these traits were answered: what is blocked for other traits as well stays blocked for those.
    // Returns the sets of traits that are blocked no more.
    std::vector<RequestTraits> onServed(const RequestTraits &served);
    // Answers count for a trait if their requests begin after it was first watched.
    void watch(const RequestTraits &traits, Instant now);
    void expire(Instant now);

    // Nothing is blocked or watched, as on any day without crashes, so that no request need be examined.
    bool isEmpty() const
    {
        return this->blocks.empty() && this->watched.empty();
    }
    // Whether this request may be sent although it is blocked, as a trial. For one host of the fleet.
    bool takeTrial(const RequestTraits &traits, Instant now);
    // The trial was not sent and has shown nothing, so another one may be made.
    void returnTrial(const RequestTraits &traits, Instant now);
    // How long requests with these traits are blocked; empty if they are not.
    std::optional<Duration> blockedFor(const RequestTraits &traits, Instant now) const;
    // Those of the traits that were watched when the request began.
    RequestTraits watchedOf(const RequestTraits &traits, Instant begun) const;
    // With the time at which each ends.
    std::vector<std::pair<RequestTraits, Instant>> all() const;
    std::size_t size() const
    {
        return this->blocks.size();
    }

private:
    struct Watch {
        Instant since;
        Instant until;
    };

    struct Block {
        Instant until;
        Instant trialDue;
        Duration trialInterval;
    };
    using Blocks = std::map<RequestTraits, Block>;

    static bool isMatch(const Blocks::value_type &block, const RequestTraits &traits, Instant now);

    Options options;
    Blocks blocks;
    std::map<RequestTrait, Watch> watched;
};

} // namespace fescuesill
