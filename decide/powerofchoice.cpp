// Power of two choices: draw two engines, take the one with less load. Load: several entries place without a common
// owner, each on reports that lag. Harm prevented: all of them pick the engine that looked best (herding), as the best
// of all on old reports would. Own work not yet in a report is added, so that one entry's burst spreads.
//
// It does not queue: with no place in sight the request is refused, since nobody here sees the queue.

#include "decide/powerofchoice.h"

namespace fescuesill
{

void PowerOfChoice::setEngines(const std::vector<EngineSpec> &specs)
{
    std::unordered_map<EngineId, Engine> known;
    for (const Engine &engine : this->engines) {
        known.emplace(engine.spec.engine, engine);
    }
    this->engines.clear();
    this->byName.clear();
    this->prefills.clear();
    this->decodes.clear();
    for (const EngineSpec &spec : specs) {
        Engine engine = known[spec.engine];
        engine.spec = spec;
        const std::size_t index = this->engines.size();
        this->engines.push_back(engine);
        this->byName[spec.engine] = index;
        if (!spec.leaving) {
            (spec.pool == Pool::Prefill ? this->prefills : this->decodes).push_back(index);
        }
    }
}

void PowerOfChoice::onLoadReport(const EngineId &name, const LoadReport &report)
{
    const auto found = this->byName.find(name);
    if (found == this->byName.end()) {
        return;
    }
    Engine &engine = this->engines[found->second];
    engine.previous = engine.recent;
    engine.recent = 0;
    engine.reported = engine.spec.pool == Pool::Prefill ? report.queued.value() : report.piecesUsed.value();
}

std::int64_t PowerOfChoice::loadOf(const Engine &engine)
{
    return engine.reported + engine.recent + engine.previous;
}

std::optional<std::size_t> PowerOfChoice::better(const std::vector<std::size_t> &pool)
{
    if (pool.empty()) {
        return std::nullopt;
    }
    const auto load = [this](std::size_t index) {
        return loadOf(this->engines[index]);
    };
    const std::size_t first = pool[this->random() % pool.size()];
    const std::size_t second = pool[this->random() % pool.size()];
    return load(first) <= load(second) ? first : second;
}

std::optional<PowerOfChoice::Choice> PowerOfChoice::place(Tokens prompt)
{
    const auto prefill = this->better(this->prefills);
    const auto decode = this->better(this->decodes);
    if (!prefill || !decode) {
        return std::nullopt;
    }
    Engine &writer = this->engines[*decode];
    const std::int64_t pieces = piecesFor(prompt).value();
    if (loadOf(writer) + pieces > writer.spec.memory.value()) {
        return std::nullopt;
    }
    writer.recent += pieces;
    this->engines[*prefill].recent += prompt.value();
    return Choice{this->engines[*prefill].spec.engine, writer.spec.engine};
}

} // namespace fescuesill
