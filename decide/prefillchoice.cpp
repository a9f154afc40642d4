// Least prompt tokens of this host under way there. A result that crosses between data centres takes twice as long and
// is priced so, hence a far engine counts as having one more prompt of typical length; one that fails as having many
// more.

#include "decide/prefillchoice.h"

#include <algorithm>
#include <limits>

namespace fescuesill
{

constexpr double farTokens = 6000; // one long prompt: the wait behind it costs about what the longer transfer does
constexpr double soundFaults = 0.1; // one fault is forgotten after two seconds, several after some more
constexpr std::int64_t leastPrompt = 500; // the way there and back is most of the time of a shorter one
constexpr double readWeight = 0.1; // of one read in the mean
constexpr double slackEachRead = 1.01; // the fastest read is forgotten over a hundred
constexpr double faultTokens = 50000; // ten of them: a failed read costs the caller its target

std::optional<EngineId> PrefillChoice::pick(const std::vector<PrefillCandidate> &candidates, Instant now)
{
    std::optional<EngineId> chosen;
    double least = std::numeric_limits<double>::max();
    for (const PrefillCandidate &candidate : candidates) {
        const Load &load = this->loads[candidate.engine];
        const double cost = static_cast<double>(load.reading.value()) + (candidate.isNearDecode ? 0 : farTokens)
            + faultTokens * load.faults.at(now) + static_cast<double>(this->random() % 100);
        if (cost < least) {
            least = cost;
            chosen = candidate.engine;
        }
    }
    return chosen;
}

bool PrefillChoice::isSound(const EngineId &engine, Instant now) const
{
    const auto found = this->loads.find(engine);
    return found == this->loads.end() || found->second.faults.at(now) < soundFaults;
}

void PrefillChoice::onSent(const EngineId &engine, Tokens prompt)
{
    this->loads[engine].reading += prompt;
}

void PrefillChoice::onEnded(const EngineId &engine, Tokens prompt, bool isFault, Instant now)
{
    const auto found = this->loads.find(engine);
    if (found == this->loads.end()) {
        return; // gone meanwhile
    }
    found->second.reading -= prompt;
    found->second.faults.add(isFault ? 1 : 0, now);
}

void PrefillChoice::onRead(Tokens prompt, Duration took)
{
    if (prompt.value() < leastPrompt) {
        return;
    }
    const double each = static_cast<double>(took.count()) / static_cast<double>(prompt.value());
    this->meanUs = this->perTokenUs ? this->meanUs + readWeight * (each - this->meanUs) : each;
    this->perTokenUs = this->perTokenUs ? std::min(each, *this->perTokenUs * slackEachRead) : each;
}

} // namespace fescuesill
