#pragma once

// The requests that a host refuses since they crash endpoints, and the traits whose answers it reports.
//
//     RequestBlocks blocks(RequestBlocks::Options{});
//     blocks.block(traits, 10min, Trials::Made, now);   // requests that have all of these
//     if (const auto left = blocks.blockedFor(traitsOfCall, now)) { ... refuse; retry after *left ... }
//     blocks.watch({suspect}, now);
//     const RequestTraits cleared = blocks.watchedOf(traitsOfCall, begun);   // once the call was answered in full

#include "decide/requesttrait.h"
#include "fescuesill/units.h"

#include <map>
#include <optional>
#include <vector>

namespace fescuesill
{

// Whether requests that are blocked are sent once in a while, to see whether they still crash endpoints.
enum class Trials {
    Made,
    Seldom, // few callers depend on what is blocked
    None,
};

// What is blocked, as one host tells another.
struct RequestBlock {
    RequestTraits traits; // sorted
    Duration left{0};
    Duration untilTrial{0}; // negative if it is due
    Duration trialInterval{0}; // zero if no trials are made
};

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
        Duration firstSeldomTrial{2min};
        int trialFactor = 6;
    };

    explicit RequestBlocks(const Options &given)
        : options(given)
    {
    }

    // `traits`: sorted. Returns whether it is new; if not, its next trial stays due when it was.
    bool block(const RequestTraits &traits, Duration duration, Trials trials, Instant now);
    // The same, with the trials that another host makes.
    bool adopt(const RequestBlock &block, Instant now);
    // Returns whether it was blocked.
    bool unblock(const RequestTraits &traits);
    // Unblocks all but these sets.
    void keepOnly(const std::vector<RequestTraits> &sets);
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
    // The traits whose answers are reported.
    RequestTraits watching(Instant now) const;
    std::vector<RequestBlock> all(Instant now) const;
    // Those that block requests with these traits.
    std::vector<RequestBlock> matching(const RequestTraits &traits, Instant now) const;
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
        Duration trialInterval; // zero if no trials are made
    };
    using Blocks = std::map<RequestTraits, Block>;

    // Drops the block that ends first if there are too many.
    void limitBlocks();
    static RequestBlock stateOf(const Blocks::value_type &block, Instant now);
    static bool isMatch(const Blocks::value_type &block, const RequestTraits &traits, Instant now);

    Options options;
    Blocks blocks;
    std::map<RequestTrait, Watch> watched;
};

} // namespace fescuesill
