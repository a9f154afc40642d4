// Every event of a gate is followed by a poll, and each action goes to the one generation that it concerns: a coroutine
// of this host, or the host that asked. A timer polls again at the gate's next wake; without one, a request that nobody
// places would never be told.
//
// With a leader, a generation of this host waits in the leader's gate and in no other; the gate here adopts it when its
// place is known. If the leader is lost, those that wait with it are submitted here at once. Placing by two gates at
// the same time costs refusals of engines, and no more: an engine never gives the same memory twice.

#include "programs/gateway/gatekeeper.h"

#include "fescuesill/overloaded.h"
#include "wire/clock.h"
#include "wire/log.h"

namespace fescuesill
{
namespace
{

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
               {"waiting", waiting},
               {"placed", placed},
               {"engines", static_cast<std::uint64_t>(view.engines)},
               {"offered_load", view.offeredLoad},
               {"rate", view.rate},
               {"token_us", view.perToken.count()},
               {"registry", fleet.registryVersion()},
               {"registry_age_ms", ageMs}});
}

} // namespace

GateKeeper::GateKeeper(asio::io_context &context, FleetView &view, std::uint64_t number)
    : io(context)
    , fleet(view)
    , seed(number)
{
}

GateKeeper::Gate &GateKeeper::gate(const ServiceId &service)
{
    const auto [found, isNew] = this->gates.try_emplace(service, this->io, this->seed + this->gates.size());
    if (isNew) {
        found->second.core.setShare(this->share);
        this->refresh(service, found->second);
    }
    return found->second;
}

void GateKeeper::refresh(const ServiceId &service, Gate &gate)
{
    const auto &config = this->fleet.inForce();
    const ForwardedService *declared = config ? config->service(service) : nullptr;
    const bool generates = declared != nullptr && declared->engines;
    gate.core.setEngines(
        generates ? this->fleet.decodePlaces(service, *declared->engines) : std::vector<DecodePlaces>(), steadyNow());
    gate.core.setPrefillEngines(this->fleet.prefillPlaces(service));
}

void GateKeeper::onFleetChanged()
{
    for (auto &[service, gate] : this->gates) {
        this->refresh(service, gate);
        this->poll(gate);
    }
}

std::size_t GateKeeper::waiting() const
{
    std::size_t sum = 0;
    for (const auto &[service, gate] : this->gates) {
        sum += gate.core.waiting();
    }
    return sum;
}

std::size_t GateKeeper::placed() const
{
    std::size_t sum = 0;
    for (const auto &[service, gate] : this->gates) {
        sum += gate.core.placed();
    }
    return sum;
}

std::optional<StageLoad> GateKeeper::stageLoad(const ServiceId &service) const
{
    const auto found = this->gates.find(service);
    return found == this->gates.end() ? std::nullopt : found->second.core.stageLoad(steadyNow());
}

void GateKeeper::poll(Gate &gate)
{
    for (const GateAction &action : gate.core.poll(steadyNow())) {
        logDecision(action, gate.core.view(steadyNow()), this->fleet);
        this->deliver(action);
    }
    this->armTimer(gate);
}

void GateKeeper::armTimer(Gate &gate)
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

void GateKeeper::decide(Local &local, const GateAction &action)
{
    local.isAtLeader = false;
    local.decision = action;
    if (const auto *place = std::get_if<TryReserve>(&action)) {
        local.engine = place->engine;
        local.since = steadyNow();
    }
    local.timer.cancel();
}

void GateKeeper::deliver(const GateAction &action)
{
    const RequestId &id = std::visit([](const auto &made) -> const RequestId & { return made.id; }, action);
    if (const auto local = this->locals.find(id); local != this->locals.end()) {
        this->decide(*local->second, action);
        return;
    }
    const auto remote = this->remotes.find(id);
    if (remote == this->remotes.end()) {
        return;
    }
    const Send reply = remote->second.reply;
    if (const auto *place = std::get_if<TryReserve>(&action)) {
        reply(peer::OfferPlacement{id, place->engine, place->prefill});
        return;
    }
    reply(peer::RejectPlacement{id, std::get<RejectGeneration>(action).retryAfter});
    this->remotes.erase(remote);
}

