#include "promise/cancellation.h"

#include <algorithm>

// If the DELETE or its reply is lost, one of the twenty slots of a decode engine stays occupied for a caller that has
// disconnected, until the engine is full of streams that nobody reads. Cancellation is idempotent, so it is repeated
// until the engine confirms that the stream no longer exists; 404 confirms this too. Giving up after giveUpAfter leaks
// no stream: OrphanFinder works from the engine's own list, independently of which entry lost track of the stream.

namespace fescuesill
{

Cancellation::Cancellation(Options options, Instant now)
    : options(options)
    , startedAt(now)
    , wait(options.initialWait)
{
}

CancelStep Cancellation::start() const
{
    return {CancelStep::Delete, Duration(0)};
}

CancelStep Cancellation::onConfirmed()
{
    return {CancelStep::Confirmed, Duration(0)};
}

CancelStep Cancellation::onFailed(Instant now)
{
    if (now - this->startedAt >= this->options.giveUpAfter) {
        return {CancelStep::LeaveToOwner, Duration(0)};
    }
    const Duration pause = this->wait;
    this->wait = std::min(2 * this->wait, this->options.maxWait);
    return {CancelStep::Wait, pause};
}

CancelStep Cancellation::onTimerExpired() const
{
    return {CancelStep::Delete, Duration(0)};
}

} // namespace fescuesill
