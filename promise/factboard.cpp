#include "promise/factboard.h"

#include <algorithm>

// A fact is kept as long as there is room, so that hosts that were partitioned receive all facts round robin when they
// reconnect. When the board is full, the fact that has been unchanged for the longest time is evicted: usually that of
// a cell that no longer has an owner.

namespace fescuesill
{

FactBoard::FactBoard(Options options)
    : options(options)
{
}

bool FactBoard::apply(const Fact &fact, Instant now)
{
    if (fact.bytes.size() > static_cast<std::size_t>(this->options.maxFactBytes.value())) {
        return false;
    }
    const auto found = this->entries.find(fact.name);
    if (found != this->entries.end() && fact.version <= found->second.fact.version) {
        return false;
    }
    const bool isNewUrgent = fact.urgent && (found == this->entries.end() || !found->second.fact.urgent);
    if (isNewUrgent && this->urgent().size() >= this->options.maxUrgent) {
        return false;
    }
    if (found == this->entries.end() && this->entries.size() >= this->options.maxFacts) {
        this->evictOldest();
    }
    this->entries[fact.name] = Entry{fact, now, 0};
    return true;
}

std::vector<Fact> FactBoard::urgent() const
{
    std::vector<Fact> facts;
    for (const auto &[name, entry] : this->entries) {
        if (entry.fact.urgent) {
            facts.push_back(entry.fact);
        }
    }
    return facts;
}

std::vector<FactBoard::Entry *> FactBoard::gossip(int limit)
{
    std::vector<Entry *> fresh;
    for (auto &[name, entry] : this->entries) {
        if (entry.sent < limit && !entry.fact.urgent) {
            fresh.push_back(&entry);
        }
    }
    return fresh;
}

const Fact *FactBoard::nextRoundRobin(std::size_t room)
{
    if (this->entries.empty()) {
        return nullptr;
    }
    auto next = this->entries.upper_bound(this->lastSentName);
    if (next == this->entries.end()) {
        next = this->entries.begin();
    }
    const Fact &fact = next->second.fact;
    if (sizeOf(fact) > room) {
        return nullptr;
    }
    this->lastSentName = next->first;
    return &fact;
}

std::vector<Fact> FactBoard::all() const
{
    std::vector<Fact> facts;
    facts.reserve(this->entries.size());
    for (const auto &[name, entry] : this->entries) {
        facts.push_back(entry.fact);
    }
    return facts;
}

std::size_t FactBoard::size() const
{
    return this->entries.size();
}

void FactBoard::evictOldest()
{
    // Urgent facts are evicted last: a declaration that has been unchanged for months is still in force.
    const auto oldest = std::min_element(this->entries.begin(), this->entries.end(), [](const auto &a, const auto &b) {
        return std::make_pair(a.second.fact.urgent, a.second.since)
            < std::make_pair(b.second.fact.urgent, b.second.since);
    });
    this->entries.erase(oldest);
}

} // namespace fescuesill
