// Which engine reads a prompt and which one writes the answer, by the expected end of the work on each engine that
// takes any. Every engine is looked at: at 600 that costs a few microseconds, and two draws would miss the one that
// holds the prefix.

#include "decide/cellstate.h"

#include <algorithm>

namespace fescuesill
{

constexpr double worthWaiting = 0.6;

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

// The engine with the most free memory has the smallest batch, so it writes fastest and is the last to run full. An
// engine that comes back after it was slow is tried with what is not urgent.
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

// Prefix affinity with a limit: the score is the time until the prompt is read and its link is free, plus what the read
// costs the others while work waits. An engine that holds the prefix wins as long as its queue costs less than reading
// the prefix again; past that the prefix is read on another engine too and has one more holder. So a hot preamble
// spreads by itself to as many engines as its load needs.
CellState::PrefillChoice CellState::choosePrefill(const Record &record, Instant now)
{
    this->counters.steps += this->prefixes.match(record.request.prefix, this->matches);
    for (const PrefixIndex::Match &match : this->matches) {
        this->matchedBlocks[match.slot] = match.blocks;
    }
    const Tokens context = this->contextOf(record);
    const double pressure = this->queue.size() > 1 ? this->prefills.busyShare() : 0;
    const bool hurry = record.request.requestClass.firstToken <= hurried;
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
        const Duration nominal = this->readTime(std::max(Tokens(0), context - known));
        const auto read = std::chrono::duration_cast<Duration>(nominal * this->prefills.slowness(slot));
        const Duration linkWait = this->linkWait(record, slot, ahead + read, now);
        const Duration score = ahead + read + linkWait + std::chrono::duration_cast<Duration>(nominal * pressure);
        bestOfAll = std::min(bestOfAll, score);
        if (ahead > this->options.prefillAhead || (!hurry && linkWait > this->options.keep * this->options.keepShare)) {
            continue;
        }
        const bool better = best.slot == noEngine || score < best.score
            || (score == best.score && this->engines[slot].lastPlaced < this->engines[best.slot].lastPlaced);
        if (better) {
            best = PrefillChoice{slot, matched, ahead, read, linkWait, score};
        }
    }
    for (const PrefixIndex::Match &match : this->matches) {
        this->matchedBlocks[match.slot] = 0;
    }
    // A slow engine is free when the others are not. What would be done much sooner by waiting for them waits.
    if (best.slot != noEngine && bestOfAll < std::chrono::duration_cast<Duration>(best.score * worthWaiting)) {
        return PrefillChoice();
    }
    return best;
}

// How long the transfer of this request would wait for those reserved on the engine's link, if its read ended in
// `ready`. A class in a hurry shares the link instead, which costs it at most its own length for each of the others.
// Load: links near their rate. Harm prevented: prompts are read whose results then expire while they wait for the link;
// live ones go to the engine that holds their prefix and lose there on the link what they gained on the read.
Duration CellState::linkWait(const Record &record, EngineSlot slot, Duration ready, Instant now) const
{
    const std::size_t link = this->engines[slot].link;
    const Duration wait = this->links.waitIn(link, ready, now);
    if (record.request.requestClass.firstToken > hurried) {
        return wait;
    }
    const double own = this->transferMicros * static_cast<double>(this->contextOf(record).value());
    const int others = this->links.count(link, now);
    return std::min(wait, Duration(static_cast<Duration::rep>(own * others)));
}

} // namespace fescuesill
