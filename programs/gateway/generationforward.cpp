// The order is reserve, read, write. A prefill result lives for half a second or less and decode memory is what runs
// short, so reading first would throw away whole prompts in every burst; the reservation costs one short call.
//
// A generation may run once, so it is sent again only where the engine said that it did not run it, or nothing was
// sent, or the route lets another engine go on after the last whole event. What was reserved or read and not used is
// given back at once: it is memory that other callers wait for.

#include "programs/gateway/generationforward.h"

#include "decide/readplan.h"
#include "wire/clock.h"
#include "wire/log.h"

namespace fescuesill
{
namespace
{

// A caller that says nothing of the size of its prompt gets the place of a long one.
constexpr Tokens unknownSize(8000);
// A caller gives up on a stream that shows nothing for two seconds, four times its target or eight times its longest
// pause, whichever is longest.
constexpr Duration leastPatience{2s};
// Time kept for the reservation, the read and the first step when a place comes free.
constexpr Duration readTime{250ms};
// Reserved beside the prompt: some ten events. All of the output would push other generations out of the engine's
// memory long before it is made; how much all of them will grow is what the gate forecasts.
constexpr Tokens reservedOutput(500);
// A read that takes longer waits behind several others or at an engine that went dark; the decode engine reads sooner.
constexpr Duration readLimit{700ms};
constexpr Duration comeBackSoonest{500ms};
constexpr Duration giveBackLimit{1s}; // for giving back a reservation or a result, which lapse by themselves later
constexpr int statusOk = 200;

} // namespace

const EngineTraits &GenerationForward::traits() const
{
    static const EngineTraits none;
    const ForwardedService *declared = this->call.services.fleet.inForce()->service(this->call.service);
    return declared != nullptr && declared->engines ? *declared->engines : none;
}

Tokens GenerationForward::made() const
{
    return Tokens(this->eventsMade * this->traits().perEvent.value());
}

void GenerationForward::report(peer::PlaceEvent event)
{
    this->call.services.gates.report(this->call.service, this->call.head.id, event, this->made());
}

GenerationAsk GenerationForward::ask() const
{
    const Route &route = this->call.route;
    const GenerationSize size = this->call.head.generation.value_or(GenerationSize{unknownSize, Tokens(0), {}, {}});
    GenerationAsk ask;
    ask.id = this->call.head.id;
    ask.rank = route.rank;
    ask.prompt = size.prompt;
    ask.output = std::min(size.mostOutput, size.likelyOutput.value_or(size.mostOutput));
    ask.mostOutput = size.mostOutput;
    ask.arrival = steadyNow();
    // One that goes on has its first event, and only its caller's patience with a pause.
    const Duration target = this->isStarted ? Duration(0) : std::min(route.target, this->call.timeLeft());
    ask.onTimeUntil = this->call.arrival + std::max<Duration>(target - readTime, target / 2);
    const Duration patience = std::max({leastPatience, route.target * 4, route.longestPause * 8});
    ask.usefulUntil = std::min(this->call.deadline(), ask.arrival + patience) - readTime;
    ask.dataCentre = this->call.services.settings.dataCentre;
    ask.avoid = this->avoid;
    ask.promptName = size.ownPart;
    return ask;
}

PromptKey GenerationForward::promptKey() const
{
    const auto &size = this->call.head.generation;
    return size ? PromptKey{size->ownPart, size->prompt} : PromptKey{{}, unknownSize};
}

void GenerationForward::checkCaller() const
{
    if (this->abort.isAborted()) {
        throw CallerGone();
    }
}

std::optional<GenerationForward::Place> GenerationForward::reserveAt(const EndpointRecord &decode,
                                                                     const asio::yield_context &yield)
{
    const auto &services = this->call.services;
    const HttpRequest request =
        reservationRequest(decode.id, this->ask().prompt + reservedOutput, this->traits().longestReservation);
    try {
        const HttpResponse response = services.client.call(
            decode.address, request, {services.settings.reservationLimit, Reuse::Never, &this->abort}, yield);
        if (const auto reservation = readReservation(response)) {
            this->report(peer::PlaceEvent::Reserved);
            return Place{decode, *reservation, {}};
        }
        this->lastFault = "no room at " + decode.id.value();
        this->report(peer::PlaceEvent::Full);
    } catch (const HttpError &error) {
        this->checkCaller(); // it ended the call, and the engine has no fault
        this->lastFault = error.what();
        this->report(peer::PlaceEvent::Fault);
    }
    return std::nullopt;
}

std::optional<GenerationForward::Place> GenerationForward::reserve(const asio::yield_context &yield)
{
    const auto &services = this->call.services;
    GateAction action = services.gates.ask(this->call.service, this->ask(), yield);
    while (const auto *attempt = std::get_if<TryReserve>(&action)) {
        this->checkCaller();
        const auto decode = services.fleet.usable(EndpointId(attempt->engine.value()));
        if (!decode) {
            this->report(peer::PlaceEvent::Full);
        } else if (auto place = this->reserveAt(*decode, yield)) {
            place->prefill = attempt->prefill;
            return place;
        }
        action = services.gates.again(this->call.head.id, yield);
    }
    this->checkCaller();
    this->retryAfter = std::get<RejectGeneration>(action).retryAfter;
    return std::nullopt;
}

std::optional<GenerationForward::Prefill> GenerationForward::prefillAt(const EndpointRecord &engine,
                                                                       const asio::yield_context &yield)
{
    const auto &services = this->call.services;
    const HttpRequest request = prefillRequest(this->call.http, engine.id, this->call.timeLeft());
    const Tokens prompt = this->promptKey().size;
    const EngineId id(engine.id.value());
    services.fleet.prefills().onSent(id, prompt);
    std::optional<KvId> result;
    try {
        const HttpResponse response = services.client.call(
            engine.address, request, {std::min(this->call.timeLeft(), readLimit), Reuse::Never, &this->abort}, yield);
        result = readPrefillResult(response);
        this->lastFault = result ? "" : "prefill refused by " + engine.id.value();
    } catch (const HttpError &error) {
        this->lastFault = error.what();
    }
    services.fleet.prefills().onEnded(id, prompt, !result && !this->abort.isAborted(), steadyNow());
    return result ? std::optional(Prefill{engine.address, *result}) : std::nullopt;
}

std::optional<GenerationForward::Prefill> GenerationForward::prefill(const Place &place,
                                                                     const asio::yield_context &yield)
{
    FleetView &fleet = this->call.services.fleet;
    RetryBudget &budget = fleet.budget(this->call.service);
    std::vector<PrefillCandidate> candidates = fleet.prefillCandidates(this->call.service, place.engine.dataCentre);
    ReadPlan plan(this->sends == 0);
    const PromptKey key = this->promptKey();
    std::optional<EngineId> chosen = place.prefill;
    if (chosen->isEmpty() || !fleet.usable(EndpointId(chosen->value()))) {
        chosen = fleet.prefills().pick(candidates, key, steadyNow());
    }
    if (!chosen) {
        return std::nullopt;
    }
    ReadStep step = plan.first(budget, fleet.prefills().isSound(*chosen, steadyNow()));
    while (step == ReadStep::AskPrefill && chosen) {
        const auto found = fleet.usable(EndpointId(chosen->value()));
        if (!found) {
            return std::nullopt;
        }
        this->prefillEngine = found->id;
        auto result = this->prefillAt(*found, yield);
        if (!result) {
            this->checkCaller();
        }
        if (*chosen == place.prefill) {
            this->report(result ? peer::PlaceEvent::Read : peer::PlaceEvent::ReadFailed);
        }
        if (result) {
            return result;
        }
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                        [&](const PrefillCandidate &other) { return other.engine == *chosen; }),
                         candidates.end());
        step = plan.onFailed(budget);
        chosen = fleet.prefills().pick(candidates, key, steadyNow());
    }
    return std::nullopt;
}

