#include "promise/tablereading.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <xxhash.h>

// At 340 hosts a read each second by every host is a sixth of all that the table gives to everyone. A few hosts of each
// data centre read; the version that they find is membership's urgent fact, and every probe also says how long ago the
// table was last read by anyone the sender heard of. Who hears of a young read knows as much as if it had read: the
// fact and the age travel in the same messages, so an age is never known without what that read found.
//
// Failure: the readers are dead, frozen or cut off from the table, and nobody has noticed yet. It would show as a
// change that is in force nowhere, while every host thinks that others look. Here the ages grow, and each host reads
// itself once they are staleAfter, whoever the readers were; what it reads makes the others' ages young again. Nothing
// rests on finding out that a reader is dead.
//
// A host that learns, is cut off, hears too few others or knows that it is behind reads itself in any case.
//
// Rejected: readers alone, with membership replacing the dead ones: a reader that is cut off from the table alone looks
// alive. A lease in the table for the readers: writes, and nothing to read while the table is down.

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
    const bool mustRead = situation.isReader || !situation.isServing || !situation.hearsMajority;
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
    const bool helps = this->newestRead && now - *this->newestRead < this->options.staleAfter;
    return helps ? std::optional<Duration>(now - *this->newestRead) : std::nullopt;
}

} // namespace fescuesill