void GateKeeper::submit(Local &local)
{
    const GenerationAsk &ask = local.ask;
    const Instant now = steadyNow();
    local.isAtLeader = this->uplink || this->isHeld;
    if (this->isHeld) {
        return;
    }
    if (!this->uplink) {
        Gate &gate = this->gate(local.service);
        gate.core.submit(ask, now);
        this->poll(gate);
        return;
    }
    this->uplink(peer::RequestPlacement{ask.id, local.service, static_cast<std::uint64_t>(std::max(0, ask.rank)),
                                        ask.prompt, ask.output, ask.mostOutput, now - ask.arrival,
                                        ask.onTimeUntil - now, ask.usefulUntil - now, ask.dataCentre, ask.avoid,
                                        ask.promptName});
}

GateAction GateKeeper::ask(const ServiceId &service, const GenerationAsk &ask, const asio::yield_context &yield)
{
    const auto local = std::make_shared<Local>(this->io);
    local->service = service;
    local->ask = ask;
    this->locals[ask.id] = local;
    this->submit(*local);
    return this->again(ask.id, yield);
}

GateAction GateKeeper::again(const RequestId &id, const asio::yield_context &yield)
{
    const auto local = this->locals.at(id);
    if (!local->decision) {
        boost::system::error_code ignored;
        local->timer.expires_at(std::chrono::steady_clock::time_point::max());
        local->timer.async_wait(yield[ignored]);
    }
    GateAction decision = local->decision.value_or(RejectGeneration{id, Duration(0), Duration(0)});
    local->decision.reset();
    return decision;
}

void GateKeeper::apply(Gate &gate, const RequestId &id, peer::PlacementEvent event, Tokens made)
{
    const Instant now = steadyNow();
    switch (event) {
    case peer::PlacementEvent::Reserved:
        gate.core.onReserved(id);
        return;
    case peer::PlacementEvent::Prefilled:
        gate.core.onRead(id, now);
        break;
    case peer::PlacementEvent::PrefillFailed:
        gate.core.onReadFailed(id, now);
        break;
    case peer::PlacementEvent::ResultLost:
        gate.core.onResultLost(id, now);
        break;
    case peer::PlacementEvent::Full:
        gate.core.onFull(id, now);
        break;
    case peer::PlacementEvent::Fault:
        gate.core.onFault(id, now);
        break;
    case peer::PlacementEvent::Ended:
    case peer::PlacementEvent::EndedByFault:
        gate.core.onEnded(id, event == peer::PlacementEvent::EndedByFault, made, now);
        break;
    }
    this->poll(gate);
}

void GateKeeper::report(const ServiceId &service, const RequestId &id, peer::PlacementEvent event, Tokens made)
{
    const auto found = this->locals.find(id);
    if (found == this->locals.end()) {
        return;
    }
    const auto local = found->second;
    const bool isRetry = event == peer::PlacementEvent::Full || event == peer::PlacementEvent::Fault;
    const bool isEnd = event == peer::PlacementEvent::Ended || event == peer::PlacementEvent::EndedByFault;
    if (isEnd) {
        this->locals.erase(found);
    }
    Gate &gate = this->gate(service);
    if (this->uplink) {
        this->uplink(peer::PlacementReport{id, service, event, made});
    }
    if (event == peer::PlacementEvent::Reserved && this->uplink) {
        gate.core.adopt(local->ask, local->engine, local->since);
    } else {
        this->apply(gate, id, event, made);
    }
    if (isRetry) {
        local->engine = EngineId();
        this->submit(*local);
    }
}

void GateKeeper::wake(const RequestId &id)
{
    const auto found = this->locals.find(id);
    if (found != this->locals.end()) {
        found->second->timer.cancel();
    }
}

