// The engines of a cell, by the declaration, their reports and their observed failures. An engine takes new work while
// it is listed, has reported since it was last lost, is not leaving and is not changing its pool. The functions here
// keep the tables of both pools consistent with that.

#include "decide/cellstate.h"

namespace fescuesill
{

CellState::EngineState &CellState::engineAt(EngineSlot slot)
{
    if (slot >= this->engines.size()) {
        this->engines.resize(slot + 1);
        this->matchedBlocks.resize(slot + 1);
    }
    return this->engines[slot];
}

bool CellState::takesWork(EngineSlot slot) const
{
    const EngineState &engine = this->engines[slot];
    return engine.listed && !engine.lost && !engine.spec.leaving && !engine.changing;
}

void CellState::setEngines(const std::vector<EngineSpec> &specs, Instant now)
{
    std::vector<bool> named(this->engines.size());
    for (const EngineSpec &spec : specs) {
        const EngineSlot slot = this->table.slotOf(spec.engine);
        EngineState &engine = this->engineAt(slot);
        named.resize(this->engines.size());
        named[slot] = true;
        const bool changedRole = engine.listed && engine.spec.pool != spec.pool;
        engine.spec = spec;
        engine.listed = true;
        engine.changing = engine.changing && !changedRole;
        engine.link = this->links.linkOf(spec.link.empty() ? "engine " + spec.engine.value() : spec.link);
    }
    for (EngineSlot slot = 0; slot < this->engines.size(); ++slot) {
        if (this->engines[slot].listed && !named[slot]) {
            this->engines[slot].listed = false;
            this->markEngineLost(slot, now);
        }
    }
    this->refreshPools(now);
}

void CellState::refreshPools(Instant now)
{
    this->prefillSlots.clear();
    this->decodeSlots.clear();
    for (EngineSlot slot = 0; slot < this->engines.size(); ++slot) {
        const EngineState &engine = this->engines[slot];
        const bool prefill = engine.listed && engine.spec.pool == Pool::Prefill;
        const bool decode = engine.listed && engine.spec.pool == Pool::Decode;
        if (prefill) {
            this->prefillSlots.push_back(slot);
        }
        if (decode) {
            this->decodeSlots.push_back(slot);
        }
        this->prefillOutliers.setMember(slot, prefill);
        this->decodeOutliers.setMember(slot, decode);
        this->refreshPrefill(slot, now);
        this->refreshDecode(slot, now);
    }
}

void CellState::refreshPrefill(EngineSlot slot, Instant now)
{
    const EngineState &engine = this->engines[slot];
    const auto allowance = this->prefillOutliers.allowance(slot, now);
    const bool allowed = !allowance || static_cast<int>(this->prefills.jobCount(slot)) < *allowance;
    this->prefills.setEngine(slot, engine.spec.pool == Pool::Prefill && this->takesWork(slot) && allowed);
}

void CellState::refreshDecode(EngineSlot slot, Instant now)
{
    const EngineState &engine = this->engines[slot];
    const bool stalled = engine.decoding > 0 && now > engine.progressAt + this->options.decodeStall;
    const bool usable = engine.spec.pool == Pool::Decode && this->takesWork(slot) && !stalled
        && !this->decodeOutliers.allowance(slot, now);
    this->memory.setEngine(slot, engine.spec.memory, usable);
}

void CellState::markEngineLost(EngineSlot slot, Instant now)
{
    EngineState &engine = this->engines[slot];
    engine.lost = true;
    engine.lostAt = now;
    this->prefixes.removeEngine(slot);
    for (const std::uint64_t key : this->prefills.jobs(slot)) {
        this->requeue(*this->byKey[key], this->counters.wastedRedone, RefusalCode::EndpointFailed, now);
    }
    // Requests that decode on the engine are reported by their entries, which know whether the prefill result still
    // exists. Requests that are still in prefill and only reserved memory there are released to decode elsewhere.
    for (auto &[request, record] : this->records) {
        if (record.decode == slot && record.stage == Stage::Prefilling) {
            this->releaseDecode(record, now);
            this->promise(record);
        }
    }
    this->refreshPools(now);
}

} // namespace fescuesill
