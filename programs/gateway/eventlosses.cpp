// One host sees too few stalls to tell lost packets from a slow engine, so all hosts report theirs to the leader, and
// its verdict applies to all of them. A verdict outlives its leader for a time: the next leader begins without counts
// and needs some seconds to see the loss itself.

#include "programs/gateway/eventlosses.h"

#include "wire/clock.h"
#include "wire/log.h"

#include <algorithm>
#include <utility>

namespace fescuesill
{
namespace
{

constexpr Duration reportInterval{1s};
// How long a verdict applies without the leader that gave it.
constexpr Duration verdictLifetime{30s};

} // namespace

EventLosses::EventLosses(HostId ownHost, std::optional<Duration> latest)
    : host(std::move(ownHost))
    , latestEvent(latest)
    , watch(LossWatch::Options{})
{
}

void EventLosses::add(const EventBatch::Counts &counts)
{
    constexpr auto maxEvents = static_cast<std::uint64_t>(LossWatch::Options{}.maxEvents);
    this->unreported.events = std::min(maxEvents, this->unreported.events + static_cast<std::uint64_t>(counts.events));
    this->unreported.stalls =
        std::min(this->unreported.events, this->unreported.stalls + static_cast<std::uint64_t>(counts.stalls));
}

EventBatch::Options EventLosses::batchOptions() const
{
    EventBatch::Options options;
    if (this->latestEvent) {
        options.holdLimit = *this->latestEvent / 2;
    }
    return options;
}

void EventLosses::setUplink(Send send)
{
    if (this->uplink && !send) {
        this->lastVerdictAt = steadyNow();
    }
    this->uplink = std::move(send);
}

void EventLosses::setFollowers(Send send)
{
    this->followers = std::move(send);
}

void EventLosses::setDeciding(bool decides)
{
    if (this->isDeciding && !decides) {
        this->lastVerdictAt = steadyNow();
    }
    this->isDeciding = decides;
}

void EventLosses::onVerdict(const peer::EventLoss &message)
{
    if (this->latestEvent && !this->isDeciding) {
        this->isLossSeen = message.isSeen;
        this->lastVerdictAt = steadyNow();
    }
}

void EventLosses::onCounts(const std::string &address, const peer::EventCounts &message)
{
    if (!this->latestEvent || !this->isDeciding) {
        return;
    }
    // Values above the maximum of the signed type become negative, which is invalid as well.
    const auto events = static_cast<std::int64_t>(message.events);
    const auto stalls = static_cast<std::int64_t>(message.stalls);
    if (!this->watch.report(HostId(address), events, stalls, steadyNow())) {
        Log::warning("event_counts_invalid",
                     {{"from", address}, {"events", message.events}, {"stalls", message.stalls}});
    }
}

void EventLosses::sendVerdict(const Send &reply) const
{
    if (this->latestEvent) {
        reply(peer::EventLoss{this->isLossSeen});
    }
}

void EventLosses::onTick(Instant now)
{
    if (!this->latestEvent) {
        return;
    }
    this->report(now);
    if (!this->uplink) {
        this->decide(now);
    }
}

// Without a leader, the counts wait for the next one as long as the verdict does.
void EventLosses::report(Instant now)
{
    if (this->unreported.events == 0 || now < this->lastReport + reportInterval) {
        return;
    }
    if (this->isDeciding) {
        this->watch.report(this->host, static_cast<std::int64_t>(this->unreported.events),
                           static_cast<std::int64_t>(this->unreported.stalls), now);
    } else if (this->uplink) {
        this->uplink(this->unreported);
    } else if (now < this->lastVerdictAt + verdictLifetime) {
        return;
    }
    this->unreported = {};
    this->lastReport = now;
}

void EventLosses::decide(Instant now)
{
    const bool isKept = this->isLossSeen && now < this->lastVerdictAt + verdictLifetime;
    const bool isSeenHere = this->isDeciding && this->watch.isSeen(now);
    if (this->isLossSeen == (isKept || isSeenHere)) {
        return;
    }
    this->isLossSeen = !this->isLossSeen;
    const LossWatch::Counts counts = this->watch.counts(now);
    Log::info("event_loss", {{"seen", this->isLossSeen}, {"stalls", counts.stalls}, {"events", counts.events}});
    if (this->isDeciding && this->followers) {
        this->followers(peer::EventLoss{this->isLossSeen});
    }
}

} // namespace fescuesill
