#include "decide/plainretry.h"

// Load: an endpoint that is down or full while the others of the service are not. Harm prevented: a caller that hears
// of one endpoint's trouble. The next try goes to the next endpoint, so an endpoint is asked twice only when all were
// asked once. The bound on tries keeps a caller from waiting for one deadline after another.
//
// Load: all endpoints of the service fail. Harm prevented: an outage that our retries double. Each try after the first
// is paid for out of a budget that only answers fill.
//
// "Not run" is said only where no try sent a byte. An endpoint that answers 503 has had the whole call, and what it did
// with it is its own matter: that was taken for "not run" before, which nobody can hold to.

namespace fescuesill
{

PlainRetry::PlainRetry(std::size_t endpoints, std::size_t attempts)
    : endpoints(endpoints)
    , attempts(attempts)
{
}

std::optional<std::size_t> PlainRetry::first() const
{
    return this->endpoints == 0 || this->attempts == 0 ? std::nullopt : std::optional<std::size_t>(0);
}

std::optional<std::size_t> PlainRetry::on(TryOutcome outcome, RetryBudget &budget)
{
    ++this->tries;
    if (outcome == TryOutcome::Answered) {
        this->answered = true;
        budget.onSuccess();
        return std::nullopt;
    }
    this->mayHaveRun = this->mayHaveRun || outcome != TryOutcome::NeverSent;
    if (this->tries >= this->attempts || !budget.take()) {
        return std::nullopt;
    }
    return this->tries % this->endpoints;
}

bool PlainRetry::isAnswered() const
{
    return this->answered;
}

RunState PlainRetry::run() const
{
    return this->mayHaveRun ? RunState::MayHaveRun : RunState::NotRun;
}

} // namespace fescuesill
