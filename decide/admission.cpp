// Cost is the share of the cell's time that a request takes, so a cell that works at its nominal speed places one
// second of cost per second. The measured rate corrects this for slower engines, cache hits and idle slots. Each rank
// has its own Admission, so the rate of a less urgent rank is what the more urgent ranks leave to it. The rate is
// measured only between two placements with work left waiting, because the rate of an idle cell reflects demand and not
// capacity.
//
// Retry-After: when callers far beyond the capacity are refused and all are given the same time, they retry together
// and are refused together. Refused callers are therefore given consecutive positions in a virtual queue that drains at
// the measured rate: each gets the time at which the work waiting now and that of the callers refused before it would
// be done. The time is an estimate, not a reservation.

#include "decide/admission.h"

#include <algorithm>

namespace fescuesill
{

constexpr double minRate = 0.01; // bounds the estimates of a cell that places nothing
constexpr double maxRate = 20;

void Admission::onPlaced(Duration cost, bool waiting, Instant now)
{
    if (this->lastPlaced) {
        this->saturatedTime += now - *this->lastPlaced;
        this->placedInWindow += cost;
    }
    if (this->saturatedTime >= this->options.window) {
        const double rate =
            static_cast<double>(this->placedInWindow.count()) / static_cast<double>(this->saturatedTime.count());
        this->measuredRate = std::clamp((this->measuredRate + rate) / 2, minRate, maxRate);
        this->saturatedTime = Duration(0);
        this->placedInWindow = Duration(0);
    }
    this->lastPlaced.reset();
    if (waiting) {
        this->lastPlaced = now;
    }
}

Duration Admission::expectedWait(Duration backlog) const
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(backlog.count()) / this->measuredRate));
}

Duration Admission::retryAfter(Duration backlog, Duration cost, Instant now)
{
    const Instant queueEnd = now + this->expectedWait(backlog);
    this->retryQueueEnd = std::max(this->retryQueueEnd, queueEnd);
    this->retryQueueEnd = std::min(this->retryQueueEnd, now + this->options.maxRetryAfter);
    const Duration wait = this->retryQueueEnd - now;
    this->retryQueueEnd += this->expectedWait(cost);
    return std::clamp(wait, this->options.minRetryAfter, this->options.maxRetryAfter);
}

} // namespace fescuesill
