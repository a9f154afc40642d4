// An endpoint that can't be reached is either down or cut off from this host. The difference shows from another host:
// if that one reaches it at the same moment, this host uses tunnels to it. That check takes no time of any call.
//
// If two endpoints in a row can't be reached, the common cause is more likely at this host, and it uses tunnels at
// once. A wrong verdict costs one more hop for a moment: the endpoint that is checked is one that a tunnel reached, and
// the first that is reached directly reverses it.

#include "decide/endpointpaths.h"

#include <algorithm>

namespace fescuesill
{

void EndpointPaths::change(bool isCutOff, Instant now)
{
    this->cutOff = isCutOff;
    this->changed = now;
    this->hostListDue = now;
}

bool EndpointPaths::onConnected(const std::string &endpoint, Instant now)
{
    ++this->total.opened;
    this->lastOpened = now;
    this->failures = 0;
    if (this->suspects.erase(endpoint) > 0) {
        // The cause may have ended for all: they are checked without a pause until one fails.
        this->checkDue = now;
        for (auto &[other, suspect] : this->suspects) {
            suspect.checkDue = std::min(suspect.checkDue, now);
        }
    }
    if (!this->cutOff) {
        return false;
    }
    this->change(false, now);
    return true;
}

void EndpointPaths::setHostFull(bool isFull, Instant now)
{
    const bool wasFull = this->hostFull;
    this->hostFull = isFull && this->lastOpened && now - *this->lastOpened < this->options.openedLately;
    if (this->hostFull && !wasFull && this->cutOff) {
        this->change(false, now);
    }
}

bool EndpointPaths::onConnectFailed(const std::string &endpoint, Instant now)
{
    ++this->total.failed;
    if (this->hostFull) {
        return false;
    }
    Suspect &suspect = this->suspects.try_emplace(endpoint, Suspect{now, now}).first->second;
    suspect.needed = now;
    if (this->failures++ == 0) {
        this->failedEndpoint = endpoint;
    }
    const bool isCommon = endpoint != this->failedEndpoint || this->failures >= this->options.failuresOfOne;
    if (this->cutOff || !isCommon) {
        return false;
    }
    this->checkTarget = endpoint;
    this->change(true, now);
    return true;
}

void EndpointPaths::setTunnelHosts(const std::vector<std::string> &addresses, bool areAllOthersCutOff)
{
    this->areOthersCutOff = areAllOthersCutOff;
    std::vector<TunnelHost> next;
    for (const std::string &address : addresses) {
        const auto known = std::find_if(this->tunnelHosts.begin(), this->tunnelHosts.end(),
                                        [&address](const TunnelHost &host) { return host.address == address; });
        next.push_back(known == this->tunnelHosts.end() ? TunnelHost{address, Instant()} : *known);
    }
    this->tunnelHosts = std::move(next);
}

bool EndpointPaths::usesTunnel(const std::string &endpoint) const
{
    if (this->tunnelHosts.empty()) {
        return this->cutOff && this->areOthersCutOff;
    }
    const auto suspect = this->suspects.find(endpoint);
    return this->cutOff || (suspect != this->suspects.end() && suspect->second.isTunnelOnly);
}

bool EndpointPaths::hasTunnelOnly() const
{
    return std::any_of(this->suspects.begin(), this->suspects.end(),
                       [](const auto &suspect) { return suspect.second.isTunnelOnly; });
}

bool EndpointPaths::usesTunnelAfterFailure() const
{
    return !this->tunnelHosts.empty() && (this->cutOff || this->hasTunnelOnly());
}

std::optional<std::string> EndpointPaths::nextTunnelHost(Instant now, const std::string &avoid)
{
    std::optional<std::string> chosen;
    std::uint64_t usable = 0;
    for (const TunnelHost &host : this->tunnelHosts) {
        // The n-th usable host replaces the choice with probability 1/n, so all are equally likely.
        const bool isUsable = now >= host.pausedUntil && host.address != avoid;
        if (isUsable && this->random() % ++usable == 0) {
            chosen = host.address;
        }
    }
    return chosen;
}

void EndpointPaths::onNeeded(const std::string &endpoint, Instant now)
{
    const auto suspect = this->suspects.find(endpoint);
    if (suspect != this->suspects.end()) {
        suspect->second.needed = now;
    }
    if (!this->isTargetReached) {
        this->checkTarget = endpoint;
    }
}

bool EndpointPaths::onTunnelOpened(const std::string &endpoint, Instant now)
{
    ++this->total.tunnelled;
    this->checkTarget = endpoint;
    this->isTargetReached = true;
    if (this->cutOff) {
        this->suspects.try_emplace(endpoint, Suspect{now, now}); // whether it is reached directly is not known
    }
    const auto suspect = this->suspects.find(endpoint);
    if (suspect == this->suspects.end() || suspect->second.isTunnelOnly) {
        return false;
    }
    suspect->second.isTunnelOnly = true;
    return true;
}

void EndpointPaths::onTunnelHostFailed(const std::string &host, Instant now)
{
    for (TunnelHost &known : this->tunnelHosts) {
        if (known.address == host) {
            known.pausedUntil = now + this->options.hostPause;
        }
    }
}

bool EndpointPaths::takeTunnelHostsDue(Instant now)
{
    if (!(this->cutOff || this->hasTunnelOnly()) || now < this->hostListDue) {
        return false;
    }
    this->hostListDue = now + this->options.hostListInterval;
    return true;
}

std::optional<std::string> EndpointPaths::dueSuspect(Instant now)
{
    auto chosen = this->suspects.end();
    for (auto suspect = this->suspects.begin(); suspect != this->suspects.end();) {
        if (now >= suspect->second.needed + this->options.suspectFor) {
            suspect = this->suspects.erase(suspect);
            continue;
        }
        const bool isFirst = chosen == this->suspects.end() || suspect->second.checkDue < chosen->second.checkDue;
        if (now >= suspect->second.checkDue && isFirst) {
            chosen = suspect;
        }
        ++suspect;
    }
    if (chosen == this->suspects.end()) {
        return std::nullopt;
    }
    chosen->second.checkDue = now + this->options.recheckInterval;
    return chosen->first;
}

std::optional<std::string> EndpointPaths::dueCheck(Instant now)
{
    const bool isNeeded = this->cutOff || (!this->suspects.empty() && !this->tunnelHosts.empty());
    if (!isNeeded || now < this->checkDue) {
        return std::nullopt;
    }
    this->checkDue = now + this->options.checkInterval;
    if (!this->cutOff) {
        return this->dueSuspect(now);
    }
    this->isTargetReached = false;
    return this->checkTarget;
}

void EndpointPaths::onCheckFailed()
{
    ++this->total.failed;
}

} // namespace fescuesill
