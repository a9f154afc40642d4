// The own data centre's cell first, whatever its summary says; another one only for a request that it refuses.
//
// Load: callers of one data centre ask for more than its cell can do while others have room, and 340 entries hear of
// it seconds late and all at about the same time. Harm prevented: all send to the cell that was best some seconds ago,
// fill it, and turn together to the next (herding); three requests in four then cross the country for nothing.
//
// The owner of a cell decides with an exact picture, at once, and a few hundred microseconds away. So what is moved is
// just what it refuses, and only the second choice goes by late summaries. That one is a draw of two by the room that
// the summaries show, the less delayed of which is asked: entries with the same summary spread over the cells with
// room, and by how much. A cell that refuses as well is left alone for a moment, which bounds what a stuck summary can
// attract to one request of each entry in that time. One more cell is asked, never two: when all are full each request
// costs two decisions at most, and then one, since all the others are being left alone.
//
// Rejected, with figures in docs/design/cells.md: least expected delay over all cells, and the dual price of the
// related paper.

#include "decide/cellchoice.h"

#include <algorithm>

namespace fescuesill
{

constexpr double fullUse = 0.97; // of the decode memory; above it a request waits for a place
constexpr Duration fullCost = 100ms; // about what one release takes in a cell of today's size

void CellChoice::onSummary(const CellId &cell, const CellSummary &summary, Instant now)
{
    const auto [found, isNew] = this->cells.try_emplace(cell);
    Known &known = found->second;
    // Failure: the owner of a cell stopped publishing, and its last word is repeated every second by the scheduler of
    // this host. Shows as a cell that stays as free as it was then. Only a newer version renews what is known.
    if (!isNew && summary.version <= known.summary.version) {
        return;
    }
    known.summary = summary;
    known.received = now;
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
        const Duration least = this->options.leastAvoided;
        found->second.avoidUntil = now + std::clamp(retryAfter, least, this->options.mostAvoided);
    }
}

// A cell of the declaration of which nothing was heard yet has version 0; it would look as if it were idle.
bool CellChoice::isFresh(const Known &known, Instant now) const
{
    return known.summary.version > 0 && now <= known.received + this->options.freshness;
}

std::optional<Duration> CellChoice::expectedDelay(const CellId &cell, Tokens prompt, Instant now) const
{
    const auto found = this->cells.find(cell);
    if (found == this->cells.end()) {
        return std::nullopt;
    }
    const Known &known = found->second;
    const CellSummary &summary = known.summary;
    const bool isUsable = summary.accepting && summary.prefillEngines > 0 && summary.decodeEngines > 0;
    if (!isUsable || !known.isReachable || !this->isFresh(known, now)) {
        return std::nullopt;
    }
    Duration delay = summary.queueDelay + summary.prefillPerToken * prompt.value();
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

// An old summary keeps nobody from asking here: the owner is near and knows. Neither does an owner that cannot be
// reached, since it may have a successor within seconds and the entry can place among engines that are near.
bool CellChoice::isHomeUsable(const CellId &home, Instant now) const
{
    const auto found = this->cells.find(home);
    if (found == this->cells.end()) {
        return false;
    }
    return found->second.summary.accepting || !this->isFresh(found->second, now);
}

std::vector<CellChoice::Candidate> CellChoice::othersThan(const CellId &cell, Tokens prompt, Instant now) const
{
    std::vector<Candidate> candidates;
    for (const auto &[other, known] : this->cells) {
        const bool isCandidate = other.model == cell.model && !(other == cell) && now >= known.avoidUntil;
        const auto delay = isCandidate ? this->expectedDelay(other, prompt, now) : std::nullopt;
        if (delay) {
            candidates.push_back({other, *delay, 1 + known.summary.freePieces.value()});
        }
    }
    return candidates;
}

// Two draws by room among the close ones; the one with less delay.
std::optional<CellId> CellChoice::draw(std::vector<Candidate> candidates)
{
    Duration least = Duration::max();
    for (const Candidate &candidate : candidates) {
        least = std::min(least, candidate.delay);
    }
    const auto isFar = [this, least](const Candidate &candidate) {
        return candidate.delay - least > this->options.close;
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
    return this->draw(this->othersThan(home, prompt, now));
}

std::optional<CellId> CellChoice::chooseAfterRefusal(const CellId &refusedBy, Tokens prompt, Duration left, Instant now)
{
    auto candidates = this->othersThan(refusedBy, prompt, now);
    const auto isLate = [left](const Candidate &candidate) {
        return candidate.delay > left;
    };
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), isLate), candidates.end());
    return this->draw(std::move(candidates));
}

} // namespace fescuesill
