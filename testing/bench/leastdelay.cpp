#include "leastdelay.h"

#include <algorithm>

namespace fescuesill::bench
{

constexpr Duration freshness = 10s;
constexpr Duration awayCost = 20ms;
constexpr Duration lossCost = 200ms;
constexpr double packets = 4;
constexpr double closeShare = 0.15;
constexpr double fullUse = 0.97;
constexpr Duration fullCost = 100ms;

std::optional<Duration> LeastDelay::delay(int cell, const Known &known, Tokens prompt, Instant now) const
{
    const CellSummary &summary = known.summary;
    const bool usable = summary.accepting && summary.prefillEngines > 0 && summary.decodeEngines > 0;
    if (!usable || now > known.received + freshness) {
        return std::nullopt;
    }
    const Duration sentWork = summary.prefillPerToken * known.sent.value() / summary.prefillEngines;
    const Duration drained = std::min(sentWork, now - known.received);
    Duration delay = summary.queueDelay + (sentWork - drained) + summary.prefillPerToken * prompt.value();
    delay += summary.memoryUse > fullUse ? fullCost : Duration(0);
    if (cell != this->home) {
        const double losses = known.loss * packets;
        delay += 2 * known.oneWay + awayCost + std::chrono::duration_cast<Duration>(lossCost * losses);
    }
    return delay;
}

int LeastDelay::choose(Tokens prompt, Instant now)
{
    std::vector<std::pair<Duration, int>> candidates;
    for (const auto &[cell, known] : this->cells) {
        if (const auto delay = this->delay(cell, known, prompt, now)) {
            candidates.emplace_back(*delay, cell);
        }
    }
    if (candidates.empty()) {
        return this->home;
    }
    std::sort(candidates.begin(), candidates.end());
    const auto limit = std::chrono::duration_cast<Duration>(candidates.front().first * (1 + closeShare));
    const auto close = std::count_if(candidates.begin(), candidates.end(),
                                     [limit](const auto &candidate) { return candidate.first <= limit; });
    const int chosen = candidates[this->random() % static_cast<std::size_t>(close)].second;
    this->cells[chosen].sent += prompt;
    return chosen;
}

} // namespace fescuesill::bench
