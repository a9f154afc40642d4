// A host can't tell from a connection what its request will cost. It measures what all of them cost together, its link
// and how late its timers run, and bounds the rate of new connections: cut at once where either is full, grown slowly
// while there is room, and given up once it is well above what comes.
//
// Only new connections are refused or left unread: their callers lose a round trip and go to another host, while a
// request that was read and fails is lost for its caller.

#include "decide/connectionadmission.h"

#include <algorithm>
#include <cmath>

namespace fescuesill
{
namespace
{

// A limit that is this many times what comes is none.
constexpr double needlessLimit = 2;
// Of the use at the last cut; below it, the use is falling.
constexpr double fallingShare = 0.95;

double secondsOf(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

bool ConnectionAdmission::admits(Instant now)
{
    this->offered += 1;
    this->refill(now);
    if (!this->limit) {
        return true;
    }
    if (this->permits < 1) {
        ++this->unread;
        this->lastUnread = now;
        return false;
    }
    this->permits -= 1;
    return true;
}

bool ConnectionAdmission::mayAdmit(Instant now)
{
    this->refill(now);
    return !this->limit || this->permits >= 1;
}

void ConnectionAdmission::refill(Instant now)
{
    if (!this->limit) {
        return;
    }
    const double most = std::max(1.0, *this->limit * secondsOf(this->options.burst));
    const double seconds = secondsOf(now - this->lastRefill.value_or(now));
    this->permits = std::min(most, this->permits + *this->limit * seconds);
    this->lastRefill = now;
}

void ConnectionAdmission::measure(const HostUse &use, double seconds)
{
    const double weight = 1 - std::exp(-seconds / secondsOf(this->options.smoothing));
    const auto bytes =
        static_cast<double>(std::max(use.received - this->lastUse.received, use.sent - this->lastUse.sent));
    const double link = this->options.linkBytesPerSecond;
    this->share += weight * ((link > 0 ? bytes / seconds / link : 0) - this->share);
    this->offeredRate += weight * (this->offered / seconds - this->offeredRate);
    this->offered = 0;
    this->lateSeen = use.lateness >= this->options.fullLateness ? this->lateSeen + 1 : 0;
    const bool isFailing =
        this->limit && use.failures > this->lastUse.failures && this->share >= this->options.failingLink;
    this->full = this->share >= this->options.fullLink || this->lateSeen >= this->options.lateTimers || isFailing;
}

void ConnectionAdmission::cut(Instant now)
{
    if (this->lastCut && now - *this->lastCut < this->options.cutInterval) {
        return;
    }
    this->lastCut = now;
    // The last cut shows; streams that were admitted before it still run.
    const bool isFalling = this->limit && this->share >= this->options.fullLink && this->lateSeen == 0
        && this->share < fallingShare * this->shareAtCut;
    this->shareAtCut = this->share;
    if (isFalling) {
        return;
    }
    const double current = std::min(this->limit.value_or(this->offeredRate), this->offeredRate);
    this->limit = std::max(this->options.leastRate, current * this->options.cut);
}

void ConnectionAdmission::grow(double seconds, Instant now)
{
    if (!this->limit) {
        return;
    }
    *this->limit *= std::pow(this->options.growth, seconds);
    const bool isBinding = this->lastUnread && now - *this->lastUnread < this->options.needlessAfter;
    if (!isBinding && *this->limit > needlessLimit * std::max(this->offeredRate, this->options.leastRate)) {
        this->limit.reset();
        this->lastRefill.reset();
        this->permits = 0;
    }
}

std::optional<bool> ConnectionAdmission::onTick(const HostUse &use, Instant now)
{
    const bool wasLimited = this->limit.has_value();
    const double seconds = this->lastTick ? secondsOf(now - *this->lastTick) : 0;
    if (seconds > 0) {
        this->measure(use, seconds);
        if (this->full) {
            this->cut(now);
        } else {
            this->grow(seconds, now);
        }
    }
    this->lastTick = now;
    this->lastUse = use;
    const bool isLimited = this->limit.has_value();
    return isLimited == wasLimited ? std::nullopt : std::optional(isLimited);
}

} // namespace fescuesill
