#include "programs/gateway/forwarding.h"

#include "wire/clock.h"
#include "wire/log.h"
#include "wire/refusaljson.h"

#include <fmt/format.h>

namespace fescuesill
{

const char *nameOf(NoRetry reason)
{
    switch (reason) {
    case NoRetry::None:
        return "none";
    case NoRetry::CallerGone:
        return "caller_gone";
    case NoRetry::NoTime:
        return "no_time";
    case NoRetry::NotRepeatable:
        return "not_repeatable";
    case NoRetry::Attempts:
        return "attempts";
    case NoRetry::Budget:
        return "budget";
    case NoRetry::NoPath:
        return "no_path";
    case NoRetry::Blocked:
        return "blocked";
    case NoRetry::Stopping:
        return "stopping";
    }
    return "none";
}

Instant ForwardedCall::deadline() const
{
    const Duration limit =
        this->head.patience ? std::min(*this->head.patience, this->route.timeout) : this->route.timeout;
    return this->arrival + limit;
}

Duration ForwardedCall::timeLeft() const
{
    return this->deadline() - steadyNow();
}

ForwardedCaller ForwardedCall::caller() const
{
    return {this->workspace != nullptr ? this->workspace->id : WorkspaceId(), this->isKeyOurs};
}

int ForwardedCall::rank() const
{
    return this->workspace != nullptr ? this->workspace->rank.value_or(this->route.rank) : this->route.rank;
}

QuotaUnits ForwardedCall::cost() const
{
    return this->workspace != nullptr ? costOf(*this->workspace, this->head.tokens()) : QuotaUnits();
}

void ForwardedCall::refuseCredit(const CreditDecision &decision, const asio::yield_context &yield) const
{
    const bool isOverQuota = decision.reason == RejectReason::OverQuota;
    this->services.metrics.onWorkspaceCall(this->caller().workspace, isOverQuota ? "over_quota" : "unaccounted");
    if (isOverQuota) {
        this->refuse({RefusalCode::QuotaExceeded, RunState::NotRun, "the quota is used up", decision.wait},
                     NoRetry::None, yield);
    } else {
        this->refuse({RefusalCode::Overloaded, RunState::NotRun, "the quota can't be checked now", decision.wait},
                     NoRetry::None, yield);
    }
}

bool ForwardedCall::maySend() const
{
    return this->services.draining.sends(steadyNow(), this->deadline());
}

void ForwardedCall::refuseStopping(const asio::yield_context &yield) const
{
    this->refuse(stoppingRefusal(), NoRetry::Stopping, yield);
}

void ForwardedCall::refuseBlocked(Duration blockedFor, const asio::yield_context &yield) const
{
    this->refuse({RefusalCode::Blocked, RunState::NotRun, "requests like this one crash endpoints", blockedFor},
                 NoRetry::None, yield);
}

void ForwardedCall::refuse(const Refusal &refusal, NoRetry noRetry, const asio::yield_context &yield) const
{
    this->services.metrics.onRefused(refusal);
    Log::info("refused",
              {{"request", this->head.id.value()},
               {"route", this->route.name},
               {"config", this->version.value()},
               {"workspace", this->caller().workspace.value()},
               {"code", codeName(refusal.code)},
               {"run", runStateName(refusal.run)},
               {"reason", refusal.text},
               {"no_retry", nameOf(noRetry)},
               {"retry_after_ms", refusal.retryAfter ? refusal.retryAfter->count() / 1000 : -1},
               {"registry", this->services.fleet.registryVersion()},
               {"registry_age_ms", this->services.fleet.registryAge(steadyNow()).count() / 1000},
               {"after_ms", (steadyNow() - this->arrival).count() / 1000}});
    sendRefusal(this->reply, this->head.id, refusal, yield);
}

Refusal stoppingRefusal()
{
    Refusal refusal = drainingRefusal();
    refusal.retryAfter = retryAfterWhenStopping;
    return refusal;
}

void sendRefusal(HttpReply &reply, const RequestId &id, const Refusal &refusal, const asio::yield_context &yield)
{
    std::vector<HttpHeader> headers = {{"Content-Type", "application/json"}, {"X-Request-Id", id.value()}};
    if (refusal.retryAfter) {
        const double seconds = std::chrono::duration<double>(*refusal.retryAfter).count();
        headers.push_back({"Retry-After", fmt::format("{:.2f}", seconds)});
    }
    if (refusal.code == RefusalCode::UnknownKey) {
        headers.push_back(keyChallenge());
    }
    reply.forward(httpStatus(refusal.code), refusalJson(refusal, id), headers, yield);
}

} // namespace fescuesill
