#include "promise/factboard.h"

#include <algorithm>

// A fact is kept for as long as there is room: hosts that were cut off get all of them in turn when they come back.
// Where there is none, the fact that has not changed for longest goes, which is that of a cell that nobody owns any
// more.

namespace fescuesill
{

FactBoard::FactBoard(Options options)
    : options(options)
{
}

bool FactBoard::apply(const Fact &fact, Instant now)
{
    if (fact.bytes.size() > static_cast<std::size_t>(this->options.mostBytes.value())) {
        return false;
    }
    const auto found = this->held.find(fact.name);
    if (found != this->held.end() && fact.version <= found->second.fact.version) {
        return false;
    }
    const bool isNewUrgent = fact.urgent && (found == this->held.end() || !found->second.fact.urgent);
    if (isNewUrgent && this->urgent().size() >= this->options.mostUrgent) {
        return false;
    }
    if (found == this->held.end() && this->held.size() >= this->options.most) {
        this->evictOldest();
    }
    this->held[fact.name] = Held{fact, now, 0};
    return true;
}

std::vector<Fact> FactBoard::urgent() const
{
    std::vector<Fact> facts;
    for (const auto &[name, entry] : this->held) {
        if (entry.fact.urgent) {
            facts.push_back(entry.fact);
        }
    }
    return facts;
}

std::vector<FactBoard::Held *> FactBoard::rumours(int limit)
{
    std::vector<Held *> fresh;
    for (auto &[name, entry] : this->held) {
        if (entry.sent < limit && !entry.fact.urgent) {
            fresh.push_back(&entry);
        }
    }
    return fresh;
}

const Fact *FactBoard::nextInTurn(std::size_t room)
{
    if (this->held.empty()) {
        return nullptr;
    }
    auto next = this->held.upper_bound(this->turn);
    if (next == this->held.end()) {
        next = this->held.begin();
    }
    const Fact &fact = next->second.fact;
    if (sizeOf(fact) > room) {
        return nullptr;
    }
    this->turn = next->first;
    return &fact;
}

std::vector<Fact> FactBoard::all() const
{
    std::vector<Fact> facts;
    facts.reserve(this->held.size());
    for (const auto &[name, entry] : this->held) {
        facts.push_back(entry.fact);
    }
    return facts;
}

std::size_t FactBoard::size() const
{
    return this->held.size();
}

void FactBoard::evictOldest()
{
    // An urgent fact is never the oldest: a declaration that has stood for months is still the one in force.
    const auto oldest = std::min_element(this->held.begin(), this->held.end(), [](const auto &a, const auto &b) {
        return std::make_pair(a.second.fact.urgent, a.second.since)
            < std::make_pair(b.second.fact.urgent, b.second.since);
    });
    this->held.erase(oldest);
}

} // namespace fescuesill
