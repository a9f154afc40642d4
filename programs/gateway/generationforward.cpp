// The order is: reserve at the decode engine, prefill, decode. A prefill result lives for half a second or less and
// decode memory is the scarce resource, so a prefill before the reservation would waste whole prompts in every burst.
// The reservation costs one short call.
//
// A generation must not run twice, so it is retried only if the engine reported that it did not run it, if nothing was
// sent, or if the route allows another engine to resume after the last complete event. Unused reservations and prefill
// results are released at once, because other callers wait for that memory.
//
// The end of a body is not yet the end of its stream: an engine that crashes closes its connections in order, and a
// body without a length or chunks ends with its connection. So a stream is complete only if it also ends after an
// event and, if it ends with its connection, its engine is seen to live on (streamends.h).

#include "programs/gateway/generationforward.h"

#include "decide/prefillplan.h"
#include "programs/gateway/streamrelay.h"
#include "wire/clock.h"
#include "wire/log.h"

#include <limits>
#include <utility>

namespace fescuesill
{
namespace
{

// Assumed for a call that does not state its size; that of a long prompt.
constexpr Tokens defaultPromptSize(8000);
// A caller abandons a stream that delivers no event for two seconds, four times its target or eight times its longest
// pause, whichever is longest.
constexpr Duration minPatience{2s};
// Time needed for the reservation, the prefill and the first decode step after a place becomes free.
constexpr Duration prefillTime{250ms};
// Reserved in addition to the prompt, for about ten events. Reserving the whole output would evict other generations
// from the engine's memory long before the output exists. The gate forecasts the growth of all generations.
constexpr Tokens reservedOutput(500);
// A prefill that takes longer is queued behind several others or is at an unresponsive engine. The decode engine then
// completes the prefill sooner itself.
constexpr Duration prefillLimit{700ms};
constexpr Duration minRetryAfter{500ms};
constexpr Duration releaseLimit{1s}; // for releasing a reservation or a result; both expire without it
constexpr int statusOk = 200;

// An event holds one token or more. The rest is for events without a token, such as the usage at the end. A number of
// tokens that no engine reaches states no limit.
std::int64_t maxEventsOf(const CallHead &head)
{
    constexpr std::int64_t eventsPerToken = 2;
    constexpr std::int64_t eventsWithoutToken = 64;
    const std::int64_t tokens = head.generation ? head.generation->maxOutput.value() : 0;
    const bool isKnown = tokens > 0 && tokens < std::numeric_limits<std::int32_t>::max();
    return isKnown ? tokens * eventsPerToken + eventsWithoutToken : std::numeric_limits<std::int64_t>::max();
}

} // namespace

GenerationForward::GenerationForward(const ForwardedCall &forwarded)
    : call(forwarded)
    , events(forwarded.head.lastEvent, maxEventsOf(forwarded.head))
{
}

const EngineTraits &GenerationForward::traits() const
{
    static const EngineTraits none;
    const ForwardedService *declared = this->call.services.fleet.activeConfig()->service(this->call.service);
    return declared != nullptr && declared->engines ? *declared->engines : none;
}

Tokens GenerationForward::outputTokens() const
{
    return Tokens(this->eventsProduced * this->traits().perEvent.value());
}

void GenerationForward::report(peer::PlacementEvent event)
{
    this->call.services.gates.report(this->call.service, this->call.head.id, event, this->outputTokens());
}

GenerationRequest GenerationForward::placementRequest() const
{
    const Route &route = this->call.route;
    const GenerationSize size =
        this->call.head.generation.value_or(GenerationSize{defaultPromptSize, Tokens(0), {}, {}});
    GenerationRequest request;
    request.id = this->call.head.id;
    request.rank = this->call.rank();
    request.prompt = size.prompt;
    request.output = std::min(size.maxOutput, size.expectedOutput.value_or(size.maxOutput));
    request.maxOutput = size.maxOutput;
    request.arrival = steadyNow();
    // A resumed stream has already delivered its first event; only the limit on pauses applies to it.
    const Duration target = this->isStarted ? Duration(0) : std::min(route.target, this->call.timeLeft());
    request.onTimeUntil = this->call.arrival + std::max<Duration>(target - prefillTime, target / 2);
    const Duration patience = std::max({minPatience, route.target * 4, route.longestPause * 8});
    request.usefulUntil = std::min(this->call.deadline(), request.arrival + patience) - prefillTime;
    request.dataCentre = this->call.services.settings.dataCentre;
    request.avoid = this->avoid;
    request.excluded = this->excludedEngines();
    request.promptName = size.uniquePart;
    request.version = this->streamVersion;
    request.isTakenUp = !this->call.head.lastEvent.empty();
    request.resumes = this->call.head.resumes;
    request.workspace = this->call.caller().workspace;
    request.cost = this->call.cost();
    request.isCharged = this->isCharged;
    return request;
}

std::vector<EngineId> GenerationForward::excludedEngines() const
{
    std::vector<EngineId> engines = this->otherStarts;
    for (const EndpointId &resting : this->call.services.fleet.rests().all()) {
        engines.emplace_back(resting.value());
    }
    return engines;
}

PromptKey GenerationForward::promptKey() const
{
    const auto &size = this->call.head.generation;
    return size ? PromptKey{size->uniquePart, size->prompt} : PromptKey{{}, defaultPromptSize};
}

void GenerationForward::onFault(const HttpError &error)
{
    this->lastFault = error.what();
    this->hasNoPath = error.fault() == HttpFault::NoPath;
}

void GenerationForward::checkCaller() const
{
    if (this->abort.isAborted()) {
        throw CallerGone();
    }
}

// An engine that has turned only this host away is left to the others.
void GenerationForward::reportUnused(const EndpointId &decode)
{
    const auto &services = this->call.services;
    const bool isResting = services.fleet.rests().isResting(decode);
    services.gates.setExcluded(this->call.head.id, this->excludedEngines());
    this->report(isResting ? peer::PlacementEvent::Declined : peer::PlacementEvent::Full);
}

std::optional<GenerationForward::Place> GenerationForward::reserveAt(const EndpointRecord &decode,
                                                                     const asio::yield_context &yield)
{
    const auto &services = this->call.services;
    const HttpRequest request = reservationRequest(decode.id, this->placementRequest().prompt + reservedOutput,
                                                   this->traits().longestReservation);
    const Duration limitedFor = services.permits.take(decode.id, yield);
    this->checkCaller();
    if (limitedFor > 0ms || !services.fleet.usable(decode.id)) {
        this->lastFault = decode.id.value() + " is at its limit, rests or is leaving";
        this->reportUnused(decode.id);
        return std::nullopt;
    }
    try {
        const HttpResponse response = services.client.call(
            decode.address, request, {services.settings.reservationLimit, Reuse::Never, &this->abort}, yield);
        services.notices.onAnswer(decode, response);
        if (const auto reservation = readReservation(response)) {
            Place place{decode, *reservation, {}};
            const bool isAllowed = this->checkVersion(place, yield);
            if (!isAllowed || this->abort.isAborted()) {
                this->release(place, std::nullopt);
                this->checkCaller();
                this->otherStarts.emplace_back(decode.id.value());
                services.gates.setExcluded(this->call.head.id, this->excludedEngines());
                this->report(peer::PlacementEvent::Declined);
                return std::nullopt;
            }
            services.gates.reportReserved(this->call.service, this->call.head.id, this->streamVersion);
            return place;
        }
        this->lastFault = "no room at " + decode.id.value();
        services.gates.setExcluded(this->call.head.id, this->excludedEngines());
        this->report(peer::PlacementEvent::Full);
    } catch (const HttpError &error) {
        this->checkCaller(); // if the caller cancelled the call, the engine is not at fault
        this->onFault(error);
        if (!this->hasNoPath) {
            this->report(peer::PlacementEvent::Fault);
        }
    }
    return std::nullopt;
}

// An engine may start again under its id with another version, and serve before its row is read here. Only what it
// states itself shows that; a report that is lost shows nothing.
bool GenerationForward::isOtherStart(EndpointRecord &at, const asio::yield_context &yield)
{
    if (at.incarnation == 0) {
        return false;
    }
    const Duration limit = std::min(this->call.services.settings.reservationLimit, this->call.timeLeft());
    const auto stated = this->call.services.ends.startOf(at, limit, this->abort, yield);
    if (!stated || *stated == at.incarnation) {
        return false;
    }
    Log::info("engine_start_differs",
              {{"request", this->call.head.id.value()},
               {"engine", at.id.value()},
               {"listed", at.incarnation},
               {"stated", *stated}});
    at.incarnation = *stated;
    return true;
}

bool GenerationForward::checkVersion(Place &place, const asio::yield_context &yield)
{
    const bool goesOn = !this->streamVersion.isEmpty() || !this->call.head.lastEvent.empty();
    if (!goesOn && !this->call.route.isResumable) {
        return true;
    }
    this->isVersionUnknown = this->isOtherStart(place.engine, yield);
    if (!this->isVersionUnknown) {
        this->streamVersion = place.engine.version;
    } else if (goesOn) {
        this->lastFault = place.engine.id.value() + " has started again, maybe with another version";
        return false;
    }
    return true;
}

std::optional<GenerationForward::Place> GenerationForward::reserve(const asio::yield_context &yield)
{
    const auto &services = this->call.services;
    if (services.fleet.doAllRest(this->call.service, EndpointPart::Decode)) {
        this->lastFault = "all engines have turned this host away";
        this->retryAfter = retryAfterInRest;
        return std::nullopt;
    }
    auto action = services.gates.requestPlacement(this->call.service, this->placementRequest(), yield);
    while (!action || std::holds_alternative<TryReserve>(*action)) {
        this->isCharged = this->isCharged || (action && this->call.workspace != nullptr);
        this->checkCaller();
        if (this->mustNotSend()) {
            return std::nullopt;
        }
        if (!action) {
            action = services.gates.nextDecision(this->call.head.id, yield);
            continue;
        }
        const auto *attempt = std::get_if<TryReserve>(&*action);
        const auto decode = services.fleet.usable(EndpointId(attempt->engine.value()));
        const bool isOtherVersion = decode && !this->streamVersion.isEmpty() && decode->version != this->streamVersion;
        if (!decode || isOtherVersion) {
            this->reportUnused(EndpointId(attempt->engine.value()));
        } else if (auto place = this->reserveAt(*decode, yield)) {
            place->prefill = attempt->prefill;
            return place;
        } else if (this->hasNoPath) {
            return std::nullopt;
        }
        action = services.gates.nextDecision(this->call.head.id, yield);
    }
    this->checkCaller();
    const auto &rejected = std::get<RejectGeneration>(*action);
    this->retryAfter = rejected.retryAfter;
    if (rejected.reason == RejectReason::OverQuota || rejected.reason == RejectReason::QuotaUnknown) {
        this->noCredit = CreditDecision{rejected.retryAfter, rejected.reason};
    } else if (rejected.reason == RejectReason::NoVersion) {
        this->lastFault = "no engine of the version that began the stream, or it is unknown";
    }
    return std::nullopt;
}

bool GenerationForward::mustNotSend()
{
    this->blockedFor = this->call.blockedFor(this->sends > 0 || this->hasReaderEnded);
    // A stream that has begun may go on: if it is cut off, its caller takes it up at another host.
    return this->blockedFor || (!this->isStarted && !this->call.maySend());
}

std::optional<GenerationForward::Prefill> GenerationForward::prefillAt(const EndpointRecord &engine,
                                                                       const asio::yield_context &yield)
{
    const auto &services = this->call.services;
    const HttpRequest request = prefillRequest(this->call.http, this->call.caller(), engine.id, this->call.timeLeft());
    const Tokens prompt = this->promptKey().size;
    const EngineId id(engine.id.value());
    services.fleet.prefills().onSent(id, prompt);
    std::optional<KvId> result;
    const Instant sent = steadyNow();
    try {
        const HttpResponse response =
            services.client.call(engine.address, request,
                                 {std::min(this->call.timeLeft(), prefillLimit), Reuse::Never, &this->abort}, yield);
        services.notices.onAnswer(engine, response);
        const AnswerHead head = readAnswerHead(response, this->call.head.id);
        if (head.isForThisCall) {
            services.permits.onAnswer(engine.id, head.limit, sent);
            result = readPrefillResult(response);
            this->lastFault = result ? "" : "prefill refused by " + engine.id.value();
        } else {
            this->lastFault = "prefill by " + engine.id.value() + ": not the answer to this call";
        }
    } catch (const HttpError &error) {
        this->onFault(error);
        const BrokenAnswer answer{engine, this->call.http, sent, std::nullopt, true};
        if (this->abort.isAborted()) {
            services.crashes.onAbandoned(answer);
        } else if (mayHaveEnded(error)) {
            this->hasReaderEnded |= services.crashes.onBrokenOff(answer, this->call.timeLeft(), yield);
        } else if (wasSilent(error)) {
            services.crashes.onSilent(answer);
        }
    }
    const bool isAtFault = !result && !this->abort.isAborted() && !this->hasNoPath;
    services.fleet.prefills().onEnded(id, prompt, isAtFault, steadyNow());
    return result ? std::optional(Prefill{engine.id, engine.address, *result}) : std::nullopt;
}

std::optional<GenerationForward::Prefill> GenerationForward::prefill(const Place &place,
                                                                     const asio::yield_context &yield)
{
    FleetView &fleet = this->call.services.fleet;
    RetryBudget &budget = fleet.budget(this->call.service);
    std::vector<PrefillCandidate> candidates = fleet.prefillCandidates(this->call.service, place.engine.dataCentre);
    PrefillPlan plan(this->sends == 0);
    const PromptKey key = this->promptKey();
    std::optional<EngineId> chosen = place.prefill;
    if (chosen->isEmpty() || !fleet.usable(EndpointId(chosen->value()))) {
        chosen = fleet.prefills().pick(candidates, key, steadyNow());
    }
    if (!chosen) {
        return std::nullopt;
    }
    const auto passOver = [&](const EngineId &engine) {
        const auto isSame = [&engine](const PrefillCandidate &other) {
            return other.engine == engine;
        };
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(), isSame), candidates.end());
        chosen = fleet.prefills().pick(candidates, key, steadyNow());
    };
    PrefillStep step = plan.first(budget, fleet.prefills().isHealthy(*chosen, steadyNow()));
    while (step == PrefillStep::AtPrefillEngine && chosen) {
        const EndpointId id(chosen->value());
        const bool isLimited = this->call.services.permits.take(id, yield) > 0ms;
        this->checkCaller();
        const auto found = fleet.usable(id);
        if (!found || this->mustNotSend()) {
            return std::nullopt;
        }
        if (isLimited) {
            if (*chosen == place.prefill) {
                this->report(peer::PlacementEvent::PrefillFailed);
            }
            passOver(*chosen);
            continue;
        }
        this->prefillEngine = found->id;
        auto result = this->prefillAt(*found, yield);
        if (!result) {
            this->checkCaller();
        }
        if (!result && this->hasNoPath) {
            return std::nullopt;
        }
        if (*chosen == place.prefill) {
            this->report(result ? peer::PlacementEvent::Prefilled : peer::PlacementEvent::PrefillFailed);
        }
        if (result) {
            return result;
        }
        step = plan.onFailed(budget);
        passOver(*chosen);
    }
    return std::nullopt;
}

