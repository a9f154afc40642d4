// Chooses the engine with the fewest prompt tokens of this host in progress. A transfer between data centres takes
// twice as long and costs accordingly, so a far engine counts as having one more prompt of typical length, and a
// failing engine as having many more.
//
// A prompt goes to its home (PromptHome) unless another engine is ahead by nearly the time of prefilling the prompt,
// which is the maximum that a cache hit can save.

#include "decide/prefillchoice.h"

#include "decide/prompthome.h"

#include <algorithm>
#include <limits>

namespace fescuesill
{

// One long prompt: waiting behind it takes about as long as the extra transfer time.
constexpr double farCostTokens = 6000;
constexpr double maxHealthyFaultRate = 0.1; // one fault is forgotten after two seconds, several after some more
constexpr double faultCostTokens = 50000; // ten prompts: with a failed prefill the caller misses its target

// Share of a prompt's tokens by which its home is preferred.
constexpr double homeShare = 0.9;

std::optional<EngineId> PrefillChoice::pick(const std::vector<PrefillCandidate> &candidates, const PromptKey &prompt,
                                            Instant now)
{
    PromptHome home(prompt.name);
    for (const PrefillCandidate &candidate : candidates) {
        home.offer(candidate.engine);
    }
    std::optional<EngineId> chosen;
    double lowest = std::numeric_limits<double>::max();
    for (const PrefillCandidate &candidate : candidates) {
        const Load &load = this->loads[candidate.engine];
        const double cost = static_cast<double>(load.pending.value()) + (candidate.isNearDecode ? 0 : farCostTokens)
            + faultCostTokens * load.faults.at(now) + static_cast<double>(this->random() % 100)
            - (home.is(candidate.engine) ? homeShare * static_cast<double>(prompt.size.value()) : 0);
        if (cost < lowest) {
            lowest = cost;
            chosen = candidate.engine;
        }
    }
    return chosen;
}

bool PrefillChoice::isHealthy(const EngineId &engine, Instant now) const
{
    const auto found = this->loads.find(engine);
    return found == this->loads.end() || found->second.faults.at(now) < maxHealthyFaultRate;
}

void PrefillChoice::onSent(const EngineId &engine, Tokens prompt)
{
    this->loads[engine].pending += prompt;
}

void PrefillChoice::onEnded(const EngineId &engine, Tokens prompt, bool isFault, Instant now)
{
    const auto found = this->loads.find(engine);
    if (found == this->loads.end()) {
        return; // the engine was removed in the meantime
    }
    found->second.pending -= prompt;
    found->second.faults.add(isFault ? 1 : 0, now);
}

void PrefillChoice::onResultLost(const EngineId &engine, Instant now)
{
    const auto found = this->loads.find(engine);
    if (found != this->loads.end()) {
        found->second.faults.add(1, now);
    }
}

} // namespace fescuesill
