// Each endpoint is compared with the median of its peers, so that a load that slows all of them ejects none. It is
// judged by its mean, so that one bad answer does not eject it.
//
// Why: an endpoint of a pool that runs at a fraction of the speed of the others, or fails, makes its share of the
// requests miss their targets, and work accumulates on it until it holds the pool's memory and callers.
//
// Readmission: after its ejection an endpoint gets one request at a time. Each good sample doubles its window of
// concurrent requests; a bad one ejects it again for twice as long. Full readmission at once would fail a whole share
// of the requests to learn what one request can show.
//
// Never all: at most a share of the endpoints is ejected, and at least one remains whatever its state.

#include "decide/outlierdetector.h"

#include <algorithm>

namespace fescuesill
{

constexpr int fullWindow = 32; // concurrent requests; an endpoint probed with this many is normal again

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
        return member.present && member.state == State::Ejected;
    }));
}

void OutlierDetector::eject(Member &member, Instant now)
{
    const int present = this->presentCount();
    const int share = static_cast<int>(present * this->options.maxEjectedShare);
    const int limit = present > 1 ? std::max(1, share) : 0;
    if (member.state != State::Ejected && this->ejectedCount() + 1 > limit) {
        return;
    }
    member.nextEjectDuration = member.nextEjectDuration == Duration(0)
        ? this->options.firstEjectDuration
        : std::min(this->options.maxEjectDuration, member.nextEjectDuration * 2);
    member.state = State::Ejected;
    member.until = now + member.nextEjectDuration;
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
    if (member.state == State::Normal || now < member.until) {
        return;
    }
    if (this->median > 0 && value > this->median * this->options.ratio) {
        this->eject(member, now);
        return;
    }
    member.state = State::Probing;
    member.window *= 2;
    if (member.window >= fullWindow) {
        member.state = State::Normal;
        member.nextEjectDuration = Duration(0);
    }
}

void OutlierDetector::onFailure(EngineSlot slot, Instant now)
{
    Member &member = this->member(slot);
    ++member.failuresInRow;
    if (member.failuresInRow >= this->options.failures || member.state != State::Normal) {
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
        if (member.present && member.state == State::Normal && member.samples >= this->options.minSamples) {
            means.push_back(member.mean);
        }
    }
    if (means.size() < 2) {
        return std::nullopt;
    }
    // The lower one of two: of two peers the faster one is the reference.
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2);
    std::nth_element(means.begin(), middle, means.end());
    return *middle;
}

void OutlierDetector::evaluate(Instant now)
{
    if (now < this->lastEvaluated + this->options.interval) {
        return;
    }
    this->lastEvaluated = now;
    const std::optional<double> peers = this->medianOfPeers();
    if (!peers) {
        return;
    }
    this->median = *peers;
    for (Member &member : this->members) {
        const bool eligible =
            member.present && member.state == State::Normal && member.samples >= this->options.minSamples;
        if (eligible && member.mean > this->median * this->options.ratio) {
            this->eject(member, now);
        }
    }
}

bool OutlierDetector::ejected(EngineSlot slot, Instant now) const
{
    return slot < this->members.size() && this->members[slot].state == State::Ejected
        && now < this->members[slot].until;
}

std::optional<int> OutlierDetector::allowance(EngineSlot slot, Instant now) const
{
    if (slot >= this->members.size() || this->members[slot].state == State::Normal) {
        return std::nullopt;
    }
    return this->ejected(slot, now) ? 0 : this->members[slot].window;
}

} // namespace fescuesill
