// Least expected delay: the cell's own queueing delay, what was sent there since it said so, the way there and back,
// and what lost packets cost on that way.
//
// Load: one data centre is full or lost, and summaries are a second old. Harm prevented: every entry sends all to the
// cell that was best a second ago (herding). Two things stop that: an entry adds its own work to the summary it goes
// by, and cells that are nearly as good are drawn from at random.
//
// docs/design/decisions.md has the comparison with the dual price of the related paper.

#include "decide/cellchoice.h"

#include <algorithm>

namespace fescuesill
{

constexpr double fullUse = 0.97; // of the decode memory; above it a request waits for a place
constexpr Duration fullCost = 100ms; // about what one release takes in a cell of today's size

void CellChoice::onSummary(const CellId &cell, const CellSummary &summary, Instant now)
{
    Known &known = this->cells[cell];
    known.summary = summary;
    known.received = now;
    known.sent = Tokens(0);
}

void CellChoice::onLink(const DataCentreId &dataCentre, Duration oneWay, double lossShare)
{
    this->links[dataCentre] = Link{oneWay, lossShare};
}

void CellChoice::onRefused(const CellId &cell, Duration retryAfter, Instant now)
{
    const auto found = this->cells.find(cell);
    if (found != this->cells.end()) {
        found->second.avoidUntil = now + retryAfter;
    }
}

std::optional<Duration> CellChoice::expectedDelay(const CellId &cell, Tokens prompt, Instant now) const
{
    const auto found = this->cells.find(cell);
    if (found == this->cells.end()) {
        return std::nullopt;
    }
    const Known &known = found->second;
    const CellSummary &summary = known.summary;
    const bool usable = summary.accepting && summary.prefillEngines > 0 && summary.decodeEngines > 0;
    if (!usable || now < known.avoidUntil || now > known.received + this->options.freshness) {
        return std::nullopt;
    }
    const Duration sentWork = summary.prefillPerToken * known.sent.value() / summary.prefillEngines;
    const Duration drained = std::min(sentWork, std::chrono::duration_cast<Duration>(now - known.received));
    Duration delay = summary.queueDelay + (sentWork - drained) + summary.prefillPerToken * prompt.value();
    if (summary.memoryUse > fullUse) {
        delay += fullCost;
    }
    if (cell.dataCentre != this->options.home) {
        const auto link = this->links.find(cell.dataCentre);
        const Link way = link == this->links.end() ? Link() : link->second;
        const double losses = way.lossShare * this->options.packets;
        delay += 2 * way.oneWay + this->options.awayCost
            + std::chrono::duration_cast<Duration>(this->options.lossCost * losses);
    }
    return delay;
}

std::optional<CellId> CellChoice::choose(const ModelId &model, Tokens prompt, Instant now)
{
    std::vector<std::pair<Duration, CellId>> candidates;
    for (const auto &[cell, known] : this->cells) {
        const auto delay = cell.model == model ? this->expectedDelay(cell, prompt, now) : std::nullopt;
        if (delay) {
            candidates.emplace_back(*delay, cell);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::sort(candidates.begin(), candidates.end());
    const auto limit = std::chrono::duration_cast<Duration>(candidates.front().first * (1 + this->options.close));
    const auto close = std::count_if(candidates.begin(), candidates.end(),
                                     [limit](const auto &candidate) { return candidate.first <= limit; });
    const CellId chosen = candidates[this->random() % static_cast<std::size_t>(close)].second;
    this->cells[chosen].sent += prompt;
    return chosen;
}

} // namespace fescuesill
