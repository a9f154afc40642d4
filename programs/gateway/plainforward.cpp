// Each call uses a new connection. On a reused one, it is unknown whether the endpoint closed it before or after it
// accepted the call, and bytes that an endpoint sends after a response would be taken for the next response.
//
// A call is retried at another endpoint only if that is safe: the call is repeatable, no byte of it was sent, or the
// endpoint reported that it did not run it. The route limits the attempts of one call, and the retry budget limits the
// retries to a service.

#include "programs/gateway/plainforward.h"

#include "wire/clock.h"
#include "wire/log.h"

#include <algorithm>
#include <fmt/format.h>

namespace fescuesill
{
namespace
{

// A full endpoint has about two dozen calls of 15 ms queued, which complete in less than this.
constexpr Duration retryAfterWhenFull{100ms};
constexpr Duration retryAfterWhenNone{1s}; // without any endpoint; endpoints come and go within seconds
constexpr int maxConnectAttempts = 4; // to unreachable endpoints, for one call
constexpr int firstServerError = 500;

} // namespace

bool PlainForward::takeSlot(EndpointId &chosen, const std::vector<EndpointCandidate> &candidates,
                            const asio::yield_context &yield)
{
    this->slot = {};
    if (!this->call.services.slots.isLimited(chosen)) {
        return true;
    }
    auto ordered = this->call.services.fleet.picker().order(candidates, steadyNow());
    std::stable_partition(ordered.begin(), ordered.end(), [&](const EndpointId &id) { return id == chosen; });
    const Instant onTimeUntil = this->call.arrival + this->call.route.target;
    this->slot = this->call.services.slots.take(
        {0, std::move(ordered), this->call.rank(), onTimeUntil, this->call.deadline()}, this->abort, yield);
    if (!this->slot.endpoint()) {
        this->slotDeniedFor = this->slot.retryAfter();
        return false;
    }
    chosen = *this->slot.endpoint();
    return true;
}

std::optional<EndpointRecord> PlainForward::choose(const asio::yield_context &yield)
{
    FleetView &fleet = this->call.services.fleet;
    auto candidates = this->untried();
    while (auto chosen = fleet.picker().pick(candidates, steadyNow())) {
        if (!this->takeSlot(*chosen, candidates, yield)) {
            return std::nullopt;
        }
        const Duration wait = this->call.services.permits.take(*chosen, yield);
        if (this->abort.isAborted()) {
            return std::nullopt;
        }
        if (wait > 0ms) {
            this->limitedFor = std::min(this->limitedFor.value_or(wait), wait);
        } else if (auto endpoint = fleet.usable(*chosen)) { // it may have left while the permit was requested
            return endpoint;
        }
        candidates.erase(
            std::remove_if(candidates.begin(), candidates.end(),
                           [&chosen](const EndpointCandidate &candidate) { return candidate.id == *chosen; }),
            candidates.end());
    }
    this->slot = {};
    return std::nullopt;
}

std::vector<EndpointCandidate> PlainForward::untried() const
{
    auto candidates = this->call.services.fleet.plainCandidates(this->call.service);
    const auto wasTried = [this](const EndpointCandidate &candidate) {
        return std::find(this->tried.begin(), this->tried.end(), candidate.id) != this->tried.end();
    };
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), wasTried), candidates.end());
    return candidates;
}

// A repeatable call abandons a silent endpoint while a response from another one can still meet the target. The last
// attempt gets all remaining time, and so does one that no other endpoint could repeat.
Duration PlainForward::tryLimit() const
{
    const Duration left = this->call.timeLeft();
    const bool isLast =
        this->sends + 1 >= this->call.route.attempts || this->call.services.fleet.budget(this->call.service).left() < 1;
    if (this->call.route.kind != CallKind::Repeatable || isLast || this->untried().empty()) {
        return left;
    }
    return std::min(left, this->call.route.target * 2 / 3);
}