GenerationForward::Outcome GenerationForward::forwardError(LineStream &answer, const AnswerHead &head,
                                                           const asio::yield_context &yield)
{
    const std::string body = answer.readAll(this->call.timeLeft(), yield);
    answer.close();
    if (this->isStarted) {
        return Outcome::Broken;
    }
    this->call.reply.onCallerGone({});
    this->call.reply.forward(head.status, body, head.headers, yield);
    return Outcome::Whole;
}

void GenerationForward::recordEvents()
{
    const Instant now = steadyNow();
    this->firstEventAt = this->firstEventAt.value_or(now);
    this->eventsProduced += this->events.wholeEvents();
    if (!this->times.firstEvent) {
        this->times.firstEvent = now - this->call.arrival;
    } else {
        this->times.longestPause = std::max(this->times.longestPause.value_or(Duration(0)), now - this->lastEventAt);
    }
    this->lastEventAt = now;
}

GenerationForward::Outcome GenerationForward::relay(LineStream &stream, const EndpointRecord &at,
                                                    const asio::yield_context &yield)
{
    const std::int64_t eventsBefore = this->eventsProduced;
    StreamRelay relay(this->call, this->abort, this->events);
    if (!relay.run(
            stream, [this] { this->recordEvents(); }, yield)) {
        this->lastFault = nameOf(this->events.fault());
        return Outcome::Broken;
    }
    if (this->events.isInsideEvent() || this->framing == BodyFraming::Connection) {
        relay.flush(yield); // the checks of the end may take long
    }
    if (!this->hasEnded(at, eventsBefore, yield)) {
        return Outcome::Broken;
    }
    this->call.services.crashes.onServed(this->call.http, this->sentAt, !this->isSelfPrefilled);
    relay.finish(yield);
    return Outcome::Whole;
}