GenerationForward::Ended GenerationForward::handOnError(LineStream &answer, const AnswerHead &head,
                                                        const asio::yield_context &yield)
{
    const std::string body = answer.readAll(this->call.timeLeft(), yield);
    if (this->isStarted) {
        return Ended::Broken;
    }
    this->call.reply.onCallerGone({});
    this->call.reply.forward(head.status, body, head.headers, yield);
    return Ended::Whole;
}

void GenerationForward::noteEvents()
{
    const Instant now = steadyNow();
    this->eventsMade += this->events.wholeEvents();
    if (!this->times.firstEvent) {
        this->times.firstEvent = now - this->call.arrival;
    } else {
        this->times.longestPause = std::max(this->times.longestPause.value_or(Duration(0)), now - this->lastEventAt);
    }
    this->lastEventAt = now;
}

GenerationForward::Ended GenerationForward::relay(LineStream &stream, const asio::yield_context &yield)
{
    std::string bytes;
    while (stream.readSome(bytes, this->call.timeLeft(), yield)) {
        const std::string whole = this->events.take(bytes);
        bytes.clear();
        if (whole.empty()) {
            continue;
        }
        this->noteEvents();
        this->call.reply.write(whole, yield);
        if (this->events.isTooLong()) {
            this->lastFault = "an event without an end";
            return Ended::Broken;
        }
    }
    this->call.reply.write(this->events.rest(), yield);
    this->call.reply.finish(yield);
    return Ended::Whole;
}

