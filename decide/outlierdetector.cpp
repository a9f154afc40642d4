// An endpoint is compared with the median of its peers, so that a load that slows all of them ejects none, and judged
// by its own mean, so that one bad answer does not either.
//
// Load: one endpoint of a pool at a fraction of the speed of the others, or failing. Harm prevented: the share of
// requests that it gets miss their targets, and work piles up on it until it holds the pool's memory and callers.
//
// Return: after its time out it gets one request at a time. Each good sample doubles what it may have at once; a bad
// one sends it out again for twice as long. A sudden full return would fail a whole share of requests to learn what one
// can tell.
//
// Never all: at most a share is out, at least one endpoint stays in whatever its standing.

#include "decide/outlierdetector.h"

#include <algorithm>

namespace fescuesill
{

constexpr int fullWindow = 32; // at once; a returning endpoint with this many is normal again

OutlierDetector::Member &OutlierDetector::member(EngineSlot slot)
{
    if (slot >= this->members.size()) {
        this->members.resize(slot + 1);
    }
    return this->members[slot];
}

void OutlierDetector::setMember(EngineSlot slot, bool present)
{
    Member &member = this->member(slot);
    if (member.present != present) {
        member = Member();
        member.present = present;
    }
}

int OutlierDetector::presentCount() const
{
    return static_cast<int>(
        std::count_if(this->members.begin(), this->members.end(), [](const Member &member) { return member.present; }));
}

int OutlierDetector::ejectedCount() const
{
    return static_cast<int>(std::count_if(this->members.begin(), this->members.end(), [](const Member &member) {
        return member.present && member.standing == Standing::Ejected;
    }));
}

void OutlierDetector::eject(Member &member, Instant now)
{
    const int present = this->presentCount();
    const int share = static_cast<int>(present * this->options.mostEjected);
    const int most = present > 1 ? std::max(1, share) : 0;
    if (member.standing != Standing::Ejected && this->ejectedCount() + 1 > most) {
        return;
    }
    member.nextEject = member.nextEject == Duration(0) ? this->options.ejectFor
                                                       : std::min(this->options.longestEject, member.nextEject * 2);
    member.standing = Standing::Ejected;
    member.until = now + member.nextEject;
    member.samples = 0;
    member.failuresInRow = 0;
    member.window = 1;
}

void OutlierDetector::onSample(EngineSlot slot, double value, Instant now)
{
    Member &member = this->member(slot);
    member.failuresInRow = 0;
    member.mean = member.samples == 0 ? value : member.mean + this->options.weight * (value - member.mean);
    ++member.samples;
    if (member.standing == Standing::Normal || now < member.until) {
        return;
    }
    if (this->median > 0 && value > this->median * this->options.ratio) {
        this->eject(member, now);
        return;
    }
    member.standing = Standing::Returning;
    member.window *= 2;
    if (member.window >= fullWindow) {
        member.standing = Standing::Normal;
        member.nextEject = Duration(0);
    }
}

void OutlierDetector::onFailure(EngineSlot slot, Instant now)
{
    Member &member = this->member(slot);
    ++member.failuresInRow;
    if (member.failuresInRow >= this->options.failures || member.standing != Standing::Normal) {
        this->eject(member, now);
    }
}

void OutlierDetector::onStall(EngineSlot slot, Instant now)
{
    this->eject(this->member(slot), now);
}

std::optional<double> OutlierDetector::medianOfPeers() const
{
    std::vector<double> means;
    for (const Member &member : this->members) {
        if (member.present && member.standing == Standing::Normal && member.samples >= this->options.leastSamples) {
            means.push_back(member.mean);
        }
    }
    if (means.size() < 2) {
        return std::nullopt;
    }
    // The lower one of two: of two peers the faster is the measure of the slower.
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2);
    std::nth_element(means.begin(), middle, means.end());
    return *middle;
}

void OutlierDetector::evaluate(Instant now)
{
    if (now < this->evaluated + this->options.interval) {
        return;
    }
    this->evaluated = now;
    const std::optional<double> peers = this->medianOfPeers();
    if (!peers) {
        return;
    }
    this->median = *peers;
    for (Member &member : this->members) {
        const bool judged =
            member.present && member.standing == Standing::Normal && member.samples >= this->options.leastSamples;
        if (judged && member.mean > this->median * this->options.ratio) {
            this->eject(member, now);
        }
    }
}

bool OutlierDetector::ejected(EngineSlot slot, Instant now) const
{
    return slot < this->members.size() && this->members[slot].standing == Standing::Ejected
        && now < this->members[slot].until;
}

std::optional<int> OutlierDetector::allowance(EngineSlot slot, Instant now) const
{
    if (slot >= this->members.size() || this->members[slot].standing == Standing::Normal) {
        return std::nullopt;
    }
    return this->ejected(slot, now) ? 0 : this->members[slot].window;
}

} // namespace fescuesill