PlainForward::SendResult PlainForward::send(const EndpointRecord &endpoint, const asio::yield_context &yield)
{
    EndpointPicker &picker = this->call.services.fleet.picker();
    const Instant begin = steadyNow();
    const HttpRequest request =
        forwardedRequest(this->call.http, this->call.caller(), endpoint.id, this->call.timeLeft());
    picker.onSent(endpoint.id);
    const auto ended = [&](EndpointOutcome outcome) {
        this->slot.end(outcome == EndpointOutcome::Answered || outcome == EndpointOutcome::ErrorResponse,
                       steadyNow() - begin);
        picker.onEnded(endpoint.id, this->abort.isAborted() ? EndpointOutcome::Abandoned : outcome, steadyNow() - begin,
                       steadyNow());
    };
    HttpResponse response;
    try {
        response = this->call.services.client.call(endpoint.address, request,
                                                   {this->tryLimit(), Reuse::Never, &this->abort}, yield);
    } catch (const HttpError &error) {
        this->lastFault = error.what();
        if (error.fault() == HttpFault::NoPath) {
            ended(EndpointOutcome::Abandoned);
            return SendResult::NoPath;
        }
        ended(EndpointOutcome::Failed);
        if (error.isResetBeforeReply() && !this->abort.isAborted()) {
            this->call.services.slots.onOverload(endpoint.id);
        }
        if (error.isKnownNotSent()) {
            return SendResult::NeverSent;
        }
        if (this->abort.isAborted()) {
            this->call.services.crashes.onAbandoned({endpoint, this->call.http, begin, std::nullopt});
        } else if (mayHaveEnded(error)) {
            this->reportCutShort(endpoint, begin, yield);
        } else if (wasSilent(error)) {
            this->call.services.crashes.onSilent({endpoint, this->call.http, begin, std::nullopt});
        }
        return SendResult::Lost;
    }
    this->call.services.notices.onAnswer(endpoint, response);
    AnswerHead head = readAnswerHead(response, this->call.head.id);
    if (head.isForThisCall) {
        this->call.services.permits.onAnswer(endpoint.id, head.limit, begin);
    }
    if (head.reportsNotRun) {
        this->lastFault = "the endpoint did not take it";
        ended(EndpointOutcome::Full);
        this->call.services.slots.onOverload(endpoint.id);
        return SendResult::ReportedNotRun;
    }
    if (!head.isForThisCall || head.isEncoded) {
        this->lastFault = "not the answer to this call";
        ended(EndpointOutcome::Failed);
        return SendResult::Lost;
    }
    if (response.framing == BodyFraming::Connection && !this->hasOutlived(endpoint, begin, yield)) {
        this->lastFault = endpoint.id.value() + " ended with its answer";
        ended(EndpointOutcome::Failed);
        return SendResult::Lost;
    }
    const bool isError = head.status >= firstServerError;
    if (!isError) { // an endpoint may fail a call before it comes to what would crash it
        this->call.services.crashes.onServed(this->call.http, begin);
    }
    if (isError) {
        this->lastFault = fmt::format("{} answered {}", endpoint.id.value(), head.status);
    }
    ended(isError ? EndpointOutcome::ErrorResponse : EndpointOutcome::Answered);
    this->answered = Answer{endpoint.id, std::move(response), std::move(head)};
    return SendResult::Answered;
}

// A call that may be retried waits for the result, so that it is not sent to one more endpoint if it is to be blocked.
void PlainForward::reportCutShort(const EndpointRecord &endpoint, Instant begun, const asio::yield_context &yield)
{
    CrashGuard &crashes = this->call.services.crashes;
    const BrokenAnswer answer{endpoint, this->call.http, begun, std::nullopt};
    const Duration left = this->call.timeLeft();
    if (this->call.route.kind == CallKind::Repeatable && left > 0ms) {
        crashes.onBrokenOff(answer, left, yield);
    } else {
        crashes.onBrokenOff(answer);
    }
}

bool PlainForward::hasOutlived(const EndpointRecord &endpoint, Instant begun, const asio::yield_context &yield)
{
    const auto &services = this->call.services;
    return services.crashes.hasOutlived({endpoint, this->call.http, begun, std::nullopt},
                                        services.fleet.isStaying(endpoint.id), this->call.timeLeft(), yield);
}

std::optional<NoRetry> PlainForward::claimRetry(SendResult sent)
{
    if (this->isGraceOver) {
        return sent == SendResult::Answered ? NoRetry::None : NoRetry::Stopping;
    }
    if (this->abort.isAborted()) {
        return NoRetry::CallerGone;
    }
    if (this->call.timeLeft() <= 0ms) {
        return NoRetry::NoTime;
    }
    if (sent == SendResult::NoPath) {
        return NoRetry::NoPath;
    }
    if (!this->call.maySend()) {
        return sent == SendResult::Answered ? NoRetry::None : NoRetry::Stopping;
    }
    if (sent == SendResult::NeverSent) {
        const bool mayConnect = this->tried.size() < static_cast<std::size_t>(maxConnectAttempts);
        return mayConnect ? std::nullopt : std::optional(NoRetry::Attempts);
    }
    const bool isFailure =
        sent == SendResult::Lost || (sent == SendResult::Answered && this->answered->head.status >= firstServerError);
    if (sent == SendResult::Answered && !isFailure) {
        return NoRetry::None;
    }
    if (isFailure && this->call.route.kind != CallKind::Repeatable) {
        return NoRetry::NotRepeatable;
    }
    if (this->sends >= this->call.route.attempts) {
        return NoRetry::Attempts;
    }
    return this->call.services.fleet.budget(this->call.service).take() ? std::nullopt : std::optional(NoRetry::Budget);
}

void PlainForward::answer(const asio::yield_context &yield)
{
    const Answer &answer = *this->answered;
    this->call.services.metrics.onPlainEnd("answered", steadyNow() - this->call.arrival);
    Log::info("forwarded",
              {{"request", this->call.head.id.value()},
               {"route", this->call.route.name},
               {"config", this->call.version.value()},
               {"endpoint", answer.endpoint.value()},
               {"sends", this->sends},
               {"tried", static_cast<std::uint64_t>(this->tried.size())},
               {"last_fault", this->lastFault},
               {"status", answer.head.status},
               {"framing", nameOf(answer.response.framing)},
               {"no_retry", nameOf(this->noRetry)},
               {"registry", this->call.services.fleet.registryVersion()},
               {"took_ms", (steadyNow() - this->call.arrival).count() / 1000}});
    this->call.reply.forward(answer.head.status, answer.response.body, answer.head.headers, yield);
}

