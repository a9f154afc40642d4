// Each refusal counts against both engines. The results of a prefill engine that loses them are refused by many decode
// engines, once each; a decode engine that sheds load refuses the results of many prefill engines. So the engine with
// more recent refusals is at fault. If both have the same number, the one that a larger share of its handovers failed
// on is at fault; this tells a single prefill engine from the one decode engine that refuses it. A first refusal counts
// against the prefill engine, because the decode engine had memory reserved.

#include "decide/handoverfaults.h"

#include <cmath>

namespace fescuesill
{
namespace
{

constexpr double sameCount = 0.5; // refusals; counts that differ by less are the same
constexpr double firstRefusal = 1.5; // a decayed count below it is that of a single refusal

} // namespace

HandoverFaults::Record &HandoverFaults::current(const EngineId &engine, Instant now)
{
    Record &record = this->records[engine];
    const double age = std::chrono::duration<double>(now - record.updated).count();
    const double left = std::exp2(-age / std::chrono::duration<double>(this->options.halfLife).count());
    record = {record.taken * left, record.refused * left, now};
    return record;
}

void HandoverFaults::onTaken(const EngineId &prefill, const EngineId &decode, Instant now)
{
    this->current(prefill, now).taken += 1;
    this->current(decode, now).taken += 1;
}

Pool HandoverFaults::onRefused(const EngineId &prefill, const EngineId &decode, Instant now)
{
    this->current(prefill, now).refused += 1;
    this->current(decode, now).refused += 1;
    const Record &source = this->records.at(prefill);
    const Record &target = this->records.at(decode);
    if (std::abs(target.refused - source.refused) >= sameCount) {
        return target.refused > source.refused ? Pool::Decode : Pool::Prefill;
    }
    if (target.refused < firstRefusal) {
        return Pool::Prefill;
    }
    const auto failedShare = [](const Record &record) {
        return record.refused / (record.refused + record.taken);
    };
    return failedShare(target) > failedShare(source) ? Pool::Decode : Pool::Prefill;
}

void HandoverFaults::removeOld(Instant now)
{
    for (auto record = this->records.begin(); record != this->records.end();) {
        const bool isOld = now - record->second.updated >= this->options.maxAge;
        record = isOld ? this->records.erase(record) : std::next(record);
    }
}

} // namespace fescuesill