bool GenerationForward::hasEnded(const EndpointRecord &at, std::int64_t eventsBefore, const asio::yield_context &yield)
{
    if (this->events.isInsideEvent()) {
        this->lastFault = this->engine.value() + " ended its answer inside an event";
        this->isCutShort = true;
        return false;
    }
    if (this->framing != BodyFraming::Connection) {
        this->endEvidence = EndEvidence::Framing;
        return true;
    }
    if (this->eventsProduced == eventsBefore) {
        this->lastFault = this->engine.value() + " closed the connection without an event";
        this->isCutShort = true;
        return false;
    }
    return this->hasEngineOutlived(at, eventsBefore, yield);
}

bool GenerationForward::hasEngineOutlived(const EndpointRecord &at, std::int64_t eventsBefore,
                                          const asio::yield_context &yield)
{
    const auto &services = this->call.services;
    const BrokenAnswer answer{at, this->call.http, this->sentAt, this->firstEventAt};
    const bool isStaying = services.fleet.isStaying(at.id);
    const bool isFromFirstEvent = this->call.head.lastEvent.empty() && eventsBefore == 0;
    const bool mayResume = this->call.route.isResumable && !this->isVersionUnknown
        && this->sends < this->call.route.attempts && services.fleet.budget(this->call.service).left() >= 1;
    const StreamEnd end = services.ends.judge({at, this->call.head.id,
                                               isFromFirstEvent ? std::optional(this->eventsProduced) : std::nullopt,
                                               mayResume, this->call.deadline()},
                                              this->abort, yield);
    this->endEvidence = end.evidence;
    if (end.evidence != EndEvidence::None) {
        return true;
    }
    if (this->abort.isAborted()) {
        services.crashes.onAbandoned(answer);
        throw CallerGone();
    }
    this->lastFault =
        this->engine.value() + (end.isShort ? " ended its answer before its last event" : " ended with its answer");
    if (!end.isShort) {
        services.crashes.onEndedWithAnswer(answer, end.liveness, isStaying, this->call.timeLeft(), yield);
    }
    return false;
}

