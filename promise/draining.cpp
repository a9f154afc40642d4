#include "promise/draining.h"

#include <algorithm>

// Order matters. First the health check fails while new requests are still admitted: the load balancer needs some
// seconds to notice, and until then it sends callers here that an early refusal would turn away for no reason. Then no
// new request is admitted and running ones are completed. Past the limit, streams are ended with their resume token,
// with which any other entry continues them; the engine keeps generating meanwhile. A request with a single unstreamed
// reply cannot be moved, so the process waits for it; only a caller of isOver() ends it. Finally, work that outlives a
// request is completed: a ledger row without its answer would leave a booking unresolved, and an unconfirmed
// cancellation would leave engine memory allocated.
//
// Some supervisors kill the process at the limit. A request that has waited until half of the time is over is then
// refused, also if an endpoint becomes free: sent so late, it would be cut off while it runs, and its caller could not
// know whether it ran. A request whose deadline comes before the limit is answered in any case.

namespace fescuesill
{

Draining::Draining(Options options)
    : options(options)
{
}

void Draining::start(Instant now)
{
    if (!this->started) {
        this->started = now;
    }
}

void Draining::onWork(DrainWork newWork)
{
    this->work = newWork;
}

DrainPhase Draining::phase(Instant now) const
{
    if (!this->started) {
        return DrainPhase::Serving;
    }
    const Duration since = now - *this->started;
    if (since < this->options.announce) {
        return DrainPhase::Announcing;
    }
    if (this->work.requests == 0 && this->work.cells == 0 && this->work.duties == 0) {
        return DrainPhase::Finished;
    }
    return since < this->options.limit ? DrainPhase::Finishing : DrainPhase::Moving;
}

bool Draining::isReady() const
{
    return !this->started;
}

bool Draining::admits(Instant now) const
{
    const DrainPhase current = this->phase(now);
    return current == DrainPhase::Serving || current == DrainPhase::Announcing;
}

bool Draining::sends(Instant now, Instant deadline) const
{
    if (!this->started) {
        return true;
    }
    const Instant lastSend = *this->started + std::max<Duration>(this->options.announce, this->options.limit / 2);
    return now < lastSend || deadline <= *this->started + this->options.limit - this->options.lastAnswers;
}

bool Draining::isOver(Instant now) const
{
    return this->started && now >= *this->started + this->options.limit - this->options.lastAnswers;
}

bool Draining::handsOverCells() const
{
    return this->started.has_value();
}

bool Draining::moves(Instant now) const
{
    return this->phase(now) == DrainPhase::Moving;
}

bool Draining::mayExit(Instant now) const
{
    return this->phase(now) == DrainPhase::Finished;
}

Refusal drainingRefusal()
{
    return {RefusalCode::Draining, RunState::NotRun, "this host is stopping", Duration(0)};
}

} // namespace fescuesill