GenerationForward::Ended GenerationForward::generate(const Place &place, const std::optional<Prefill> &read,
                                                     const asio::yield_context &yield)
{
    const auto &services = this->call.services;
    GenerationStart start{place.engine.id, {}, {}, place.reservation, this->events.lastEvent()};
    if (read) {
        start.prefillAddress = read->address;
        start.result = read->result;
    }
    const HttpRequest request = generationRequest(this->call.http, start, this->call.timeLeft());
    ++this->sends;
    try {
        LineStream stream = services.client.open(place.engine.address, request,
                                                 {this->call.timeLeft(), Reuse::Never, &this->abort}, yield);
        const AnswerHead head = readAnswerHead(stream.head(), this->call.head.id);
        if (head.saysNotRun) {
            this->lastFault = "the engine did not take it";
            return Ended::NotRun;
        }
        if (!head.isForThisCall || head.isEncoded) {
            this->lastFault = "not the answer to this call";
            return Ended::Broken;
        }
        if (head.status != statusOk) {
            return this->handOnError(stream, head, yield);
        }
        if (!this->isStarted) {
            this->isStarted = true;
            this->call.reply.startForward(head.status, head.headers, yield);
        }
        return this->relay(stream, yield);
    } catch (const HttpError &error) {
        this->lastFault = error.what();
        this->sends -= error.isKnownNotSent() ? 1 : 0;
        this->checkCaller();
        return error.isKnownNotSent() ? Ended::NotRun : Ended::Broken;
    }
}

// Nobody waits for this: what is not given back lapses by itself, and its price is that others wait meanwhile.
void GenerationForward::release(const Place &place, const std::optional<Prefill> &read)
{
    HttpClient &client = this->call.services.client;
    const auto giveBack = [&](const std::string &address, const HttpRequest &request) {
        startCoroutine(this->call.services.io, [&client, address, request](const asio::yield_context &yield) {
            try {
                client.call(address, request, {giveBackLimit, Reuse::Never}, yield);
            } catch (const HttpError &error) {
                Log::info("not_given_back", {{"engine", address}, {"reason", error.what()}});
            }
        });
    };
    giveBack(place.engine.address, releaseRequest(place.reservation));
    if (read) {
        giveBack(read->address, dropResultRequest(read->result));
    }
}

// The decode engine had room reserved, so it refused because it could not get the result.
void GenerationForward::noteLostResult(const Place &place)
{
    const EngineId id(this->prefillEngine.value());
    this->call.services.fleet.prefills().onResultLost(id, steadyNow());
    if (id == place.prefill) {
        this->report(peer::PlaceEvent::ResultLost);
    }
}

GenerationForward::Ended GenerationForward::tryOnce(const asio::yield_context &yield)
{
    const auto place = this->reserve(yield);
    if (!place) {
        return Ended::NoPlace;
    }
    this->engine = place->engine.id;
    this->times.placed = steadyNow() - this->call.arrival;
    std::optional<Prefill> read;
    try {
        if (!this->readsItself) {
            read = this->prefill(*place, yield);
        }
        this->readsItself = !read;
        this->times.read = steadyNow() - this->call.arrival;
        const Ended ended = this->generate(*place, read, yield);
        if (ended == Ended::NotRun) {
            this->release(*place, read);
        }
        const bool isResultLost = ended == Ended::NotRun && read;
        if (isResultLost) {
            this->noteLostResult(*place);
        }
        const bool isFault = ended == Ended::Broken || (ended == Ended::NotRun && !isResultLost);
        this->report(isFault ? peer::PlaceEvent::EndedByFault : peer::PlaceEvent::Ended);
        if (ended == Ended::Broken) {
            this->avoid = EngineId(place->engine.id.value());
        }
        return ended;
    } catch (const CallerGone &) {
        if (this->sends == 0) {
            this->release(*place, read);
        }
        throw;
    }
}