GenerationForward::Outcome GenerationForward::generate(const Place &place, const std::optional<Prefill> &prefilled,
                                                       const asio::yield_context &yield)
{
    const auto &services = this->call.services;
    GenerationStart start{place.engine.id, {}, {}, place.reservation, this->events.lastEvent()};
    if (prefilled) {
        start.prefillAddress = prefilled->address;
        start.result = prefilled->result;
    }
    const HttpRequest request = generationRequest(this->call.http, this->call.caller(), start, this->call.timeLeft());
    ++this->sends;
    this->hasNoPath = false;
    this->isCutShort = false;
    this->endEvidence = EndEvidence::None;
    this->firstEventAt.reset();
    this->sentAt = steadyNow();
    try {
        LineStream stream = services.client.open(place.engine.address, request,
                                                 {this->call.timeLeft(), Reuse::Never, &this->abort}, yield);
        const HttpResponse response = stream.head();
        this->framing = response.framing;
        services.notices.onAnswer(place.engine, response);
        const AnswerHead head = readAnswerHead(response, this->call.head.id);
        if (head.isForThisCall) {
            services.permits.onAnswer(place.engine.id, head.limit, this->sentAt);
        }
        if (head.reportsNotRun) {
            this->lastFault = "the engine did not take it";
            return Outcome::NotRun;
        }
        if (!head.isForThisCall || head.isEncoded) {
            this->lastFault = "not the answer to this call";
            return Outcome::Broken;
        }
        if (head.status != statusOk) {
            return this->forwardError(stream, head, yield);
        }
        if (!this->isStarted) {
            this->isStarted = true;
            this->call.reply.startForward(head.status, head.headers, yield);
        }
        EndpointRecord engine = place.engine;
        if (this->framing == BodyFraming::Connection) {
            this->isOtherStart(engine, yield); // the end of the stream is judged by the start that sends it
        }
        return this->relay(stream, engine, yield);
    } catch (const HttpError &error) {
        this->onFault(error);
        this->sends -= error.isKnownNotSent() ? 1 : 0;
        const BrokenAnswer answer{place.engine, this->call.http, this->sentAt, this->firstEventAt};
        if (this->abort.isAborted() && !error.isKnownNotSent()) {
            services.crashes.onAbandoned(answer);
        } else if (wasSilent(error)) {
            services.crashes.onSilent(answer);
        }
        this->checkCaller();
        this->isCutShort = mayHaveEnded(error);
        if (this->hasNoPath) {
            return Outcome::NoPlacement;
        }
        return error.isKnownNotSent() ? Outcome::NotRun : Outcome::Broken;
    }
}

