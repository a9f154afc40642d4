// Every event of a gate is followed by a poll, and each resulting action goes to the one generation that it concerns:
// to a coroutine of this host, or to the host that sent the request. A timer polls at the gate's next wake time, since
// a request that is never placed would otherwise get no reply.
//
// With a leader, a generation of this host waits only in the leader's gate; the local gate adopts it once its engine is
// known. If the leader is lost, the requests that wait there are submitted to the local gate at once. Two gates that
// place at the same time only cause refusals by engines, because an engine never reserves the same memory twice.
//
// A stream stays at the version of the first engine that reserves a place for it, so a version that was reported once
// is final. It is known to the host that began the stream, to the leader and to the leader's deputy, and hosts report
// what they know to each leader that they follow next, or as soon as they learn that there are several versions.
//
// The version of a stream that nobody has reported is inferred only by a host that decides, and only from a registry
// that was read after the request came. Such requests wait for a check of the registry.

#include "programs/gateway/placementgates.h"

#include "fescuesill/overloaded.h"
#include "wire/clock.h"
#include "wire/log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fescuesill
{
namespace
{

// After the start of a fleet, engines are listed within this. Until a later list, versions may have come and gone.
constexpr Duration firstListLimit{5s};

void logDecision(const GateAction &action, const GateView &view, const FleetView &fleet)
{
    const auto waiting = static_cast<std::uint64_t>(view.waiting);
    const auto placed = static_cast<std::uint64_t>(view.placed);
    const std::int64_t ageMs = fleet.registryAge(steadyNow()).count() / 1000;
    if (const auto *place = std::get_if<TryReserve>(&action)) {
        Log::info("place_tried",
                  {{"request", place->id.value()},
                   {"engine", place->engine.value()},
                   {"prefill", place->prefill.value()},
                   {"forecast", place->forecast},
                   {"waited_ms", place->waited.count() / 1000},
                   {"waiting", waiting},
                   {"placed", placed},
                   {"registry", fleet.registryVersion()},
                   {"registry_age_ms", ageMs}});
        return;
    }
    const auto &rejected = std::get<RejectGeneration>(action);
    Log::info("place_rejected",
              {{"request", rejected.id.value()},
               {"retry_after_ms", rejected.retryAfter.count() / 1000},
               {"waited_ms", rejected.waited.count() / 1000},
               {"version_missing", rejected.reason == RejectReason::NoVersion},
               {"waiting", waiting},
               {"placed", placed},
               {"engines", static_cast<std::uint64_t>(view.engines)},
               {"offered_load", view.offeredLoad},
               {"rate", view.rate},
               {"token_us", view.perToken.count()},
               {"registry", fleet.registryVersion()},
               {"registry_age_ms", ageMs}});
}

peer::StreamsBegun messageOf(const std::vector<BegunStream> &streams)
{
    const Instant now = steadyNow();
    peer::StreamsBegun message;
    message.streams.reserve(streams.size());
    for (const BegunStream &stream : streams) {
        message.streams.push_back(
            {stream.request, stream.service, stream.version, now - stream.since, stream.workspace});
    }
    return message;
}

std::vector<std::string> textsOf(const std::vector<EngineId> &engines)
{
    std::vector<std::string> texts;
    texts.reserve(engines.size());
    for (const EngineId &engine : engines) {
        texts.push_back(engine.value());
    }
    return texts;
}

StreamOrigins::Options originOptions(bool isFirstStart)
{
    StreamOrigins::Options options;
    options.isFirstStart = isFirstStart;
    return options;
}

} // namespace

PlacementGates::PlacementGates(asio::io_context &context, FleetView &view, WorkspaceCredits &workspaceCredits,
                               bool isFirstStart, std::uint64_t number)
    : io(context)
    , fleet(view)
    , credits(workspaceCredits)
    , seed(number)
    , origins(originOptions(isFirstStart))
    , startedAt(bootNow())
{
}

PlacementGates::Gate &PlacementGates::gate(const ServiceId &service)
{
    const auto [found, isNew] = this->gates.try_emplace(service, this->io, this->seed + this->gates.size());
    if (isNew) {
        found->second.core.setShare(this->share);
        this->refresh(service, found->second);
    }
    return found->second;
}

void PlacementGates::refresh(const ServiceId &service, Gate &gate)
{
    const auto &config = this->fleet.activeConfig();
    const ForwardedService *declared = config ? config->service(service) : nullptr;
    const bool generates = declared != nullptr && declared->engines;
    gate.core.setEngines(
        generates ? this->fleet.decodePlaces(service, *declared->engines) : std::vector<DecodeEngine>(), steadyNow());
    gate.core.setPrefillEngines(this->fleet.prefillPlaces(service));
}

void PlacementGates::onFleetChanged()
{
    const auto &config = this->fleet.activeConfig();
    const std::uint64_t gaps = this->fleet.registryGaps();
    if (std::exchange(this->registryGaps, gaps) != gaps) {
        this->origins.onOutdated(steadyNow());
    }
    if (this->fleet.isInitialised() && !std::exchange(this->hasListed, true)
        && bootNow() - this->startedAt > firstListLimit) {
        this->origins.onOutdated(steadyNow());
    }
    if (config) {
        for (const auto &[id, service] : config->services) {
            if (service.engines) {
                const std::set<SoftwareVersion> listed = this->fleet.versions(id);
                std::set<SoftwareVersion> seen = this->fleet.takeSeenVersions(id);
                seen.insert(listed.begin(), listed.end());
                this->origins.onListed(id, listed, seen, steadyNow());
            }
        }
    }
    for (auto &[service, gate] : this->gates) {
        this->refresh(service, gate);
        this->poll(gate);
    }
}

std::size_t PlacementGates::waiting() const
{
    std::size_t sum = 0;
    for (const auto &[service, gate] : this->gates) {
        sum += gate.core.waiting();
    }
    return sum;
}

std::size_t PlacementGates::placed() const
{
    std::size_t sum = 0;
    for (const auto &[service, gate] : this->gates) {
        sum += gate.core.placed();
    }
    return sum;
}

std::optional<StageLoad> PlacementGates::stageLoad(const ServiceId &service) const
{
    const auto found = this->gates.find(service);
    return found == this->gates.end() ? std::nullopt : found->second.core.stageLoad(steadyNow());
}

void PlacementGates::poll(Gate &gate)
{
    for (const GateAction &action : gate.core.poll(steadyNow())) {
        logDecision(action, gate.core.view(steadyNow()), this->fleet);
        this->deliver(action);
    }
    this->armTimer(gate);
}

void PlacementGates::armTimer(Gate &gate)
{
    const auto wake = gate.core.nextWake(steadyNow());
    if (!wake) {
        gate.timer.cancel();
        return;
    }
    gate.timer.expires_after(std::max<Duration>(*wake - steadyNow(), 1ms));
    gate.timer.async_wait([this, &gate](const boost::system::error_code &error) {
        if (!error) {
            this->poll(gate);
        }
    });
}

void PlacementGates::decide(LocalGeneration &local, const GateAction &action)
{
    local.isAtLeader = false;
    local.decision = action;
    if (const auto *place = std::get_if<TryReserve>(&action)) {
        local.engine = place->engine;
        local.since = steadyNow();
        local.request.isCharged = true;
        local.isChargedHere = false;
    } else {
        this->refundUnoffered(local);
    }
    local.timer.cancel();
}

void PlacementGates::deliver(const GateAction &action)
{
    const RequestId &id = std::visit([](const auto &decided) -> const RequestId & { return decided.id; }, action);
    if (const auto local = this->localGenerations.find(id); local != this->localGenerations.end()) {
        this->decide(*local->second, action);
        return;
    }
    const auto remote = this->remoteGenerations.find(id);
    if (remote == this->remoteGenerations.end()) {
        return;
    }
    const Send reply = remote->second.reply;
    if (const auto *place = std::get_if<TryReserve>(&action)) {
        remote->second.isChargedHere = false;
        reply(peer::OfferPlacement{id, place->engine, place->prefill});
        return;
    }
    const auto &rejected = std::get<RejectGeneration>(action);
    reply(peer::RejectPlacement{id, rejected.retryAfter, rejected.reason});
    this->refundUnoffered(remote->second);
    this->remoteGenerations.erase(remote);
}

std::optional<RejectGeneration> PlacementGates::charge(GenerationRequest &request)
{
    if (request.isCharged || request.workspace.isEmpty()) {
        return std::nullopt;
    }
    const CreditDecision decision = this->credits.takeHere(request.workspace, request.cost);
    if (decision.wait > 0ms) {
        return RejectGeneration{request.id, decision.wait, Duration(0), decision.reason};
    }
    request.isCharged = true;
    return std::nullopt;
}

void PlacementGates::refundUnoffered(LocalGeneration &local)
{
    if (std::exchange(local.isChargedHere, false)) {
        this->credits.refund(local.request.workspace, local.request.cost);
    }
}

void PlacementGates::refundUnoffered(RemoteGeneration &remote)
{
    if (std::exchange(remote.isChargedHere, false)) {
        this->credits.refund(remote.workspace, remote.cost);
    }
}

void PlacementGates::submit(LocalGeneration &local)
{
    const GenerationRequest &request = local.request;
    const Instant now = steadyNow();
    local.isAtLeader = this->uplink || this->isSuspended;
    if (this->isSuspended) {
        return;
    }
    // Each host knows its own streams best; the leader, those of the others.
    const VersionState version = this->findVersion(local.service, local.request, local.asked);
    if (!this->uplink) {
        if (version == VersionState::Unknown) {
            this->rejectUnknown(local);
            return;
        }
        if (version == VersionState::Unconfirmed) {
            local.isUnconfirmed = true;
            this->checkRegistry();
            return;
        }
        Gate &gate = this->gate(local.service);
        const bool wasCharged = local.request.isCharged;
        if (const auto rejected = this->charge(local.request)) {
            this->decide(local, *rejected);
            return;
        }
        local.isChargedHere = local.request.isCharged && !wasCharged;
        gate.core.submit(request, now);
        this->poll(gate);
        return;
    }
    this->uplink(peer::RequestPlacement{
        request.id, local.service, static_cast<std::uint64_t>(std::max(0, request.rank)), request.prompt,
        request.output, request.maxOutput, now - request.arrival, request.onTimeUntil - now, request.usefulUntil - now,
        request.dataCentre, request.avoid, textsOf(request.excluded), request.promptName, request.version,
        request.isTakenUp, request.resumes, request.workspace, request.cost, request.isCharged});
}

std::optional<GateAction> PlacementGates::requestPlacement(const ServiceId &service, const GenerationRequest &request,
                                                           const asio::yield_context &yield)
{
    const auto local = std::make_shared<LocalGeneration>(this->io);
    local->service = service;
    local->request = request;
    local->asked = bootNow();
    this->localGenerations[request.id] = local;
    this->submit(*local);
    return this->nextDecision(request.id, yield);
}

std::optional<GateAction> PlacementGates::nextDecision(const RequestId &id, const asio::yield_context &yield)
{
    const auto local = this->localGenerations.at(id);
    if (!local->decision) {
        boost::system::error_code ignored;
        local->timer.expires_at(std::chrono::steady_clock::time_point::max());
        local->timer.async_wait(yield[ignored]);
    }
    return std::exchange(local->decision, std::nullopt);
}

void PlacementGates::apply(Gate &gate, const RequestId &id, peer::PlacementEvent event, Tokens output)
{
    const Instant now = steadyNow();
    switch (event) {
    case peer::PlacementEvent::Reserved:
        gate.core.onReserved(id);
        return;
    case peer::PlacementEvent::Prefilled:
        gate.core.onPrefilled(id, now);
        break;
    case peer::PlacementEvent::PrefillFailed:
        gate.core.onPrefillFailed(id, now);
        break;
    case peer::PlacementEvent::ResultLost:
        gate.core.onResultLost(id, now);
        break;
    case peer::PlacementEvent::Full:
        gate.core.onFull(id, now);
        break;
    case peer::PlacementEvent::Declined:
        gate.core.onDeclined(id, now);
        break;
    case peer::PlacementEvent::Fault:
        gate.core.onFault(id, now);
        break;
    case peer::PlacementEvent::Ended:
    case peer::PlacementEvent::EndedByFault:
        gate.core.onEnded(id, event == peer::PlacementEvent::EndedByFault, output, now);
        break;
    }
    this->poll(gate);
}

void PlacementGates::setExcluded(const RequestId &id, const std::vector<EngineId> &engines)
{
    const auto found = this->localGenerations.find(id);
    if (found != this->localGenerations.end()) {
        found->second->request.excluded = engines;
    }
}

void PlacementGates::report(const ServiceId &service, const RequestId &id, peer::PlacementEvent event, Tokens output)
{
    const auto found = this->localGenerations.find(id);
    if (found == this->localGenerations.end()) {
        return;
    }
    const auto local = found->second;
    const bool isRetry = event == peer::PlacementEvent::Full || event == peer::PlacementEvent::Fault
        || event == peer::PlacementEvent::Declined;
    const bool isEnd = event == peer::PlacementEvent::Ended || event == peer::PlacementEvent::EndedByFault;
    if (isEnd) {
        this->refundUnoffered(*local);
        this->localGenerations.erase(found);
    }
    this->send(peer::PlacementReport{id, service, event, output, {}});
    this->apply(this->gate(service), id, event, output);
    if (isRetry) {
        local->engine = EngineId();
        this->submit(*local);
    }
}

void PlacementGates::send(const peer::PlacementReport &message)
{
    if (this->uplink) {
        this->uplink(message);
    }
}

void PlacementGates::reportReserved(const ServiceId &service, const RequestId &id, const SoftwareVersion &version)
{
    const auto found = this->localGenerations.find(id);
    if (found == this->localGenerations.end()) {
        return;
    }
    const LocalGeneration &local = *found->second;
    if (!version.isEmpty()) {
        const Instant now = steadyNow();
        this->origins.onBegun({id, service, version, now, local.request.workspace}, now);
    }
    this->send(peer::PlacementReport{id, service, peer::PlacementEvent::Reserved, Tokens(0), version});
    Gate &gate = this->gate(service);
    if (this->uplink) {
        gate.core.adopt(local.request, local.engine, local.since);
    } else {
        this->apply(gate, id, peer::PlacementEvent::Reserved, Tokens(0));
    }
}

PlacementGates::VersionState PlacementGates::findVersion(const ServiceId &service, GenerationRequest &request,
                                                         Instant asked) const
{
    if (request.isTakenUp && this->origins.isOfAnother(request.resumes, request.workspace)) {
        return VersionState::Unknown;
    }
    if (!request.isTakenUp || !request.version.isEmpty()) {
        return VersionState::Known;
    }
    const VersionLookup lookUp = this->origins.lookUp(request.resumes, service, asked, steadyNow());
    if (std::holds_alternative<version_lookup::Unconfirmed>(lookUp) && this->fleet.isRegistryCurrent()) {
        return VersionState::Unconfirmed;
    }
    const auto *found = std::get_if<version_lookup::Found>(&lookUp);
    // A follower may know of fewer versions than its leader, which is asked next.
    if (found == nullptr || (this->uplink && !found->isReported)) {
        return VersionState::Unknown;
    }
    Log::info("stream_version_found",
              {{"request", request.id.value()},
               {"resumes", request.resumes.value()},
               {"version", found->version.value()},
               {"reported", found->isReported},
               {"registry", this->fleet.registryVersion()}});
    request.version = found->version;
    return VersionState::Known;
}

void PlacementGates::rejectUnknown(LocalGeneration &local)
{
    const RequestId &id = local.request.id;
    Log::info("stream_version_unknown", {{"request", id.value()}, {"resumes", local.request.resumes.value()}});
    this->decide(local, RejectGeneration{id, Duration(0), Duration(0), RejectReason::NoVersion});
}

void PlacementGates::rejectUnknown(const Send &reply, const peer::RequestPlacement &message) const
{
    Log::info("stream_version_unknown", {{"request", message.request.value()}, {"resumes", message.resumes.value()}});
    reply(peer::RejectPlacement{message.request, Duration(0), RejectReason::NoVersion});
}

void PlacementGates::setRegistryCheck(std::function<void()> check)
{
    this->checkRegistry = std::move(check);
}

// A request that came after the check began waits for the next one, which it has asked for.
void PlacementGates::onRegistryChecked(std::optional<Instant> at)
{
    if (at) {
        this->origins.onConfirmed(*at);
    }
    for (const auto &[id, local] : this->localGenerations) {
        if (!local->isUnconfirmed || (at && local->asked > *at)) {
            continue;
        }
        local->isUnconfirmed = false;
        if (at || this->uplink || this->isSuspended) {
            this->submit(*local);
        } else {
            this->rejectUnknown(*local);
        }
    }
    for (UnconfirmedRequest &waiting : std::exchange(this->unconfirmed, {})) {
        if (at && waiting.asked > *at) {
            this->unconfirmed.push_back(std::move(waiting));
        } else if (at) {
            this->submitRemote(waiting.link, waiting.reply, waiting.message, waiting.asked);
        } else {
            this->rejectUnknown(waiting.reply, waiting.message);
        }
    }
}

void PlacementGates::forgetUnconfirmed(const RequestId &id)
{
    this->unconfirmed.erase(
        std::remove_if(this->unconfirmed.begin(), this->unconfirmed.end(),
                       [&id](const UnconfirmedRequest &waiting) { return waiting.message.request == id; }),
        this->unconfirmed.end());
}

peer::StreamsBegun PlacementGates::streamsBegun() const
{
    return messageOf(this->origins.begun(steadyNow()));
}

peer::StreamsBegun PlacementGates::takeNewStreams()
{
    const std::vector<BegunStream> taken = this->origins.takeNew(steadyNow());
    if (this->uplink) {
        std::vector<BegunStream> earlier;
        std::copy_if(taken.begin(), taken.end(), std::back_inserter(earlier),
                     [this](const BegunStream &stream) { return stream.since < this->uplinkSince; });
        if (!earlier.empty()) {
            this->uplink(messageOf(earlier));
        }
    }
    return messageOf(taken);
}

void PlacementGates::onStreamsBegun(const peer::StreamsBegun &message)
{
    const Instant now = steadyNow();
    for (const peer::StreamOrigin &stream : message.streams) {
        const BegunStream begun{stream.request, stream.service, stream.version, now - stream.age, stream.workspace};
        if (this->uplink) { // from the leader, to its deputy
            this->origins.onKnown(begun, now);
        } else {
            this->origins.onBegun(begun, now);
        }
    }
}

void PlacementGates::onStreamsSaved(const peer::StreamsBegun &message)
{
    const Instant now = steadyNow();
    for (const peer::StreamOrigin &stream : message.streams) {
        this->origins.onKnown({stream.request, stream.service, stream.version, now - stream.age, stream.workspace},
                              now);
    }
}

void PlacementGates::cancelWait(const RequestId &id)
{
    const auto found = this->localGenerations.find(id);
    if (found != this->localGenerations.end()) {
        found->second->timer.cancel();
    }
}

void PlacementGates::wakeWaiting()
{
    for (const auto &[id, local] : this->localGenerations) {
        local->timer.cancel();
    }
}

void PlacementGates::setUplink(Send send)
{
    const bool wasElsewhere = this->uplink || this->isSuspended;
    this->isSuspended = false;
    this->uplink = std::move(send);
    if (this->uplink) {
        peer::HeldPlacements held;
        const Instant now = steadyNow();
        for (const auto &[id, local] : this->localGenerations) {
            if (!local->engine.isEmpty()) {
                held.places.push_back({id, local->service, local->engine, local->request.prompt, local->request.output,
                                       local->request.maxOutput, now - local->since});
            }
        }
        this->uplinkSince = now;
        this->uplink(held);
        const peer::StreamsBegun begun = this->streamsBegun();
        if (!begun.streams.empty()) {
            this->uplink(begun);
        }
    }
    if (!wasElsewhere) {
        return;
    }
    for (const auto &[id, local] : this->localGenerations) {
        if (local->isAtLeader) {
            this->submit(*local);
        }
    }
}

void PlacementGates::suspend()
{
    this->uplink = {};
    this->isSuspended = true;
}

void PlacementGates::setShare(double part)
{
    if (part == this->share) {
        return;
    }
    this->share = part;
    for (auto &[service, gate] : this->gates) {
        gate.core.setShare(part);
        this->poll(gate);
    }
}

void PlacementGates::onPlacementOffered(const peer::OfferPlacement &message)
{
    const auto found = this->localGenerations.find(message.request);
    if (found != this->localGenerations.end() && found->second->isAtLeader) {
        this->decide(*found->second, TryReserve{message.request, message.engine, message.prefill, 0, Duration(0)});
    }
}

void PlacementGates::onPlacementRejected(const peer::RejectPlacement &message)
{
    const auto found = this->localGenerations.find(message.request);
    if (found != this->localGenerations.end() && found->second->isAtLeader) {
        this->decide(*found->second,
                     RejectGeneration{message.request, message.retryAfter, Duration(0), message.reason});
    }
}

void PlacementGates::onChanging(const peer::EngineChanging &message)
{
    this->fleet.setChanging(EndpointId(message.engine.value()), steadyNow() + message.duration);
    this->onFleetChanged();
}

void PlacementGates::onPlacementRequested(LinkId link, const Send &reply, const peer::RequestPlacement &message)
{
    this->submitRemote(link, reply, message, bootNow());
}

void PlacementGates::submitRemote(LinkId link, const Send &reply, const peer::RequestPlacement &message, Instant asked)
{
    const Instant now = steadyNow();
    GenerationRequest request;
    request.id = message.request;
    request.rank = static_cast<int>(message.rank);
    request.prompt = message.prompt;
    request.output = message.output;
    request.maxOutput = message.maxOutput;
    request.arrival = now - message.waited;
    request.onTimeUntil = now + message.onTime;
    request.usefulUntil = now + message.useful;
    request.dataCentre = message.dataCentre;
    request.avoid = message.avoid;
    for (const std::string &engine : message.excluded) {
        request.excluded.emplace_back(engine);
    }
    request.promptName = message.promptName;
    request.version = message.version;
    request.isTakenUp = message.isTakenUp;
    request.resumes = message.resumes;
    request.workspace = message.workspace;
    request.cost = message.cost;
    request.isCharged = message.isCharged;
    const VersionState version = this->findVersion(message.service, request, asked);
    if (version == VersionState::Unknown) {
        this->rejectUnknown(reply, message);
        return;
    }
    if (version == VersionState::Unconfirmed) {
        this->unconfirmed.push_back({link, reply, message, asked});
        this->checkRegistry();
        return;
    }
    if (const auto rejected = this->charge(request)) {
        reply(peer::RejectPlacement{request.id, rejected->retryAfter, rejected->reason});
        return;
    }
    const bool isChargedHere = request.isCharged && !message.isCharged;
    this->remoteGenerations[request.id] =
        RemoteGeneration{link, message.service, reply, request.workspace, request.cost, isChargedHere};
    Gate &gate = this->gate(message.service);
    gate.core.submit(request, now);
    this->poll(gate);
}

void PlacementGates::onPlacementReport(LinkId, const peer::PlacementReport &message)
{
    if (!message.version.isEmpty()) {
        const auto remote = this->remoteGenerations.find(message.request);
        const WorkspaceId workspace =
            remote == this->remoteGenerations.end() ? WorkspaceId() : remote->second.workspace;
        const Instant now = steadyNow();
        this->origins.onBegun({message.request, message.service, message.version, now, workspace}, now);
    }
    this->apply(this->gate(message.service), message.request, message.event, message.output);
    const bool isEnd =
        message.event == peer::PlacementEvent::Ended || message.event == peer::PlacementEvent::EndedByFault;
    if (isEnd) {
        this->forgetUnconfirmed(message.request);
    }
    const auto remote = this->remoteGenerations.find(message.request);
    if (isEnd && remote != this->remoteGenerations.end()) {
        this->refundUnoffered(remote->second); // its caller has gone while it waited
        this->remoteGenerations.erase(remote);
    }
}

void PlacementGates::onHeldPlacements(LinkId link, const peer::HeldPlacements &message)
{
    const Instant now = steadyNow();
    for (const peer::HeldPlacement &place : message.places) {
        GenerationRequest request;
        request.id = place.request;
        request.prompt = place.prompt;
        request.output = place.output;
        request.maxOutput = place.maxOutput;
        this->remoteGenerations[request.id] = RemoteGeneration{link, place.service, {}, {}, {}, false};
        this->gate(place.service).core.adopt(request, place.engine, now - place.age);
    }
}

// Treats the generations of the follower as ended. If the host died, the engines drop them with its connections; if
// only the link broke, the host reports its placements again when it reconnects.
void PlacementGates::onFollowerLost(LinkId link)
{
    this->unconfirmed.erase(std::remove_if(this->unconfirmed.begin(), this->unconfirmed.end(),
                                           [link](const UnconfirmedRequest &waiting) { return waiting.link == link; }),
                            this->unconfirmed.end());
    for (auto remote = this->remoteGenerations.begin(); remote != this->remoteGenerations.end();) {
        const auto current = remote++;
        if (current->second.link == link) {
            this->gate(current->second.service).core.onEnded(current->first, false, Tokens(0), steadyNow());
            this->refundUnoffered(current->second); // the host asks again elsewhere if it lives
            this->remoteGenerations.erase(current);
        }
    }
    for (auto &[service, gate] : this->gates) {
        this->poll(gate);
    }
}

} // namespace fescuesill
