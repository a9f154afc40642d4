// A token bucket for each workspace, at the host that decides for all. In any time t it gives at most
// capacity + rate * t, whatever the hosts and their loads, and a host that takes over adds only what it begins with.
// The users' rule allows `overshoot` and `slack` above rate * window + burst. They are divided:
//
// - two thirds of the overshoot and half of the slack make the bucket larger, so that a workspace whose load comes in
//   waves is refused as seldom as the rule allows; the rest of both is for leaders that change
//   again;
// - an eighth of the slack is in the bucket when a host takes over, which doesn't know what was used before;
// - the other hosts may spend a quarter before they have reported it (decide/quotaoverdraft.h).
//
// A call that is larger than the bucket is admitted when the bucket is full, and the bucket goes into debt.
//
// Refused callers are told to come back one after the other at the rate of the quota. Otherwise all of them would come
// back for the same credit.

#include "decide/quotaledger.h"

#include <algorithm>
#include <cmath>

namespace fescuesill
{
namespace
{

constexpr double overshootPart = 2.0 / 3;
constexpr double capacityPart = 1.0 / 2;
constexpr double takeOverPart = 1.0 / 8;
constexpr Duration longestWait{60s};

} // namespace

double QuotaLedger::capacityOf(const Quota &quota) const
{
    const double window = std::chrono::duration<double>(this->options.window).count();
    const double overshoot = this->options.overshoot * (quota.perSecond * window + quota.burst);
    const double slack = static_cast<double>(this->options.slack.value());
    return (quota.burst + overshoot * overshootPart + slack * capacityPart) * this->share;
}

double QuotaLedger::initialLevel(const Quota &quota) const
{
    const double full = this->capacityOf(quota);
    return this->options.isFirstStart
        ? full
        : std::min(full, static_cast<double>(this->options.slack.value()) * takeOverPart * this->share);
}

void QuotaLedger::refill(Bucket &bucket, Instant now) const
{
    const double seconds = std::chrono::duration<double>(std::max<Duration>(now - bucket.refilled, 0ms)).count();
    const double units = bucket.quota.perSecond * this->share * seconds;
    bucket.level = std::min(this->capacityOf(bucket.quota), bucket.level + units);
    bucket.promised = std::max(0.0, bucket.promised - units);
    bucket.refilled = std::max(bucket.refilled, now);
}

Duration QuotaLedger::timeFor(const Bucket &bucket, double units) const
{
    const double rate = bucket.quota.perSecond * this->share;
    const double longest = std::chrono::duration<double>(longestWait).count();
    const double seconds = rate > 0 ? std::min(longest, units / rate) : longest;
    return Duration(static_cast<std::int64_t>(std::ceil(seconds * 1e6)));
}

void QuotaLedger::setWorkspaces(const WorkspaceTable *table, Instant now)
{
    std::unordered_map<WorkspaceId, Bucket> next;
    if (table != nullptr) {
        for (const Workspace &workspace : table->all()) {
            if (!workspace.quota) {
                continue;
            }
            const auto known = this->buckets.find(workspace.id);
            Bucket bucket;
            if (known != this->buckets.end()) {
                bucket = known->second;
                this->refill(bucket, now);
            } else {
                bucket.level = this->initialLevel(*workspace.quota);
                bucket.refilled = now;
            }
            bucket.quota = *workspace.quota;
            bucket.level = std::min(bucket.level, this->capacityOf(bucket.quota));
            next.emplace(workspace.id, bucket);
        }
    }
    this->buckets = std::move(next);
}

void QuotaLedger::setShare(double part, Instant now)
{
    if (part == this->share) {
        return;
    }
    for (auto &[id, bucket] : this->buckets) {
        this->refill(bucket, now);
    }
    this->share = part;
    for (auto &[id, bucket] : this->buckets) {
        bucket.level = std::min(bucket.level, this->capacityOf(bucket.quota));
    }
}

void QuotaLedger::takeOver(Instant now)
{
    for (auto &[id, bucket] : this->buckets) {
        this->refill(bucket, now);
        bucket.level = std::min(bucket.level, this->initialLevel(bucket.quota));
        bucket.promised = 0;
    }
}

Duration QuotaLedger::take(const WorkspaceId &workspace, QuotaUnits cost, Instant now)
{
    const auto found = this->buckets.find(workspace);
    if (found == this->buckets.end()) {
        return Duration(0);
    }
    Bucket &bucket = found->second;
    this->refill(bucket, now);
    const auto units = static_cast<double>(cost.value());
    const double needed = std::min(units, this->capacityOf(bucket.quota));
    if (this->share > 0 && bucket.level >= needed) {
        bucket.level -= units;
        return Duration(0);
    }
    const Duration own = this->timeFor(bucket, needed - bucket.level);
    const Duration spread = std::min(this->timeFor(bucket, bucket.promised), this->options.longestSpread);
    if (spread < this->options.longestSpread) {
        bucket.promised += units;
    }
    return std::max(own + spread, shortestWait);
}

void QuotaLedger::add(const WorkspaceId &workspace, QuotaUnits units, Instant now)
{
    const auto found = this->buckets.find(workspace);
    if (found == this->buckets.end()) {
        return;
    }
    Bucket &bucket = found->second;
    this->refill(bucket, now);
    bucket.level = std::min(this->capacityOf(bucket.quota), bucket.level - static_cast<double>(units.value()));
}

Duration QuotaLedger::overdrawnFor(const WorkspaceId &workspace, Instant now)
{
    const auto found = this->buckets.find(workspace);
    if (found == this->buckets.end()) {
        return Duration(0);
    }
    this->refill(found->second, now);
    return found->second.level < 0 ? this->timeFor(found->second, -found->second.level) : Duration(0);
}

} // namespace fescuesill
