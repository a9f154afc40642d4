// Chooses the prefill engine and the decode engine of a request by the expected end of the work on each engine that
// takes work. Every engine is examined: at 600 engines that costs a few microseconds, and drawing two would miss the
// one that holds the prefix.

#include "decide/cellstate.h"

#include <algorithm>

namespace fescuesill
{

constexpr double maxWaitScoreRatio = 0.6;

EngineSlot CellState::mostFree(EngineSlot except) const
{
    EngineSlot best = noEngine;
    for (const EngineSlot slot : this->decodeSlots) {
        const bool more = best == noEngine || this->memory.free(slot) > this->memory.free(best);
        if (slot != except && more && this->takesWork(slot)) {
            best = slot;
        }
    }
    return best;
}

// The engine with the most free memory has the smallest batch, so it generates fastest and is the last to become full.
// An engine that was ejected as slow is probed with requests that are not urgent.
EngineSlot CellState::chooseDecode(Pieces pieces, bool urgent, Instant now) const
{
    EngineSlot best = noEngine;
    for (const EngineSlot slot : this->decodeSlots) {
        const auto allowance = this->decodeOutliers.allowance(slot, now);
        if (allowance) {
            const bool probe = !urgent && this->takesWork(slot) && this->engines[slot].running < *allowance;
            if (probe) {
                return slot;
            }
            continue;
        }
        const Pieces free = this->memory.free(slot);
        if (free >= pieces && (best == noEngine || free > this->memory.free(best))) {
            best = slot;
        }
    }
    return best;
}

// Prefix affinity with a limit. The score is the time until the prefill is done and its link is free, plus the cost of
// the prefill to other requests while work waits. An engine that holds the prefix is chosen as long as its queue costs
// less than computing the prefix again; beyond that the prefix is computed on another engine too and has one more
// holder. So a frequently used preamble spreads to as many engines as its load needs.
CellState::PrefillChoice CellState::choosePrefill(const Record &record, Instant now)
{
    this->counters.steps += this->prefixes.match(record.request.prefix, this->matches);
    for (const PrefixIndex::Match &match : this->matches) {
        this->matchedBlocks[match.slot] = match.blocks;
    }
    const Tokens context = this->contextOf(record);
    const double pressure = this->queue.size() > 1 ? this->prefills.busyShare() : 0;
    const bool interactive = record.request.requestClass.firstToken <= maxInteractiveFirstToken;
    PrefillChoice best;
    Duration bestOfAll = Duration::max();
    for (const EngineSlot slot : this->prefillSlots) {
        ++this->counters.steps;
        if (!this->prefills.usable(slot)) {
            continue;
        }
        const Duration ahead = this->prefills.ahead(slot, record.rank, now);
        const std::size_t matched = this->matchedBlocks[slot];
        const Tokens known(static_cast<std::int64_t>(matched) * this->options.prefixBlock.value());
        const Duration nominal = this->prefillTime(std::max(Tokens(0), context - known));
        const auto prefill = std::chrono::duration_cast<Duration>(nominal * this->prefills.slowness(slot));
        const Duration linkWait = this->linkWait(record, slot, ahead + prefill, now);
        const Duration score = ahead + prefill + linkWait + std::chrono::duration_cast<Duration>(nominal * pressure);
        bestOfAll = std::min(bestOfAll, score);
        if (ahead > this->options.prefillAhead
            || (!interactive && linkWait > this->options.keep * this->options.keepShare)) {
            continue;
        }
        const bool better = best.slot == noEngine || score < best.score
            || (score == best.score && this->engines[slot].lastPlaced < this->engines[best.slot].lastPlaced);
        if (better) {
            best = PrefillChoice{slot, matched, ahead, prefill, linkWait, score};
        }
    }
    for (const PrefixIndex::Match &match : this->matches) {
        this->matchedBlocks[match.slot] = 0;
    }
    // A slow engine may be the only one without a queue. If waiting for another engine would be much faster, the
    // request waits.
    if (best.slot != noEngine && bestOfAll < std::chrono::duration_cast<Duration>(best.score * maxWaitScoreRatio)) {
        return PrefillChoice();
    }
    return best;
}

// Time that the transfer of this request would wait for those reserved on the engine's link, if its prefill ended in
// `ready`. Interactive classes share the link instead, which costs at most the request's own transfer time for each of
// the others. Without this term, near the rate of a link, prefill results expire while they wait for the link, and
// interactive requests lose on the link of the engine that holds their prefix what they gain on the prefill.
Duration CellState::linkWait(const Record &record, EngineSlot slot, Duration ready, Instant now) const
{
    const std::size_t link = this->engines[slot].link;
    const Duration wait = this->links.waitIn(link, ready, now);
    if (record.request.requestClass.firstToken > maxInteractiveFirstToken) {
        return wait;
    }
    const double own = this->transferMicros * static_cast<double>(this->contextOf(record).value());
    const int others = this->links.count(link, now);
    return std::min(wait, Duration(static_cast<Duration::rep>(own * others)));
}

} // namespace fescuesill