// Runs in the background. A reservation or result that is not released expires, but blocks other callers until then.
void GenerationForward::release(const Place &place, const std::optional<Prefill> &prefilled)
{
    HttpClient &client = this->call.services.client;
    const EndpointRests &rests = this->call.services.fleet.rests();
    const auto sendRelease = [&](const EndpointId &engine, const std::string &address, const HttpRequest &request) {
        if (rests.isResting(engine)) {
            return; // it wants no request from this host, and what it keeps expires
        }
        startCoroutine(this->call.services.io, [&client, address, request](const asio::yield_context &yield) {
            try {
                client.call(address, request, {releaseLimit, Reuse::Never}, yield);
            } catch (const HttpError &error) {
                Log::info("not_given_back", {{"engine", address}, {"reason", error.what()}});
            }
        });
    };
    sendRelease(place.engine.id, place.engine.address, releaseRequest(place.reservation));
    if (prefilled) {
        sendRelease(prefilled->engine, prefilled->address, dropResultRequest(prefilled->result));
    }
}

// The decode engine had memory reserved, so it may have refused because it could not fetch the prefill result. The gate
// decides which of the two engines to avoid.
void GenerationForward::reportLostResult(const Place &place)
{
    const EngineId id(this->prefillEngine.value());
    this->call.services.fleet.prefills().onResultLost(id, steadyNow());
    if (id == place.prefill) {
        this->report(peer::PlacementEvent::ResultLost);
    }
}

