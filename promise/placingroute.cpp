// The lease must expire before another host may lead, and a host that places alone sees only a fraction of the load and
// takes full engines for empty ones. Placement needs no lease, since an engine never allocates the same memory twice.
// So the leader names a deputy in advance, and hosts that lose the leader connect to it at once. The deputy knows what
// they have placed, because each host reports this when it connects.
//
// The deputy refuses while it reaches the leader itself: the leader then places for most hosts, and two hosts that
// place for parts of the fleet would fill the same engines. Hosts do not detect the loss of the leader at the same
// moment, so generations wait for a short time for a deputy that refuses. The deputy names a deputy of its own to the
// hosts that it places for.
//
// A deputy places until it reaches the new leader. The leader's name has reached the other hosts by then, so they wait
// for their links to the new leader and do not try the next deputy, which would end in the same moment.

#include "promise/placingroute.h"

namespace fescuesill
{

bool PlacingRoute::needsDeputy() const
{
    return !this->leads && !this->isLeaderReached && !this->deputy.empty();
}

void PlacingRoute::onLeading(bool isLeading)
{
    this->leads = isLeading;
    if (isLeading) {
        this->isLeaderExpected = false;
        this->isLeaderReached = false;
        this->isDeputyReached = false;
        this->deputy.clear(); // named by an earlier leader
    }
}

void PlacingRoute::onLeaderNamed(Instant now)
{
    this->isLeaderExpected = true;
    this->waitUntil = now + this->options.deputyWait;
    this->nextDeputy.clear();
    const bool isDeputyUsed = this->isDeputyReached || this->deputy == this->self;
    if (!isDeputyUsed) {
        this->deputy.clear();
    }
}

void PlacingRoute::onLeaderUnknown()
{
    this->isLeaderExpected = false;
}

void PlacingRoute::onLeaderReached()
{
    this->isLeaderReached = true;
    this->isLeaderExpected = false;
    this->isDeputyReached = false;
    this->deputy.clear(); // the leader names its own
    this->nextDeputy.clear();
    this->notBefore = Instant();
}

void PlacingRoute::onLeaderLost(Instant now)
{
    if (this->isLeaderReached) {
        this->isLeaderReached = false;
        this->waitUntil = now + this->options.deputyWait;
    }
}

void PlacingRoute::onDeputyNamed(const std::string &address)
{
    this->deputy = address;
}

void PlacingRoute::onNextDeputyNamed(const std::string &address)
{
    this->nextDeputy = address;
}

void PlacingRoute::onStopping()
{
    this->isStopping = true;
}

void PlacingRoute::onDeputyReached()
{
    this->isDeputyReached = this->needsDeputy() && this->deputy != this->self;
}

void PlacingRoute::onDeputyLost(Instant now)
{
    this->isDeputyReached = false;
    this->notBefore = now + this->options.retry;
    if (this->isLeaderExpected) {
        this->deputy.clear();
    } else if (!this->nextDeputy.empty()) {
        this->deputy = this->nextDeputy;
        this->nextDeputy.clear();
        this->notBefore = now;
        this->waitUntil = now + this->options.deputyWait;
    }
}

PlacingPath PlacingRoute::path(Instant now) const
{
    if (this->isLeaderReached) {
        return PlacingPath::Leader;
    }
    if (this->isDeputyReached) {
        return PlacingPath::Deputy;
    }
    const bool isDeputyExpected = this->needsDeputy() && this->deputy != this->self;
    const bool isExpecting = this->isLeaderExpected || isDeputyExpected;
    return isExpecting && now < this->waitUntil ? PlacingPath::Waiting : PlacingPath::Alone;
}

std::optional<std::string> PlacingRoute::wantedDeputy(Instant now) const
{
    const bool isWanted = this->needsDeputy() && this->deputy != this->self && now >= this->notBefore;
    return isWanted ? std::optional(this->deputy) : std::nullopt;
}

bool PlacingRoute::isActingLeader() const
{
    return this->needsDeputy() && this->deputy == this->self && !this->isStopping;
}

} // namespace fescuesill
