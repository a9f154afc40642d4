#include "decide/plainretry.h"

// If an endpoint is down or full while others of the service are not, the caller should not see the failure. Each
// attempt goes to the next endpoint, so an endpoint is used twice only after all were used once. The bound on attempts
// keeps a caller from waiting for one deadline after another.
//
// If all endpoints of the service fail, retries would double the load of the outage. Each attempt after the first is
// taken from a budget that only successful calls fill.
//
// "Not run" is reported only if no attempt sent a byte. An endpoint that answers 503 has received the whole call and
// may have run it, so a 503 does not count as "not run".

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
