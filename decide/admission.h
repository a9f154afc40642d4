#pragma once

// Estimates whether a waiting request can still meet its target, and computes Retry-After for refused callers.
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
        // Time constant of the measured placement rate.
        Duration window{1s};
        // Bounds of Retry-After: at least about one round trip of a caller, at most the time that a person waits before
        // trying again.
        Duration minRetryAfter{500ms};
        Duration maxRetryAfter{30s};
    };

    explicit Admission(const Options &options)
        : options(options)
    {
    }

    // Records placed work. `waiting`: more work was left in the queue, so the rate reflects the capacity of the cell
    // and not the demand.
    void onPlaced(Duration cost, bool waiting, Instant now);
    // Cost placed per second, measured while work waited; 1 until the first measurement.
    double rate() const
    {
        return this->measuredRate;
    }
    Duration expectedWait(Duration backlog) const;
    // Returns when the caller of a request of this cost, refused now behind this backlog, should retry. Successive
    // calls return later times.
    Duration retryAfter(Duration backlog, Duration cost, Instant now);

private:
    Options options;
    double measuredRate = 1;
    Duration placedInWindow{0};
    Duration saturatedTime{0};
    std::optional<Instant> lastPlaced;
    Instant retryQueueEnd; // end of the virtual queue of refused callers
};

} // namespace fescuesill
