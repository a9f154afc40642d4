#include "promise/tablereading.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <xxhash.h>

// With 340 hosts, one read a second by every host is a sixth of the table's total read capacity. Therefore only a few
// hosts of each data centre read. Membership spreads the version that they find as an urgent fact, and every probe also
// carries the age of the most recent table read that the sender knows of. A host that learns of a recent read is as up
// to date as if it had read itself: the fact and the age are sent in the same messages, so an age is never known
// without the result of that read.
//
// The readers may be dead, frozen or cut off from the table without having been detected, and a change would be in
// force nowhere while every host relies on the others. In this case the ages grow, and each host reads the table itself
// once they reach staleAfter, whichever hosts the readers are; its read then resets the ages of the others. Correctness
// does not depend on detecting that a reader is dead.
//
// A host that is learning, cut off, reaches too few other hosts or knows that it is behind reads in any case.
//
// Rejected: relying on the readers alone, with membership replacing dead ones. A reader that is cut off only from the
// table appears alive.
// Rejected: a lease in the table for the readers. It costs writes and cannot be read while the table is down.

namespace fescuesill
{
namespace
{

std::uint64_t hostWeight(const HostId &host)
{
    return XXH64(host.value().data(), host.value().size(), 0);
}

} // namespace

bool isTableReader(const HostId &self, const std::vector<HostId> &hosts, std::size_t readers)
{
    const auto own = std::make_pair(hostWeight(self), self);
    const auto heavier = std::count_if(hosts.begin(), hosts.end(), [&own](const HostId &host) {
        return own < std::make_pair(hostWeight(host), host);
    });
    return static_cast<std::size_t>(heavier) < readers;
}

TableReading::TableReading(Options options)
    : options(options)
{
}

void TableReading::onRead(Instant now)
{
    this->newestRead = now;
    this->lastFailed.reset();
}

void TableReading::onFailed(Instant now)
{
    this->lastFailed = now;
}

void TableReading::onPeerReadAge(Duration age, Instant now)
{
    const Instant made = now - std::max(age, Duration(0));
    this->newestRead = std::max(this->newestRead.value_or(made), made);
}

bool TableReading::isDue(const Situation &situation, Instant now) const
{
    const bool mustRead = situation.isReader || !situation.isServing || !situation.reachesMajority;
    if (mustRead) {
        return true;
    }
    if (this->lastFailed) {
        return now - *this->lastFailed >= this->options.failurePause;
    }
    return situation.isBehind || !this->newestRead || now - *this->newestRead >= this->options.staleAfter;
}

std::optional<Duration> TableReading::age(Instant now) const
{
    const bool isFresh = this->newestRead && now - *this->newestRead < this->options.staleAfter;
    return isFresh ? std::optional<Duration>(now - *this->newestRead) : std::nullopt;
}

} // namespace fescuesill