GenerationForward::Outcome GenerationForward::tryOnce(const asio::yield_context &yield)
{
    this->hasNoPath = false;
    const auto place = this->reserve(yield);
    if (!place) {
        return Outcome::NoPlacement;
    }
    this->engine = place->engine.id;
    this->version = place->engine.version;
    this->times.placed = steadyNow() - this->call.arrival;
    std::optional<Prefill> prefilled;
    try {
        if (!this->isSelfPrefilled) {
            prefilled = this->prefill(*place, yield);
        }
        this->isSelfPrefilled = !prefilled;
        this->times.prefilled = steadyNow() - this->call.arrival;
        if (this->mustNotSend()) {
            this->release(*place, prefilled);
            return Outcome::NoPlacement;
        }
        if (this->call.services.fleet.rests().isResting(place->engine.id)) {
            this->lastFault = place->engine.id.value() + " rests";
            this->release(*place, prefilled);
            this->report(peer::PlacementEvent::Ended);
            return Outcome::NotRun;
        }
        const Outcome ended = this->generate(*place, prefilled, yield);
        if (ended == Outcome::NotRun || ended == Outcome::NoPlacement) {
            this->release(*place, prefilled);
        }
        const bool isResultLost = ended == Outcome::NotRun && prefilled;
        if (isResultLost) {
            this->reportLostResult(*place);
        }
        const bool isFault = ended == Outcome::Broken || (ended == Outcome::NotRun && !isResultLost);
        this->report(isFault ? peer::PlacementEvent::EndedByFault : peer::PlacementEvent::Ended);
        this->hasRun = this->hasRun || ended == Outcome::Whole;
        if (ended == Outcome::Broken) {
            this->mayHaveRun = true;
            this->avoid = EngineId(place->engine.id.value());
        }
        if (this->isCutShort) {
            this->reportCutShort(place->engine, yield);
        }
        return ended;
    } catch (const CallerGone &) {
        if (this->sends == 0) {
            this->release(*place, prefilled);
        }
        throw;
    }
}