std::optional<NoRetry> GenerationForward::claimRetry(Ended ended)
{
    if (ended == Ended::Whole || ended == Ended::NoPlace) {
        return NoRetry::None;
    }
    if (this->call.timeLeft() <= 0ms) {
        return NoRetry::NoTime;
    }
    const bool mayStartAnew = ended == Ended::NotRun && !this->isStarted;
    if (!mayStartAnew && !(ended == Ended::Broken && this->call.route.isResumable)) {
        return NoRetry::NotRepeatable;
    }
    const int allowed = std::max(this->call.route.attempts, mayStartAnew ? 2 : 1);
    if (this->sends >= allowed) {
        return NoRetry::Attempts;
    }
    return this->call.services.fleet.budget(this->call.service).take() ? std::nullopt : std::optional(NoRetry::Budget);
}

void GenerationForward::logEnd(const char *outcome) const
{
    this->call.services.metrics.onGenerationEnd(outcome, this->times);
    const GenerationAsk asked = this->ask();
    const auto millis = [](const std::optional<Duration> &time) {
        return time ? time->count() / 1000 : -1;
    };
    Log::info("generation_ended",
              {{"request", this->call.head.id.value()},
               {"route", this->call.route.name},
               {"config", this->call.version.value()},
               {"outcome", outcome},
               {"engine", this->engine.value()},
               {"sends", this->sends},
               {"self_read", this->readsItself},
               {"prompt", asked.prompt.value()},
               {"expected_output", asked.output.value()},
               {"output", this->made().value()},
               {"prefill", this->prefillEngine.value()},
               {"placed_ms", millis(this->times.placed)},
               {"read_ms", millis(this->times.read)},
               {"longest_pause_ms", millis(this->times.longestPause)},
               {"first_event_ms", millis(this->times.firstEvent)},
               {"took_ms", (steadyNow() - this->call.arrival).count() / 1000},
               {"last_fault", this->lastFault},
               {"no_retry", nameOf(this->noRetry)},
               {"registry", this->call.services.fleet.registryVersion()},
               {"registry_age_ms", this->call.services.fleet.registryAge(steadyNow()).count() / 1000}});
}

void GenerationForward::finish(Ended ended, const asio::yield_context &yield)
{
    this->call.reply.onCallerGone({});
    if (ended == Ended::Whole) {
        this->logEnd("whole");
        return;
    }
    if (this->isStarted) {
        this->logEnd("broken_off");
        this->call.reply.abort();
        return;
    }
    this->logEnd(ended == Ended::Broken ? "failed" : "refused");
    if (ended == Ended::Broken) {
        const bool isLate = this->call.timeLeft() <= 0ms;
        this->call.refuse({isLate ? RefusalCode::OutcomeUnknown : RefusalCode::EndpointFailed, RunState::MayHaveRun,
                           this->lastFault, std::nullopt},
                          this->noRetry, yield);
        return;
    }
    const std::string reason = this->lastFault.empty() ? "no engine has room in time" : this->lastFault;
    this->call.refuse({RefusalCode::Overloaded, RunState::NotRun, reason,
                       std::max<Duration>(this->retryAfter.value_or(comeBackSoonest), comeBackSoonest)},
                      this->noRetry, yield);
}

void GenerationForward::run(const asio::yield_context &yield)
{
    const auto &services = this->call.services;
    const RequestId &id = this->call.head.id;
    this->call.reply.onCallerGone([this, &services, &id] {
        this->abort.abort();
        services.gates.wake(id);
    });
    services.fleet.budget(this->call.service).onSuccess();
    try {
        Ended ended = this->tryOnce(yield);
        auto reason = this->claimRetry(ended);
        while (!reason) {
            this->events.dropRest();
            ended = this->tryOnce(yield);
            reason = this->claimRetry(ended);
        }
        this->noRetry = *reason;
        this->report(peer::PlaceEvent::Ended);
        this->finish(ended, yield);
    } catch (const CallerGone &) {
        this->call.reply.onCallerGone({});
        this->report(peer::PlaceEvent::Ended);
        this->logEnd("caller_gone");
        throw;
    }
}

} // namespace fescuesill
