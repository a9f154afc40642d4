// Least prompt tokens of this host under way there. A result that crosses between data centres takes twice as long and
// is priced so, hence a far engine counts as having one more prompt of typical length; one that fails as having many
// more.
//
// A prompt goes home (PromptHome) unless another engine is ahead by nearly the time of reading it, which is all that
// going home can save.

#include "decide/prefillchoice.h"

#include "decide/prompthome.h"

#include <algorithm>
#include <limits>

namespace fescuesill
{

constexpr double farTokens = 6000; // one long prompt: the wait behind it costs about what the longer transfer does
constexpr double soundFaults = 0.1; // one fault is forgotten after two seconds, several after some more
constexpr double faultTokens = 50000; // ten of them: a failed read costs the caller its target

// Share of a prompt's own tokens by which its home is preferred.
constexpr double homeShare = 0.9;

std::optional<EngineId> PrefillChoice::pick(const std::vector<PrefillCandidate> &candidates, const PromptKey &prompt,
                                            Instant now)
{
    PromptHome home(prompt.name);
    for (const PrefillCandidate &candidate : candidates) {
        home.offer(candidate.engine);
    }
    std::optional<EngineId> chosen;
    double least = std::numeric_limits<double>::max();
    for (const PrefillCandidate &candidate : candidates) {
        const Load &load = this->loads[candidate.engine];
        const double cost = static_cast<double>(load.reading.value()) + (candidate.isNearDecode ? 0 : farTokens)
            + faultTokens * load.faults.at(now) + static_cast<double>(this->random() % 100)
            - (home.is(candidate.engine) ? homeShare * static_cast<double>(prompt.size.value()) : 0);
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

void PrefillChoice::onResultLost(const EngineId &engine, Instant now)
{
    const auto found = this->loads.find(engine);
    if (found != this->loads.end()) {
        found->second.faults.add(1, now);
    }
}

} // namespace fescuesill