// A stream that may go on waits for the result, so that it does not go on at one more engine if it is to be blocked.
void GenerationForward::reportCutShort(const EndpointRecord &at, const asio::yield_context &yield)
{
    CrashGuard &crashes = this->call.services.crashes;
    const BrokenAnswer answer{at, this->call.http, this->sentAt, this->firstEventAt};
    if (this->call.route.isResumable && this->call.timeLeft() > 0ms) {
        crashes.onBrokenOff(answer, this->call.timeLeft(), yield);
        this->checkCaller();
    } else {
        crashes.onBrokenOff(answer);
    }
}

std::optional<NoRetry> GenerationForward::claimRetry(Outcome ended)
{
    if (ended == Outcome::NoPlacement && this->hasNoPath) {
        return NoRetry::NoPath;
    }
    if (ended == Outcome::Whole || ended == Outcome::NoPlacement) {
        return NoRetry::None;
    }
    if (this->call.timeLeft() <= 0ms) {
        return NoRetry::NoTime;
    }
    if (this->events.fault() == RelayFault::TooMany) {
        return NoRetry::NotRepeatable; // the caller has more than it asked for
    }
    const bool mayRestart = ended == Outcome::NotRun && !this->isStarted;
    const bool mayGoOn = this->call.route.isResumable && (!this->isVersionUnknown || this->eventsProduced == 0);
    if (!mayRestart && !(ended == Outcome::Broken && mayGoOn)) {
        return NoRetry::NotRepeatable;
    }
    if (!this->isStarted && !this->call.maySend()) {
        return NoRetry::Stopping;
    }
    const int allowed = std::max(this->call.route.attempts, mayRestart ? 2 : 1);
    if (this->sends >= allowed) {
        return NoRetry::Attempts;
    }
    return this->call.services.fleet.budget(this->call.service).take() ? std::nullopt : std::optional(NoRetry::Budget);
}

void GenerationForward::refund()
{
    if (std::exchange(this->isCharged, false)) {
        this->call.services.credits.refund(this->call.caller().workspace, this->call.cost());
    }
}

void GenerationForward::logEnd(const char *outcome) const
{
    this->call.services.metrics.onGenerationEnd(outcome, this->times);
    const GenerationRequest request = this->placementRequest();
    const auto millis = [](const std::optional<Duration> &time) {
        return time ? time->count() / 1000 : -1;
    };
    Log::info("generation_ended",
              {{"request", this->call.head.id.value()},
               {"route", this->call.route.name},
               {"config", this->call.version.value()},
               {"outcome", outcome},
               {"engine", this->engine.value()},
               {"version", this->version.value()},
               {"resumes", this->call.head.resumes.value()},
               {"after_event", this->call.head.lastEvent},
               {"sends", this->sends},
               {"self_read", this->isSelfPrefilled},
               {"prompt", request.prompt.value()},
               {"expected_output", request.output.value()},
               {"output", this->outputTokens().value()},
               {"prefill", this->prefillEngine.value()},
               {"placed_ms", millis(this->times.placed)},
               {"read_ms", millis(this->times.prefilled)},
               {"longest_pause_ms", millis(this->times.longestPause)},
               {"first_event_ms", millis(this->times.firstEvent)},
               {"took_ms", (steadyNow() - this->call.arrival).count() / 1000},
               {"last_fault", this->lastFault},
               {"framing", nameOf(this->framing)},
               {"end_evidence", nameOf(this->endEvidence)},
               {"engine_stays", this->call.services.fleet.isStaying(this->engine)},
               {"last_event", this->events.lastEvent()},
               {"unfinished_event_bytes", static_cast<std::uint64_t>(this->events.rest().size())},
               {"no_retry", nameOf(this->noRetry)},
               {"registry", this->call.services.fleet.registryVersion()},
               {"registry_age_ms", this->call.services.fleet.registryAge(steadyNow()).count() / 1000}});
}

