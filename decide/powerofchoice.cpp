// Power of two choices: draws two engines and takes the one with less load. Several entries place without a common
// owner, each on reports that lag. If each took the best engine of all by old reports, all would choose the same one
// (herding). Own work that is not yet in a report is added, so that the burst of one entry spreads.
//
// There is no queue here: if the engines drawn have no room the request is refused, since no entry sees the others'
// waiting requests.

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

std::optional<std::size_t> PowerOfChoice::lessLoaded(const std::vector<std::size_t> &pool)
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
    const auto prefill = this->lessLoaded(this->prefills);
    const auto decode = this->lessLoaded(this->decodes);
    if (!prefill || !decode) {
        return std::nullopt;
    }
    Engine &decodeEngine = this->engines[*decode];
    const std::int64_t pieces = piecesFor(prompt).value();
    if (loadOf(decodeEngine) + pieces > decodeEngine.spec.memory.value()) {
        return std::nullopt;
    }
    decodeEngine.recent += pieces;
    this->engines[*prefill].recent += prompt.value();
    return Choice{this->engines[*prefill].spec.engine, decodeEngine.spec.engine};
}

} // namespace fescuesill
