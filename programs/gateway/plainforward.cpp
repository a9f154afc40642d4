// A call goes out on a connection of its own: whether an endpoint closed a kept connection before or after it took the
// call cannot be told, and bytes that an endpoint sends after an answer would be read as the answer to the next call.
//
// Another endpoint is asked only where that is harmless: the call may be repeated, or not one byte of it left, or the
// endpoint said that it did not run it. The route bounds the endpoints that one call may reach, and the budget the
// retries of a service.

#include "programs/gateway/plainforward.h"

#include "wire/clock.h"
#include "wire/log.h"

#include <algorithm>

namespace fescuesill
{
namespace
{

// A full endpoint has some two dozen calls of 15 ms before its slots, which drain in under this.
constexpr Duration comeBackWhenFull{100ms};
constexpr Duration comeBackWhenNone{1s}; // no endpoint at all: they come and go within seconds
constexpr int mostConnects = 4; // endpoints that could not be reached, one after the other
constexpr int firstServerError = 500;

} // namespace

std::optional<EndpointRecord> PlainForward::choose(Instant now)
{
    FleetView &fleet = this->call.services.fleet;
    auto candidates = fleet.plainCandidates(this->call.service);
    const auto wasTried = [this](const EndpointCandidate &candidate) {
        return std::find(this->tried.begin(), this->tried.end(), candidate.id) != this->tried.end();
    };
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), wasTried), candidates.end());
    const auto chosen = fleet.picker().pick(candidates, now);
    return chosen ? fleet.usable(*chosen) : std::nullopt;
}

// A call that may be repeated leaves an endpoint that stays silent while an answer from another one can still meet the
// target; the last endpoint gets all the time there is.
Duration PlainForward::tryLimit() const
{
    const Duration left = this->call.timeLeft();
    const bool isLast =
        this->sends + 1 >= this->call.route.attempts || this->call.services.fleet.budget(this->call.service).left() < 1;
    if (this->call.route.kind != CallKind::Repeatable || isLast) {
        return left;
    }
    return std::min(left, this->call.route.target * 2 / 3);
}

PlainForward::Sent PlainForward::send(const EndpointRecord &endpoint, const asio::yield_context &yield)
{
    EndpointPicker &picker = this->call.services.fleet.picker();
    const Instant begin = steadyNow();
    const HttpRequest request = forwardedRequest(this->call.http, endpoint.id, this->call.timeLeft());
    picker.onSent(endpoint.id);
    const auto ended = [&](EndpointOutcome outcome) {
        picker.onEnded(endpoint.id, this->abort.isAborted() ? EndpointOutcome::Abandoned : outcome, steadyNow() - begin,
                       steadyNow());
    };
    HttpResponse response;
    try {
        response = this->call.services.client.call(endpoint.address, request,
                                                   {this->tryLimit(), Reuse::Never, &this->abort}, yield);
    } catch (const HttpError &error) {
        this->lastFault = error.what();
        ended(EndpointOutcome::Failed);
        return error.isKnownNotSent() ? Sent::NeverSent : Sent::Lost;
    }
    AnswerHead head = readAnswerHead(response, this->call.head.id);
    if (head.saysNotRun) {
        this->lastFault = "the endpoint did not take it";
        ended(EndpointOutcome::Full);
        return Sent::SaidNotRun;
    }
    if (!head.isForThisCall || head.isEncoded) {
        this->lastFault = "not the answer to this call";
        ended(EndpointOutcome::Failed);
        return Sent::Lost;
    }
    ended(head.status >= firstServerError ? EndpointOutcome::ErrorAnswer : EndpointOutcome::Answered);
    this->answered = Answer{endpoint.id, std::move(response), std::move(head)};
    return Sent::Answered;
}

bool PlainForward::mayTryAgain(Sent sent)
{
    if (this->abort.isAborted() || this->call.timeLeft() <= 0ms) {
        return false;
    }
    if (sent == Sent::NeverSent) {
        return this->tried.size() < static_cast<std::size_t>(mostConnects);
    }
    const bool isRepeatable = this->call.route.kind == CallKind::Repeatable;
    const bool isFailure =
        sent == Sent::Lost || (sent == Sent::Answered && this->answered->head.status >= firstServerError);
    if (isFailure ? !isRepeatable : sent == Sent::Answered) {
        return false;
    }
    return this->sends < this->call.route.attempts && this->call.services.fleet.budget(this->call.service).take();
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
               {"took_ms", (steadyNow() - this->call.arrival).count() / 1000}});
    this->call.reply.forward(answer.head.status, answer.response.body, answer.head.headers, yield);
}

void PlainForward::refuse(Sent last, const asio::yield_context &yield)
{
    if (this->mayHaveRun) {
        const bool isLate = this->call.timeLeft() <= 0ms;
        this->call.refuse({isLate ? RefusalCode::OutcomeUnknown : RefusalCode::EndpointFailed, RunState::MayHaveRun,
                           this->lastFault, std::nullopt},
                          yield);
        return;
    }
    const Duration comeBack = last == Sent::SaidNotRun ? comeBackWhenFull : comeBackWhenNone;
    const std::string reason = this->lastFault.empty() ? "no endpoint takes calls" : this->lastFault;
    this->call.refuse({RefusalCode::Overloaded, RunState::NotRun, reason, comeBack}, yield);
}

void PlainForward::finish(Sent last, const asio::yield_context &yield)
{
    this->call.reply.onGone({});
    if (this->abort.isAborted()) {
        this->call.services.metrics.onPlainEnd("caller_gone", steadyNow() - this->call.arrival);
        Log::info("caller_gone", {{"request", this->call.head.id.value()}, {"route", this->call.route.name}});
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
    this->call.reply.onGone([this] { this->abort.abort(); });
    this->call.services.fleet.budget(this->call.service).onSuccess();
    Sent last = Sent::NeverSent;
    while (const auto endpoint = this->choose(steadyNow())) {
        this->tried.push_back(endpoint->id);
        if (this->sends > 0) {
            this->call.services.metrics.onRetry();
        }
        last = this->send(*endpoint, yield);
        this->sends += last == Sent::NeverSent ? 0 : 1;
        this->mayHaveRun = this->mayHaveRun || last == Sent::Lost;
        if (!this->mayTryAgain(last)) {
            break;
        }
    }
    this->finish(last, yield);
}

} // namespace fescuesill