void GenerationForward::finish(Outcome ended, const asio::yield_context &yield)
{
    this->call.reply.onCallerGone({});
    if (ended == Outcome::Whole) {
        this->logEnd("whole");
        return;
    }
    if (this->isStarted) {
        this->logEnd("broken_off");
        this->call.reply.abort();
        return;
    }
    this->logEnd(this->mayHaveRun ? "failed" : "refused");
    if (this->mayHaveRun) {
        const bool isLate = this->isGraceOver || this->call.timeLeft() <= 0ms;
        this->call.refuse({isLate ? RefusalCode::OutcomeUnknown : RefusalCode::EndpointFailed, RunState::MayHaveRun,
                           this->lastFault, std::nullopt},
                          this->noRetry, yield);
        return;
    }
    if (this->blockedFor) {
        this->call.refuseBlocked(*this->blockedFor, yield);
        return;
    }
    if (this->noCredit) {
        this->call.refuseCredit(*this->noCredit, yield);
        return;
    }
    if (!this->call.maySend()) {
        this->call.refuseStopping(yield);
        return;
    }
    const std::string reason = this->lastFault.empty() ? "no engine has room in time" : this->lastFault;
    const Duration retryLater = std::max<Duration>(this->retryAfter.value_or(minRetryAfter), minRetryAfter);
    this->call.refuse(
        {RefusalCode::Overloaded, RunState::NotRun, reason, this->hasNoPath ? retryAfterWithoutPath : retryLater},
        this->noRetry, yield);
}

void GenerationForward::run(const asio::yield_context &yield)
{
    const auto &services = this->call.services;
    const RequestId &id = this->call.head.id;
    this->call.reply.onCallerGone([this, &services, &id] {
        this->abort.abort();
        services.gates.cancelWait(id);
    });
    services.fleet.budget(this->call.service).onSuccess();
    try {
        Outcome ended = this->tryOnce(yield);
        auto reason = this->claimRetry(ended);
        while (!reason) {
            this->events.dropRest();
            ended = this->tryOnce(yield);
            reason = this->claimRetry(ended);
        }
        this->noRetry = *reason;
        if (!this->hasRun && !this->mayHaveRun) {
            this->refund();
        }
        this->report(peer::PlacementEvent::Ended);
        this->finish(ended, yield);
        return;
    } catch (const CallerGone &) {
        this->call.reply.onCallerGone({});
        if (this->sends == 0) {
            this->refund();
        }
        if (this->call.timeLeft() <= 0ms) {
            this->lastFault = "not accepted by the caller before the deadline";
        }
        this->report(peer::PlacementEvent::Ended);
        if (!this->isGraceOver || this->call.reply.isStarted()) {
            this->logEnd("caller_gone");
            throw;
        }
    }
    this->mayHaveRun = this->mayHaveRun || this->sends > 0;
    this->lastFault = "this host stops before the answer";
    this->finish(Outcome::Broken, yield);
}

void GenerationForward::onGraceOver()
{
    if (!this->isStarted && !this->hasRun) {
        this->isGraceOver = true;
        this->abort.abort();
        this->call.services.gates.cancelWait(this->call.head.id);
    }
}

} // namespace fescuesill
