#pragma once

// Whether a waiting request can still meet its target, and when a refused caller should come back.
//
//     Admission admission(Admission::Options{});
//     admission.onPlaced(cost, now);
//     admission.expectedWait(queue.backlog(rank));           // until its prefill starts
//     admission.retryAfter(backlog, cost, now);

#include "fescuesill/units.h"

#include <optional>

namespace fescuesill
{

class Admission
{
public:
    struct Options {
        // Weight of time in the measured rate of placing.
        Duration window{1s};
        // Retry-After: no sooner than a caller's round trip is worth, no later than a person waits before asking anew.
        Duration soonest{500ms};
        Duration latest{30s};
    };

    explicit Admission(const Options &options)
        : options(options)
    {
    }

    // Work placed. `waiting`: more was left in the queue, so the rate shows what the cell can do, not what was asked of
    // it.
    void onPlaced(Duration cost, bool waiting, Instant now);
    // Cost placed for each second of time, as measured while work waited; 1 until then.
    double rate() const
    {
        return this->measuredRate;
    }
    Duration expectedWait(Duration backlog) const;
    // When a request of this cost, refused now behind this backlog, should come back. Later ones are told later times.
    Duration retryAfter(Duration backlog, Duration cost, Instant now);

private:
    Options options;
    double measuredRate = 1;
    Duration placedInWindow{0};
    Duration saturatedTime{0};
    std::optional<Instant> lastPlaced;
    Instant promisedUntil; // the virtual queue of those told to come back ends here
};

} // namespace fescuesill
