// Of one start of an endpoint, the registry lists at most one later one under its id, or another endpoint at its
// address. A row that is no longer there tells of an end as well: an endpoint that stops in order first says that it
// leaves, and rows that only a lost store has dropped are kept (EndpointRegistry).

#include "programs/gateway/doubtfulcrashes.h"

#include <algorithm>
#include <utility>

namespace fescuesill
{
namespace
{

// How long after a broken answer the registry may show that the endpoint has ended. Later, another cause is as likely.
constexpr Duration registryDelay{5s};
constexpr std::size_t maxDoubts = 256;

} // namespace

DoubtfulCrashes::DoubtfulCrashes(Lookup lookup)
    : registered(std::move(lookup))
{
}

void DoubtfulCrashes::add(const std::string &address, const SuspectedRun &run)
{
    Doubt doubt{address, run};
    this->hasEnded(doubt); // notes whether it leaves
    this->doubts.push_back(std::move(doubt));
    if (this->doubts.size() > maxDoubts) {
        this->doubts.pop_front();
    }
}

bool DoubtfulCrashes::hasEnded(Doubt &doubt) const
{
    const EndpointStart &ran = doubt.run.run.endpoint;
    const auto records = this->registered(doubt.address);
    bool isListed = false;
    for (const EndpointRecord &record : records) {
        if (record.id == ran.endpoint && record.incarnation <= ran.incarnation) {
            isListed = true;
            doubt.wasLeaving = doubt.wasLeaving || record.isLeaving;
        }
    }
    return !isListed && (!records.empty() || !doubt.wasLeaving);
}

std::vector<SuspectedRun> DoubtfulCrashes::takeConfirmed(Instant now)
{
    std::vector<SuspectedRun> confirmed;
    std::deque<Doubt> left;
    for (Doubt &doubt : this->doubts) {
        if (this->hasEnded(doubt)) {
            confirmed.push_back(std::move(doubt.run));
        } else if (now - doubt.run.run.ended < registryDelay) {
            left.push_back(std::move(doubt));
        }
    }
    this->doubts = std::move(left);
    return confirmed;
}

std::vector<SuspectedRun> DoubtfulCrashes::takeOf(const EndpointStart &endpoint)
{
    std::vector<SuspectedRun> taken;
    std::deque<Doubt> left;
    for (Doubt &doubt : this->doubts) {
        this->hasEnded(doubt); // notes whether it leaves
        if (doubt.run.run.endpoint == endpoint && !doubt.wasLeaving) {
            taken.push_back(std::move(doubt.run));
        } else {
            left.push_back(std::move(doubt));
        }
    }
    this->doubts = std::move(left);
    return taken;
}

} // namespace fescuesill
