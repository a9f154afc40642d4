// How a request ends: what its caller is told, what the owner of the cell is told, and what is counted. Everything that
// an engine may still hold is settled before the caller is written to, because that write may find the caller gone.

#include "programs/entry/canceller.h"
#include "programs/entry/modelcall.h"
#include "wire/clock.h"
#include "wire/log.h"
#include "wire/refusaljson.h"

namespace fescuesill
{

void ModelCall::finishWhole(const asio::yield_context &yield)
{
    this->services.retries.onSuccess();
    if (!this->services.state.crashes().isEmpty()) {
        this->services.state.crashes().onServed(this->content);
    }
    this->placing.finished(peer::RequestOutcome::Completed, this->sink.end.output);
    this->count("completed");
    if (this->sink.isStream) {
        this->reply.finish(yield);
        return;
    }
    const bool isCut = this->sink.end.output >= this->request.maxTokens;
    this->reply.send(
        200, this->writer.whole(this->sink.text, this->sink.end, isCut ? FinishReason::Length : FinishReason::Stop),
        yield);
}

void ModelCall::finishMoved(const asio::yield_context &yield)
{
    // The stream goes on at its engine; whoever takes it over there reads from the token's place.
    this->placing.finished(peer::RequestOutcome::Failed, Tokens(this->sink.delivered.count().value()));
    this->count("moved");
    std::string out;
    const Offset last = this->sink.delivered.count() - Offset(1);
    this->writer.moved(out, ResumeTokens::eventId(this->tokenPrefix(), last));
    this->reply.write(out, yield);
    this->reply.finish(yield);
}

void ModelCall::finishGone()
{
    if (this->isRead) {
        this->services.metrics.onWasted(this->request.promptTokens, WasteCause::Cancelled);
    }
    this->count("cancelled");
    if (this->stream.isEmpty()) {
        this->placing.finished(peer::RequestOutcome::Cancelled, Tokens(0));
        return;
    }
    this->cancelStream(peer::RequestOutcome::Cancelled);
}

// The owner hears that the memory is free only when the engine has confirmed it.
void ModelCall::cancelStream(peer::RequestOutcome outcome)
{
    const auto seen = this->services.links.view();
    const CellRoute *const route = seen->findRoute(this->placing.cell());
    const auto owner = route != nullptr ? route->owner : std::nullopt;
    const Tokens output(this->sink.delivered.count().value());
    this->services.canceller->cancel({this->decodeAddress, this->stream,
                                      [&links = this->services.links, owner, request = this->id, outcome, output] {
                                          if (owner) {
                                              links.send(*owner, peer::Finished{request, outcome, output});
                                          }
                                      }});
}

void ModelCall::refuse(const Refusal &refusal, const asio::yield_context &yield)
{
    if (this->isRead) {
        this->services.metrics.onWasted(this->request.promptTokens, WasteCause::NoPlace);
    }
    const bool ran = this->sink.firstAt.has_value();
    this->count(ran ? "failed" : "refused");
    Refusal told = refusal;
    if (ran && told.run == RunState::NotRun) {
        told.run = RunState::MayHaveRun;
    }
    Log::info("refused",
              {{"request", this->id.value()},
               {"code", codeName(told.code)},
               {"run", runStateName(told.run)},
               {"reason", told.text}});
    if (!this->sink.isStarted) {
        this->reply.refuse(told, yield);
        return;
    }
    std::string out;
    this->writer.failed(out, refusalJson(told, this->id));
    this->reply.write(out, yield);
    this->reply.finish(yield);
}

void ModelCall::count(const char *outcome)
{
    ModelOutcome ended;
    ended.name = outcome;
    if (this->sink.firstAt) {
        ended.firstToken = *this->sink.firstAt - this->arrival;
        const std::int64_t steps = this->sink.delivered.count().value() - 1;
        if (steps > 0) {
            ended.perToken = (this->sink.lastAt - *this->sink.firstAt) / steps;
        }
    }
    this->services.metrics.onModelEnd(this->service.id, this->serviceClass, ended);
    Log::info("ended",
              {{"request", this->id.value()},
               {"service", this->service.id.value()},
               {"outcome", outcome},
               {"fragments", this->sink.delivered.count().value()},
               {"degraded", this->placing.isDegraded()}});
}

std::string ModelCall::tokenPrefix() const
{
    const auto tokens = this->services.state.resumeTokens();
    if (!tokens) {
        return {};
    }
    ResumeGrant grant;
    grant.engine = this->decodeEngine;
    grant.stream = this->stream;
    grant.request = this->id;
    grant.workspace = this->workspace;
    grant.expiry = sharedNow() + this->services.settings.resumeLimit;
    return tokens->mint(grant);
}

} // namespace fescuesill
