// Failure: no owner of a cell is reachable for longer than a few requests. PowerOfChoice counts what it placed since an
// engine's last report; without reports the count only grows, and after as many placings as there is memory it would
// refuse everything. So the entry asks the engines itself, but only while it places: every entry asking every engine
// all the time is what owners are there to avoid. 250 ms is how often an owner asks.

#include "programs/entry/degradedloads.h"

#include "wire/clock.h"
#include "wire/log.h"

namespace fescuesill
{
namespace
{

constexpr Duration askEvery{250ms};

} // namespace

DegradedLoads::DegradedLoads(ShardServices &shared)
    : services(shared)
{
}

void DegradedLoads::refresh(const CellId &cell, const EntryView &view)
{
    const Instant now = steadyNow();
    const auto last = this->lastAsked.find(cell);
    if (last != this->lastAsked.end() && now - last->second < askEvery) {
        return;
    }
    this->lastAsked[cell] = now;
    for (const Engine &engine : view.declaration->engines) {
        if (CellId{engine.model, engine.dataCentre} == cell) {
            startCoroutine(this->services.io,
                           [this, cell, engine](const asio::yield_context &yield) { this->ask(cell, engine, yield); });
        }
    }
}

void DegradedLoads::ask(const CellId &cell, const Engine &engine, const asio::yield_context &yield)
{
    try {
        const EngineLoad load = this->services.engines.load(engine.address, yield);
        const auto placer = this->services.degradedPlacers.find(cell);
        if (placer != this->services.degradedPlacers.end()) {
            placer->second.onLoadReport(engine.id, loadReport(load));
        }
    } catch (const EngineError &error) {
        Log::debug("engine_load_unread", {{"engine", engine.id.value()}, {"fault", error.what()}});
    }
}

} // namespace fescuesill
