#include "promise/cancellation.h"

#include <algorithm>

// Failure: the DELETE or its reply is lost, and a place of the twenty that a writing engine has is held for a caller
// that has gone. It shows as an engine that is full and writes for nobody. Cancelling is idempotent, so it is repeated
// until the engine says that the stream is gone; 404 says so too. The end after giveUpAfter is not a hole: OrphanFinder
// works from the engine's own list, whoever forgot the stream.

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
