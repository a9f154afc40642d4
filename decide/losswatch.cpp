// Events and stalls are summed over all hosts, and both sums decay by exp(-age / window). Their ratio is the rate of
// stalls of about the last window; it changes only with a report, so the verdict is decided there.
//
// The stalls of the last window come from at least minHosts hosts exactly if the minHosts hosts whose last stalls are
// the latest all had them within the window. So no other host needs to be remembered.
//
// Without events there is nothing to hold and nothing is known: the verdict ends after a window without them.

#include "decide/losswatch.h"

#include <algorithm>
#include <cmath>

namespace fescuesill
{

bool LossWatch::report(const HostId &host, std::int64_t events, std::int64_t stalls, Instant now)
{
    if (host.isEmpty() || events < 0 || events > this->options.maxEvents || stalls < 0 || stalls > events) {
        return false;
    }
    if (events == 0) {
        return true;
    }
    const bool wasSeen = this->isSeen(now);
    this->decayed = this->counts(now);
    this->decayed.events += static_cast<double>(events);
    this->decayed.stalls += static_cast<double>(stalls);
    this->updated = std::max(this->updated, now);
    if (stalls > 0) {
        this->recordStall(host, this->updated);
    }
    const double rate = this->decayed.stalls / this->decayed.events;
    if (wasSeen) {
        this->isLossy = rate >= this->options.minRate / 2;
    } else {
        this->isLossy = rate > this->options.minRate && this->decayed.stalls >= this->options.minStalls
            && this->stalledHosts(this->updated) >= this->options.minHosts;
    }
    return true;
}

bool LossWatch::isSeen(Instant now) const
{
    return this->isLossy && now - this->updated <= this->options.window;
}

LossWatch::Counts LossWatch::counts(Instant now) const
{
    const std::chrono::duration<double> age = std::max<Duration>(now - this->updated, Duration(0));
    const double left = std::exp(-age / std::chrono::duration<double>(this->options.window));
    return {this->decayed.events * left, this->decayed.stalls * left};
}

void LossWatch::recordStall(const HostId &host, Instant now)
{
    auto &latest = this->latestStalls;
    const auto isHost = [&](const auto &each) {
        return each.first == host;
    };
    latest.erase(std::remove_if(latest.begin(), latest.end(), isHost), latest.end());
    latest.emplace_back(host, now);
    if (latest.size() > this->options.minHosts) {
        latest.erase(latest.begin());
    }
}

std::size_t LossWatch::stalledHosts(Instant now) const
{
    const auto isRecent = [&](const auto &each) {
        return now - each.second <= this->options.window;
    };
    return static_cast<std::size_t>(std::count_if(this->latestStalls.begin(), this->latestStalls.end(), isRecent));
}

} // namespace fescuesill
