// Failure: the engine that writes dies. The prompt's KV may still be held by the engine that read it, for under a
// second: then another engine decodes from it and nothing is read twice; else the prompt is read again. Either way the
// answer is generated from its start and what the caller has already is dropped, but only where the new text begins
// with the very text that the caller has: two different answers are never spliced, the stream ends with an error
// instead.
//
// Failure: a caller goes at any step. A read under way is given up; whatever engine holds memory for it is told to stop
// until it confirms; a decode whose start got no answer may be running as well and is cancelled too.

#include "programs/entry/modelcall.h"

#include "programs/entry/canceller.h"
#include "wire/clock.h"
#include "wire/log.h"

#include <fmt/format.h>

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
                 const RequestTrait &content, Instant arrival, Duration target)
{
    return {id,
            std::get<ModelService>(service.kind).model,
            service.id,
            workspace,
            request.promptTokens,
            request.maxTokens,
            prefixHashes(request.prompt),
            content,
            arrival,
            target};
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
    , content(RequestTrait::wholeRequest(
          fmt::format("{}\n{}\n{}", request.model, request.maxTokens.value(), request.prompt)))
    , placing(shared, jobOf(of, caller, request, requestId, content, arrival, serviceClass.firstToken), view)
    , writer(request.kind, request.model, requestId, wallSeconds())
    , sink{answer, this->writer, request.isStream, request.maxTokens, Offset(0)}
{
    this->sink.onOutput = [this](Tokens output) {
        this->placing.decoding(this->stream, this->decodeEngine, output);
    };
    this->reply.onCallerGone([this] { this->onGone(); });
}

ModelCall::~ModelCall()
{
    this->reply.onCallerGone({});
}

void ModelCall::onGone()
{
    this->isGone = true;
    this->placing.interrupt();
    if (this->reading != nullptr) {
        this->reading->giveUp();
    }
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
    if (const auto left = this->blockedFor()) {
        this->refuseBlocked(*left, yield);
        return;
    }
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
            if (!this->wasPlaced && this->placing.submitElsewhere(refused->refusal)) {
                continue;
            }
            this->refuse(refused->refusal, yield);
            return;
        }
        if (const auto *placed = std::get_if<peer::Placed>(&*answer)) {
            this->wasPlaced = true;
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
    const Instant begun = steadyNow();
    const PromptRead::End end = this->read(placed.prefillAddress, yield);
    if (const auto *failed = std::get_if<PromptRead::Failed>(&end)) {
        const auto ran = failed->mayHaveRun
            ? this->ranUntilEnd(placed.prefillEngine, placed.prefillAddress, begun, yield)
            : std::nullopt;
        this->hasReaderEnded |= ran.has_value();
        this->placing.prefillFailed(failed->fault, ran);
        if (const auto left = ran ? this->blockedFor() : std::nullopt) {
            this->placing.finished(peer::RequestOutcome::Failed, Tokens(0));
            this->refuseBlocked(*left, yield);
            return Next::Ended;
        }
    }
    const auto *answer = std::get_if<PrefillAnswer>(&end);
    if (answer == nullptr) {
        return Next::AskOwner; // given up: the owner has said how to go on, or the caller has gone
    }
    this->isRead = true;
    this->kv = answer->kv;
    this->kvExpiry = steadyNow() + answer->keep - keepMargin;
    this->placing.prefillDone(*answer);
    if (!placed.decodeReady) {
        this->awaitMemory(placed, yield);
    }
    return Next::Decode;
}

PromptRead::End ModelCall::read(const std::string &address, const asio::yield_context &yield)
{
    PromptRead read(this->services, this->id, this->request, this->serviceClass.rank);
    // Neither may reach a read that is over, however it ends.
    const auto forget = [this](PromptRead *) {
        this->reading = nullptr;
        this->placing.onSuperseded({});
    };
    const std::unique_ptr<PromptRead, decltype(forget)> watched(&read, forget);
    this->reading = &read;
    this->placing.onSuperseded([&read] { read.giveUp(); });
    if (this->isGone) {
        read.giveUp();
    }
    return read.run(address, yield);
}

// A place that comes while we wait was made because the read seemed stalled, just before its end was told. The result
// is here, so only its decode place is taken. Without a word by the expiry the owner may have died; the engine itself
// knows whether it has memory.
void ModelCall::awaitMemory(const peer::Placed &placed, const asio::yield_context &yield)
{
    const Instant expiry = steadyNow() + placed.expiry;
    bool isReady = false;
    while (!isReady) {
        const auto answer = this->placing.wait(expiry - steadyNow(), yield);
        if (!answer || std::holds_alternative<peer::Refused>(*answer)) {
            return;
        }
        if (const auto *start = std::get_if<peer::StartDecode>(&*answer)) {
            this->decodeEngine = start->decodeEngine;
            this->decodeAddress = start->decodeAddress;
            isReady = true;
        } else {
            const auto &anew = std::get<peer::Placed>(*answer);
            this->decodeEngine = anew.decodeEngine;
            this->decodeAddress = anew.decodeAddress;
            isReady = anew.decodeReady;
        }
    }
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
    this->decodeBegun = steadyNow();
    auto opened = this->openDecode(yield, fault);
    if (fault) {
        return this->failDecode(*fault, std::nullopt);
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

// An engine that still runs has answered with what is none, or has lost its connections.
std::optional<Duration> ModelCall::ranUntilEnd(const EngineId &engine, const std::string &address, Instant begun,
                                               const asio::yield_context &yield)
{
    if (this->services.engines.probe(address, yield) == Liveness::Running) {
        return std::nullopt;
    }
    const CrashedRun run = endOf(engine.value(), begun);
    this->services.state.crashes().onCrash(run, this->content);
    return run.ended - run.begun;
}

std::optional<Duration> ModelCall::blockedFor()
{
    LocalCrashes &crashes = this->services.state.crashes();
    return crashes.isEmpty() ? std::nullopt : crashes.blockedFor(this->content, steadyNow());
}

void ModelCall::refuseBlocked(Duration blockedFor, const asio::yield_context &yield)
{
    const RunState run = this->generations > 0 || this->hasReaderEnded ? RunState::MayHaveRun : RunState::NotRun;
    this->refuse({RefusalCode::Blocked, run, "requests like this one crash engines", blockedFor}, yield);
}

ModelCall::Next ModelCall::failDecode(DecodeFault fault, std::optional<Duration> ran)
{
    if (this->generations >= mostGenerations) {
        this->kvExpiry = Instant();
    }
    this->placing.decodeFailed(fault, fault != DecodeFault::KvGone && this->isKvHeld(), ran);
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
    const auto ran = this->ranUntilEnd(this->decodeEngine, this->decodeAddress, this->decodeBegun, yield);
    if (const auto left = this->blockedFor()) {
        this->placing.decodeFailed(DecodeFault::Unreachable, false, ran);
        this->placing.finished(peer::RequestOutcome::Failed, Tokens(this->sink.delivered.count().value()));
        this->refuseBlocked(*left, yield);
        return Next::Ended;
    }
    if (this->generations >= mostGenerations || !this->services.retries.take()) {
        this->placing.finished(peer::RequestOutcome::Failed, Tokens(this->sink.delivered.count().value()));
        this->refuse({RefusalCode::EndpointFailed, RunState::MayHaveRun, "the engine was lost", Duration(1s)}, yield);
        return Next::Ended;
    }
    if (!this->isKvHeld()) {
        this->isRead = true; // reading it once more is the waste of this loss
    }
    return this->failDecode(DecodeFault::Unreachable, ran);
}

} // namespace fescuesill
