// Cost is the share of the cell's time that a request takes, so a cell that works at its nominal speed places one
// second of cost each second. The measured rate corrects this for engines that are slower, caches that help, places
// that stand empty. Each rank has an Admission of its own, so the rate of a less urgent rank is what the more urgent
// ones leave to it. It is measured only between two placings with work left waiting: an idle cell's rate says nothing.
//
// Retry-After. Load: far more callers than capacity, all refused, all coming back. Harm prevented: told the same time
// they come back together and are refused together. Refused callers are given consecutive places in a virtual queue
// that empties at the measured rate: the time told is when the work now waiting and that of those told earlier would be
// done. It is an estimate, not a reservation.

#include "decide/admission.h"

#include <algorithm>

namespace fescuesill
{

constexpr double slowestRate = 0.01; // a cell that places nothing at all would promise times without end
constexpr double fastestRate = 20;

void Admission::onPlaced(Duration cost, bool waiting, Instant now)
{
    if (this->lastPlaced) {
        this->saturatedTime += now - *this->lastPlaced;
        this->placedInWindow += cost;
    }
    if (this->saturatedTime >= this->options.window) {
        const double rate =
            static_cast<double>(this->placedInWindow.count()) / static_cast<double>(this->saturatedTime.count());
        this->measuredRate = std::clamp((this->measuredRate + rate) / 2, slowestRate, fastestRate);
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
    this->promisedUntil = std::max(this->promisedUntil, queueEnd);
    this->promisedUntil = std::min(this->promisedUntil, now + this->options.latest);
    const Duration wait = this->promisedUntil - now;
    this->promisedUntil += this->expectedWait(cost);
    return std::clamp(wait, this->options.soonest, this->options.latest);
}

} // namespace fescuesill
