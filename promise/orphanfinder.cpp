#include "promise/orphanfinder.h"

#include <algorithm>
#include <utility>

// When an entry dies or loses track of a stream, the engine would keep generating without a reader, and the stream's
// memory would stay allocated. The engine's own list of streams is authoritative for its memory, so it shows every
// stream that is forgotten elsewhere.
//
// A stream is held while a live entry reports it, or while it is attached by a live entry (which may be about to report
// it, over a link that has just broken). "Attached" alone is not enough: an engine does not notice an entry that died
// without closing its connection. A stream is cancelled once this owner has seen it unheld for the grace period. The
// period counts from the owner's own observation, not from the engine's idle time, so a new owner waits for one whole
// grace period, in which entries report again what they hold.
//
// Two owners at once cancel the same orphans, which is idempotent. An owner that an entry cannot reach sees that
// entry's streams as attached by a live entry and does not cancel them.

namespace fescuesill
{

OrphanFinder::OrphanFinder(Options options, Instant now)
    : options(options)
    , ownerSince(now)
{
}

void OrphanFinder::onEntries(std::set<HostId> live)
{
    this->liveEntries = std::move(live);
    for (auto entry = this->holding.begin(); entry != this->holding.end();) {
        const bool dead = this->liveEntries.count(entry->first) == 0;
        entry = dead ? this->holding.erase(entry) : std::next(entry);
    }
}

void OrphanFinder::onHolding(const HostId &entry, std::set<StreamId> streams)
{
    this->holding[entry] = std::move(streams);
}

void OrphanFinder::onHold(const HostId &entry, const StreamId &stream)
{
    this->holding[entry].insert(stream);
}

void OrphanFinder::onRelease(const HostId &entry, const StreamId &stream)
{
    const auto found = this->holding.find(entry);
    if (found != this->holding.end()) {
        found->second.erase(stream);
    }
}

void OrphanFinder::onEntryLost(const HostId &entry)
{
    this->holding.erase(entry);
}

std::vector<StreamId> OrphanFinder::onStreams(const EngineId &engine, const std::vector<EngineStream> &list,
                                              Instant now)
{
    SinceByStream &before = this->unheldSince[engine];
    SinceByStream unheld;
    std::vector<StreamId> orphans;
    const std::size_t others = this->unheldCount() - before.size();
    for (const EngineStream &stream : list) {
        if (this->isHeld(stream) || others + unheld.size() >= this->options.mostStreams) {
            continue;
        }
        const auto known = before.find(stream.stream);
        const Instant since = known == before.end() ? now : known->second;
        unheld.emplace(stream.stream, since);
        if (now - std::max(since, this->ownerSince) >= this->options.grace) {
            orphans.push_back(stream.stream);
        }
    }
    before = std::move(unheld);
    return orphans;
}

bool OrphanFinder::isHeld(const EngineStream &stream) const
{
    if (stream.attached && this->liveEntries.count(stream.entry) != 0) {
        return true;
    }
    return std::any_of(this->liveEntries.begin(), this->liveEntries.end(),
                       [&](const HostId &entry) { return this->isHeldByEntry(entry, stream.stream); });
}

bool OrphanFinder::isHeldByEntry(const HostId &entry, const StreamId &stream) const
{
    const auto found = this->holding.find(entry);
    return found != this->holding.end() && found->second.count(stream) != 0;
}

std::size_t OrphanFinder::unheldCount() const
{
    std::size_t count = 0;
    for (const auto &[engine, streams] : this->unheldSince) {
        count += streams.size();
    }
    return count;
}

} // namespace fescuesill