void GateKeeper::setUplink(Send send)
{
    const bool wasElsewhere = this->uplink || this->isHeld;
    this->isHeld = false;
    this->uplink = std::move(send);
    if (this->uplink) {
        peer::HeldPlacements held;
        const Instant now = steadyNow();
        for (const auto &[id, local] : this->locals) {
            if (!local->engine.isEmpty()) {
                held.places.push_back({id, local->service, local->engine, local->ask.prompt, local->ask.output,
                                       local->ask.mostOutput, now - local->since});
            }
        }
        this->uplink(held);
    }
    if (!wasElsewhere) {
        return;
    }
    for (const auto &[id, local] : this->locals) {
        if (local->isAtLeader) {
            this->submit(*local);
        }
    }
}

void GateKeeper::hold()
{
    this->uplink = {};
    this->isHeld = true;
}

void GateKeeper::setShare(double part)
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

void GateKeeper::onTry(const peer::OfferPlacement &message)
{
    const auto found = this->locals.find(message.request);
    if (found != this->locals.end() && found->second->isAtLeader) {
        this->decide(*found->second, TryReserve{message.request, message.engine, message.prefill, 0, Duration(0)});
    }
}

void GateKeeper::onNone(const peer::RejectPlacement &message)
{
    const auto found = this->locals.find(message.request);
    if (found != this->locals.end() && found->second->isAtLeader) {
        this->decide(*found->second, RejectGeneration{message.request, message.retryAfter, Duration(0)});
    }
}

void GateKeeper::onChanging(const peer::EngineChanging &message)
{
    this->fleet.setChanging(EndpointId(message.engine.value()), steadyNow() + message.duration);
    this->onFleetChanged();
}

void GateKeeper::onAsk(LinkId link, const Send &reply, const peer::RequestPlacement &message)
{
    const Instant now = steadyNow();
    GenerationAsk ask;
    ask.id = message.request;
    ask.rank = static_cast<int>(message.rank);
    ask.prompt = message.prompt;
    ask.output = message.output;
    ask.mostOutput = message.maxOutput;
    ask.arrival = now - message.waited;
    ask.onTimeUntil = now + message.onTime;
    ask.usefulUntil = now + message.useful;
    ask.dataCentre = message.dataCentre;
    ask.avoid = message.avoid;
    ask.promptName = message.promptName;
    this->remotes[ask.id] = Remote{link, message.service, reply};
    Gate &gate = this->gate(message.service);
    gate.core.submit(ask, now);
    this->poll(gate);
}

void GateKeeper::onReport(LinkId, const peer::PlacementReport &message)
{
    this->apply(this->gate(message.service), message.request, message.event, message.output);
    if (message.event == peer::PlacementEvent::Ended || message.event == peer::PlacementEvent::EndedByFault) {
        this->remotes.erase(message.request);
    }
}

void GateKeeper::onHeld(LinkId link, const peer::HeldPlacements &message)
{
    const Instant now = steadyNow();
    for (const peer::HeldPlacement &place : message.places) {
        GenerationAsk ask;
        ask.id = place.request;
        ask.prompt = place.prompt;
        ask.output = place.output;
        ask.mostOutput = place.maxOutput;
        this->remotes[ask.id] = Remote{link, place.service, {}};
        this->gate(place.service).core.adopt(ask, place.engine, now - place.age);
    }
}

// Its generations are taken for ended: where the host died, engines drop them with its connections, and where only the
// link broke it says again what it holds.
void GateKeeper::onFollowerLost(LinkId link)
{
    for (auto remote = this->remotes.begin(); remote != this->remotes.end();) {
        const auto current = remote++;
        if (current->second.link == link) {
            this->gate(current->second.service).core.onEnded(current->first, false, Tokens(0), steadyNow());
            this->remotes.erase(current);
        }
    }
    for (auto &[service, gate] : this->gates) {
        this->poll(gate);
    }
}

} // namespace fescuesill
