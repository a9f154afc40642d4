// The cell of the own data centre gets each request first, whatever its summary says. Another cell is chosen only for a
// request that the own cell refuses.
//
// Why: callers of one data centre may send more than its cell can serve while others have room, and 340 entries receive
// the summaries seconds late and all at about the same time. If every entry sent to the cell with the best summary, all
// would fill that cell and then move to the next one together (herding), and three requests in four would cross the
// country for nothing.
//
// The owner of a cell decides on exact state, immediately, and is a few hundred microseconds away. So only refused
// requests move to another data centre, and only this second choice relies on delayed summaries. It draws two cells
// with probabilities proportional to their free memory and takes the one with the smaller delay, so entries with the
// same summaries spread over the cells in proportion to their room. A cell that refuses as well is avoided for a
// moment. This limits what an outdated summary can attract to one request of each entry in that time. At most one
// further cell is asked: when all cells are full a request costs at most two decisions, and then one, since the other
// cells are avoided.
//
// Rejected, with figures in docs/design/cells.md: least expected delay over all cells, and the dual price of the
// related paper.

#include "decide/cellchoice.h"

#include <algorithm>

namespace fescuesill
{

constexpr double fullUse = 0.97; // of the decode memory; above it a request waits until memory is released
constexpr Duration fullCost = 100ms; // about the time until one release in a cell of today's size

void CellChoice::onSummary(const CellId &cell, const CellSummary &summary, Instant now)
{
    const auto [found, isNew] = this->cells.try_emplace(cell);
    CellRecord &record = found->second;
    // If the owner of a cell stops publishing, the scheduler of this host repeats its last summary every second, and
    // the cell would look as free as it was then. So only a newer version renews the record.
    if (!isNew && summary.version <= record.summary.version) {
        return;
    }
    record.summary = summary;
    record.received = now;
}

void CellChoice::onLink(const DataCentreId &dataCentre, Duration oneWay, double lossShare)
{
    this->links[dataCentre] = Link{oneWay, lossShare};
}

void CellChoice::onReach(const CellId &cell, bool isReachable)
{
    const auto found = this->cells.find(cell);
    if (found != this->cells.end()) {
        found->second.isReachable = isReachable;
    }
}

void CellChoice::onRefused(const CellId &cell, Duration retryAfter, Instant now)
{
    const auto found = this->cells.find(cell);
    if (found != this->cells.end()) {
        const Duration shortest = this->options.minAvoidance;
        found->second.avoidUntil = now + std::clamp(retryAfter, shortest, this->options.maxAvoidance);
    }
}

// A declared cell that has published nothing yet has version 0; its default summary would look like an idle cell.
bool CellChoice::isFresh(const CellRecord &record, Instant now) const
{
    return record.summary.version > 0 && now <= record.received + this->options.freshness;
}

std::optional<Duration> CellChoice::expectedDelay(const CellId &cell, Tokens prompt, Instant now) const
{
    const auto found = this->cells.find(cell);
    if (found == this->cells.end()) {
        return std::nullopt;
    }
    const CellRecord &record = found->second;
    const CellSummary &summary = record.summary;
    const bool isUsable = summary.accepting && summary.prefillEngines > 0 && summary.decodeEngines > 0;
    if (!isUsable || !record.isReachable || !this->isFresh(record, now)) {
        return std::nullopt;
    }
    Duration delay = summary.queueDelay + summary.prefillPerToken * prompt.value();
    if (summary.memoryUse > fullUse) {
        delay += fullCost;
    }
    if (cell.dataCentre != this->options.home) {
        const auto link = this->links.find(cell.dataCentre);
        const Link path = link == this->links.end() ? Link() : link->second;
        const double losses = path.lossShare * this->options.packetsPerRequest;
        delay += 2 * path.oneWay + this->options.remoteCost
            + std::chrono::duration_cast<Duration>(this->options.lossCost * losses);
    }
    return delay;
}

// The own cell is used even if its summary is old, since its owner is near and has exact state. It is also used if the
// owner is unreachable: a successor may take over within seconds, and the entry can place on nearby engines by itself.
bool CellChoice::isHomeUsable(const CellId &home, Instant now) const
{
    const auto found = this->cells.find(home);
    if (found == this->cells.end()) {
        return false;
    }
    return found->second.summary.accepting || !this->isFresh(found->second, now);
}

std::vector<CellChoice::Candidate> CellChoice::candidatesExcept(const CellId &cell, Tokens prompt, Instant now) const
{
    std::vector<Candidate> candidates;
    for (const auto &[other, record] : this->cells) {
        const bool isCandidate = other.model == cell.model && !(other == cell) && now >= record.avoidUntil;
        const auto delay = isCandidate ? this->expectedDelay(other, prompt, now) : std::nullopt;
        if (delay) {
            candidates.push_back({other, *delay, 1 + record.summary.freePieces.value()});
        }
    }
    return candidates;
}

// Draws two candidates, weighted by room, among those within maxExtraDelay of the best; returns the one with less
// delay.
std::optional<CellId> CellChoice::draw(std::vector<Candidate> candidates)
{
    Duration shortest = Duration::max();
    for (const Candidate &candidate : candidates) {
        shortest = std::min(shortest, candidate.delay);
    }
    const auto isFar = [this, shortest](const Candidate &candidate) {
        return candidate.delay - shortest > this->options.maxExtraDelay;
    };
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), isFar), candidates.end());
    std::int64_t room = 0;
    for (const Candidate &candidate : candidates) {
        room += candidate.room;
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto drawOne = [&]() -> const Candidate & {
        auto left = static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(room));
        std::size_t index = 0;
        while (left >= candidates[index].room) {
            left -= candidates[index++].room;
        }
        return candidates[index];
    };
    const Candidate &one = drawOne();
    const Candidate &other = drawOne();
    return other.delay < one.delay ? other.cell : one.cell;
}

std::optional<CellId> CellChoice::choose(const ModelId &model, Tokens prompt, Instant now)
{
    const CellId home{model, this->options.home};
    if (this->isHomeUsable(home, now)) {
        return home;
    }
    return this->draw(this->candidatesExcept(home, prompt, now));
}

std::optional<CellId> CellChoice::chooseAfterRefusal(const CellId &refusedBy, Tokens prompt, Duration left, Instant now)
{
    auto candidates = this->candidatesExcept(refusedBy, prompt, now);
    const auto isLate = [left](const Candidate &candidate) {
        return candidate.delay > left;
    };
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), isLate), candidates.end());
    return this->draw(std::move(candidates));
}

} // namespace fescuesill
