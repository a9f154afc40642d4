#include "promise/draining.h"

// Order matters. First the health check fails, while requests are still taken: the balancer needs some seconds to
// notice, and whoever refuses at once turns callers away that no other host has been given. Then nothing new is taken,
// and what runs is served to its end. Past the limit streams are ended with their resume token, which any other entry
// reads on with; the engine keeps writing meanwhile. A request that is answered in one piece cannot be moved, so the
// process waits for it: no limit ends a request. Last, what outlives a request is done too: a ledger row without its
// answer would leave a booking in doubt, a cancellation not confirmed would leave memory held.

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
