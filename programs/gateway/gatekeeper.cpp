// Every event of a gate is followed by a poll, and each action wakes the one coroutine that it concerns. A timer polls
// again at the gate's next wake; without one, a request that nobody places would never be told.

#include "programs/gateway/gatekeeper.h"

#include "fescuesill/overloaded.h"
#include "wire/clock.h"

namespace fescuesill
{

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
        this->refresh(service, found->second);
    }
    return found->second;
}

void GateKeeper::refresh(const ServiceId &service, Gate &gate)
{
    const auto &config = this->fleet.inForce();
    const ForwardedService *declared = config ? config->service(service) : nullptr;
    const bool generates = declared != nullptr && declared->engines;
    gate.core.setEngines(generates ? this->fleet.decodePlaces(service, *declared->engines)
                                   : std::vector<DecodePlaces>(),
                         steadyNow());
}

void GateKeeper::onFleetChanged()
{
    for (auto &[service, gate] : this->gates) {
        this->refresh(service, gate);
        this->poll(gate);
    }
}

void GateKeeper::poll(Gate &gate)
{
    for (const GateAction &action : gate.core.poll(steadyNow())) {
        const RequestId &id = std::visit([](const auto &made) -> const RequestId & { return made.id; }, action);
        const auto found = this->waiters.find(id);
        if (found != this->waiters.end()) {
            found->second->decision = action;
            found->second->timer.cancel();
        }
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

GateAction GateKeeper::ask(const ServiceId &service, const GenerationAsk &ask, const asio::yield_context &yield)
{
    this->waiters[ask.id] = std::make_shared<Waiter>(this->io);
    Gate &gate = this->gate(service);
    gate.core.submit(ask, steadyNow());
    this->poll(gate);
    return this->again(service, ask.id, yield);
}

GateAction GateKeeper::again(const ServiceId &, const RequestId &id, const asio::yield_context &yield)
{
    const auto waiter = this->waiters.at(id);
    if (!waiter->decision) {
        boost::system::error_code ignored;
        waiter->timer.expires_at(std::chrono::steady_clock::time_point::max());
        waiter->timer.async_wait(yield[ignored]);
    }
    const GateAction decision = waiter->decision.value_or(RejectGeneration{id, Duration(0)});
    waiter->decision.reset();
    return decision;
}

void GateKeeper::onReserved(const ServiceId &service, const RequestId &id)
{
    this->gate(service).core.onReserved(id);
}

void GateKeeper::onFull(const ServiceId &service, const RequestId &id)
{
    Gate &gate = this->gate(service);
    gate.core.onFull(id, steadyNow());
    this->poll(gate);
}

void GateKeeper::onFault(const ServiceId &service, const RequestId &id)
{
    Gate &gate = this->gate(service);
    gate.core.onFault(id, steadyNow());
    this->poll(gate);
}

void GateKeeper::onEnded(const ServiceId &service, const RequestId &id, bool isEngineFault)
{
    this->waiters.erase(id);
    Gate &gate = this->gate(service);
    gate.core.onEnded(id, isEngineFault, steadyNow());
    this->poll(gate);
}

void GateKeeper::wake(const RequestId &id)
{
    const auto found = this->waiters.find(id);
    if (found != this->waiters.end()) {
        found->second->timer.cancel();
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

} // namespace fescuesill
