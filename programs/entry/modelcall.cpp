// Failure: the engine that writes dies. The prompt's KV may still be held by the engine that read it, for under a
// second: then another engine decodes from it and nothing is read twice; else the prompt is read again. Either way the
// answer is generated from its start and what the caller has already is dropped, but only where the new text begins
// with the very text that the caller has: two different answers are never spliced, the stream ends with an error
// instead.
//
// Failure: a caller goes at any step. Whatever engine holds memory for it is told to stop until it confirms; a decode
// whose start got no answer may be running as well and is cancelled too.

#include "programs/entry/modelcall.h"

#include "programs/entry/canceller.h"
#include "wire/clock.h"
#include "wire/log.h"
#include "wire/refusaljson.h"

namespace fescuesill
{
namespace
{

// Beyond a class's patience: the way to the owner and back, and its own lateness.
constexpr Duration ownerMargin{500ms};
// An owner decides about a failure at once; waiting in its queue again is within the patience.
constexpr int mostGenerations = 4;
// A result's stated life minus its way here.
constexpr Duration keepMargin{50ms};

std::int64_t wallSeconds()
{
    return std::chrono::duration_cast<std::chrono::seconds>(sharedNow().time_since_epoch()).count();
}

PlacingJob jobOf(const Service &service, const WorkspaceId &workspace, const ModelRequest &request, const RequestId &id,
                 Instant arrival)
{
    PlacingJob job;
    job.request = id;
    job.model = std::get<ModelService>(service.kind).model;
    job.service = service.id;
    job.workspace = workspace;
    job.prompt = request.promptTokens;
    job.maxOutput = request.maxTokens;
    job.prefix = prefixHashes(request.prompt);
    job.arrival = arrival;
    return job;
}

} // namespace

ModelCall::ModelCall(ShardServices &shared, std::shared_ptr<const EntryView> seen, const Service &of,
                     const WorkspaceId &caller, ModelRequest parsed, const RequestId &requestId, HttpReply &answer)
    : services(shared)
    , view(std::move(seen))
    , service(of)
    , serviceClass(view->declaration->classOf(of))
    , workspace(caller)
    , request(std::move(parsed))
    , id(requestId)
    , reply(answer)
    , arrival(steadyNow())
    , placing(shared, jobOf(of, caller, request, requestId, arrival), view)
    , writer(request.kind, request.model, requestId, wallSeconds())
    , sink{answer, this->writer, request.isStream, request.maxTokens, Offset(0)}
{
    this->sink.onOutput = [this](Tokens output) {
        this->placing.decoding(this->stream, this->decodeEngine, output);
    };
    this->reply.onGone([this] { this->onGone(); });
}

ModelCall::~ModelCall()
{
    this->reply.onGone({});
}

void ModelCall::onGone()
{
    this->isGone = true;
    this->placing.interrupt();
    if (this->pump != nullptr) {
        this->pump->abandon();
    }
}

void ModelCall::run(const asio::yield_context &yield)
{
    try {
        this->serve(yield);
    } catch (const CallerGone &) {
        // Only refusals and ends are written outside the pump; what ran was settled before them.
        this->isGone = true;
    } catch (const std::exception &) {
        // A fault of ours: whatever it was, no engine may go on holding memory for this request.
        if (!this->stream.isEmpty()) {
            this->cancelStream(peer::RequestOutcome::Failed);
        }
        throw;
    }
}

void ModelCall::serve(const asio::yield_context &yield)
{
    this->placing.submit();
    Next next = Next::AskOwner;
    while (next != Next::Ended) {
        if (next == Next::Decode) {
            next = this->decode(yield);
            continue;
        }
        auto answer = this->ask(yield);
        if (this->isGone) {
            this->finishGone();
            return;
        }
        if (!answer) {
            this->placing.finished(peer::RequestOutcome::Failed, Tokens(0));
            this->refuse({RefusalCode::Overloaded, RunState::NotRun, "not placed in time", Duration(1s)}, yield);
            return;
        }
        if (const auto *refused = std::get_if<peer::Refused>(&*answer)) {
            this->refuse(refused->refusal, yield);
            return;
        }
        if (const auto *placed = std::get_if<peer::Placed>(&*answer)) {
            next = this->prefill(*placed, yield);
        } else {
            const auto &start = std::get<peer::StartDecode>(*answer);
            this->decodeEngine = start.decodeEngine;
            this->decodeAddress = start.decodeAddress;
            next = Next::Decode;
        }
    }
}

std::optional<Placing::Answer> ModelCall::ask(const asio::yield_context &yield)
{
    return this->placing.wait(this->serviceClass.patience + ownerMargin, yield);
}

ModelCall::Next ModelCall::prefill(const peer::Placed &placed, const asio::yield_context &yield)
{
    Log::debug("placed",
               {{"request", this->id.value()},
                {"prefill", placed.prefillEngine.value()},
                {"decode", placed.decodeEngine.value()}});
    if (this->isRead) {
        this->services.metrics.onWasted(this->request.promptTokens, WasteCause::Redone);
        this->isRead = false;
    }
    this->prefillAddress = placed.prefillAddress;
    this->decodeEngine = placed.decodeEngine;
    this->decodeAddress = placed.decodeAddress;
    this->placing.decoding(StreamId(), placed.decodeEngine, Tokens(0));
    PrefillCall call;
    call.request = this->id;
    call.prompt = this->request.prompt;
    call.promptTokens = this->request.promptTokens;
    call.prefix = prefixHashes(this->request.prompt);
    call.priority = this->serviceClass.rank;
    try {
        const PrefillAnswer answer = this->services.engines.prefill(placed.prefillAddress, call, yield);
        this->isRead = true;
        this->kv = answer.kv;
        this->kvExpiry = steadyNow() + answer.keep - keepMargin;
        this->placing.prefillDone(answer);
    } catch (const EngineError &error) {
        const bool isFull = std::holds_alternative<QueueFull>(error.fault());
        Log::info("prefill_failed", {{"request", this->id.value()}, {"fault", error.what()}});
        this->placing.prefillFailed(isFull ? PrefillFault::QueueFull : PrefillFault::Unreachable);
        return Next::AskOwner;
    }
    if (!placed.decodeReady) {
        this->awaitMemory(placed, yield);
    }
    return Next::Decode;
}

void ModelCall::awaitMemory(const peer::Placed &placed, const asio::yield_context &yield)
{
    const auto answer = this->placing.wait(placed.expiry, yield);
    const auto *start = answer ? std::get_if<peer::StartDecode>(&*answer) : nullptr;
    if (start != nullptr) {
        this->decodeEngine = start->decodeEngine;
        this->decodeAddress = start->decodeAddress;
    }
    // Without a word by the expiry the owner may have died; the engine itself knows whether it has memory.
}

bool ModelCall::isKvHeld() const
{
    return steadyNow() < this->kvExpiry;
}

std::optional<DecodeStream> ModelCall::openDecode(const asio::yield_context &yield, std::optional<DecodeFault> &fault)
{
    DecodeCall call;
    call.stream = this->stream;
    call.request = this->id;
    call.entry = this->services.settings.host;
    call.kvAddress = this->prefillAddress;
    call.kv = this->kv;
    call.promptTokens = this->request.promptTokens;
    call.maxTokens = this->request.maxTokens;
    call.priority = this->serviceClass.rank;
    try {
        return this->services.engines.decode(this->decodeAddress, call, yield);
    } catch (const EngineError &error) {
        Log::info("decode_failed",
                  {{"request", this->id.value()}, {"engine", this->decodeEngine.value()}, {"fault", error.what()}});
        const auto *unreachable = std::get_if<Unreachable>(&error.fault());
        if (std::holds_alternative<NoMemory>(error.fault())) {
            fault = DecodeFault::NoMemory;
        } else if (std::holds_alternative<KvGone>(error.fault())) {
            fault = DecodeFault::KvGone;
        } else if (unreachable == nullptr || unreachable->isKnownNotSent) {
            fault = DecodeFault::Unreachable;
        }
        // No fault: it may have started, and is asked for on a new connection.
        return std::nullopt;
    }
}

ModelCall::Next ModelCall::decode(const asio::yield_context &yield)
{
    if (this->isGone) {
        this->finishGone();
        return Next::Ended;
    }
    ++this->generations;
    this->stream = streamIdOf(this->id, this->generations, this->request.kind);
    this->placing.decoding(this->stream, this->decodeEngine, Tokens(0));
    std::optional<DecodeFault> fault;
    auto opened = this->openDecode(yield, fault);
    if (fault) {
        return this->failDecode(*fault);
    }
    if (this->sink.delivered.count() > Offset(0)) {
        this->sink.delivered.restart();
    }
    StreamPump current(this->services, {this->decodeAddress, this->stream, this->tokenPrefix()}, this->sink);
    this->pump = &current;
    if (this->isGone) {
        current.abandon();
    }
    const PumpEnd end = current.run(std::move(opened), yield);
    this->pump = nullptr;
    return this->afterPump(end, yield);
}

ModelCall::Next ModelCall::failDecode(DecodeFault fault)
{
    if (this->generations >= mostGenerations) {
        this->kvExpiry = Instant();
    }
    this->placing.decodeFailed(fault, fault != DecodeFault::KvGone && this->isKvHeld());
    return Next::AskOwner;
}

ModelCall::Next ModelCall::afterPump(PumpEnd end, const asio::yield_context &yield)
{
    this->isRead = this->isRead && !this->sink.firstAt;
    switch (end) {
    case PumpEnd::Whole:
        this->finishWhole(yield);
        return Next::Ended;
    case PumpEnd::CallerGone:
        this->finishGone();
        return Next::Ended;
    case PumpEnd::Moved:
        this->finishMoved(yield);
        return Next::Ended;
    case PumpEnd::Corrupt:
        this->cancelStream(peer::RequestOutcome::Failed);
        this->refuse({RefusalCode::EndpointFailed, RunState::MayHaveRun, "the answer is not whole", std::nullopt},
                     yield);
        return Next::Ended;
    case PumpEnd::EngineLost:
        break;
    }
    Log::warning(
        "engine_lost",
        {{"request", this->id.value()}, {"engine", this->decodeEngine.value()}, {"stream", this->stream.value()}});
    // It may only be frozen: when it wakes it must not go on writing for nobody.
    this->services.canceller->cancel({this->decodeAddress, this->stream, [] {
                                      }});
    if (this->generations >= mostGenerations || !this->services.retries.take()) {
        this->placing.finished(peer::RequestOutcome::Failed, Tokens(this->sink.delivered.count().value()));
        this->refuse({RefusalCode::EndpointFailed, RunState::MayHaveRun, "the engine was lost", Duration(1s)}, yield);
        return Next::Ended;
    }
    if (!this->isKvHeld()) {
        this->isRead = true; // reading it once more is the waste of this loss
    }
    return this->failDecode(DecodeFault::Unreachable);
}

void ModelCall::finishWhole(const asio::yield_context &yield)
{
    this->services.retries.onSuccess();
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