void PlainForward::refuse(SendResult last, const asio::yield_context &yield)
{
    if (this->mayHaveRun) {
        const bool isLate = this->isGraceOver || this->call.timeLeft() <= 0ms;
        if (this->isGraceOver) {
            this->lastFault = "this host stops before the answer";
        }
        this->call.refuse({isLate ? RefusalCode::OutcomeUnknown : RefusalCode::EndpointFailed, RunState::MayHaveRun,
                           this->lastFault, std::nullopt},
                          this->noRetry, yield);
        return;
    }
    if (const auto blocked = this->call.blockedFor()) {
        this->call.refuseBlocked(*blocked, yield);
        return;
    }
    if (!this->call.maySend()) {
        this->call.refuseStopping(yield);
        return;
    }
    if (this->slotDeniedFor) {
        this->call.refuse({RefusalCode::Overloaded, RunState::NotRun, "no slot of an overloaded endpoint in time",
                           *this->slotDeniedFor},
                          this->noRetry, yield);
        return;
    }
    Duration retryAfter = last == SendResult::ReportedNotRun ? retryAfterWhenFull : retryAfterWhenNone;
    std::string reason = this->lastFault.empty() ? "no endpoint takes calls" : this->lastFault;
    if (this->limitedFor && this->lastFault.empty()) {
        retryAfter = std::max(retryAfterWhenFull, *this->limitedFor);
        reason = "all endpoints are at their limits";
    }
    if (last == SendResult::NoPath) {
        retryAfter = retryAfterWithoutPath;
    }
    if (this->lastFault.empty() && this->call.services.fleet.doAllRest(this->call.service, EndpointPart::Plain)) {
        retryAfter = retryAfterInRest;
        reason = "all endpoints have turned this host away";
    }
    this->call.refuse({RefusalCode::Overloaded, RunState::NotRun, reason, retryAfter}, this->noRetry, yield);
}

void PlainForward::logCallerGone() const
{
    const auto &patience = this->call.head.patience;
    Log::info("caller_gone",
              {{"request", this->call.head.id.value()},
               {"route", this->call.route.name},
               {"config", this->call.version.value()},
               {"endpoint", this->tried.empty() ? std::string() : this->tried.back().value()},
               {"sends", this->sends},
               {"last_fault", this->lastFault},
               {"patience_ms", patience ? patience->count() / 1000 : -1},
               {"registry", this->call.services.fleet.registryVersion()},
               {"took_ms", (steadyNow() - this->call.arrival).count() / 1000}});
}

void PlainForward::finish(SendResult last, const asio::yield_context &yield)
{
    this->call.reply.onCallerGone({});
    if (!this->mayHaveRun && !this->answered) {
        this->call.services.credits.refund(this->call.caller().workspace, this->call.cost());
    }
    if (this->hasCallerGone()) {
        this->call.services.metrics.onPlainEnd("caller_gone", steadyNow() - this->call.arrival);
        this->logCallerGone();
        throw CallerGone();
    }
    if (this->answered) {
        this->answer(yield);
    } else {
        this->call.services.metrics.onPlainEnd("refused", steadyNow() - this->call.arrival);
        this->refuse(last, yield);
    }
}

void PlainForward::run(const asio::yield_context &yield)
{
    this->call.reply.onCallerGone([this] { this->abort.abort(); });
    if (this->call.workspace != nullptr) {
        const CreditDecision credit =
            this->call.services.credits.take(this->call.workspace->id, this->call.cost(), yield);
        if (credit.wait > 0ms) {
            this->call.reply.onCallerGone({});
            this->call.services.metrics.onPlainEnd("refused", steadyNow() - this->call.arrival);
            this->call.refuseCredit(credit, yield);
            return;
        }
    }
    this->call.services.fleet.budget(this->call.service).onSuccess();
    SendResult last = SendResult::NeverSent;
    while (const auto endpoint = this->choose(yield)) {
        if (this->call.blockedFor(this->sends > 0)) { // since it arrived, or was last sent
            this->noRetry = NoRetry::Blocked;
            break;
        }
        if (!this->call.maySend()) { // since it has waited
            this->noRetry = NoRetry::Stopping;
            break;
        }
        this->tried.push_back(endpoint->id);
        if (this->sends > 0) {
            this->call.services.metrics.onRetry();
        }
        last = this->send(*endpoint, yield);
        const bool wasSent = last != SendResult::NeverSent && last != SendResult::NoPath;
        this->sends += wasSent ? 1 : 0;
        this->mayHaveRun = this->mayHaveRun || last == SendResult::Lost;
        if (const auto reason = this->claimRetry(last)) {
            this->noRetry = *reason;
            break;
        }
    }
    this->finish(last, yield);
}

} // namespace fescuesill
