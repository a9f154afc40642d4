// One endpoint that can't be reached is most likely down. If two in a row can't be reached, the common cause is more
// likely at this host. A wrong verdict costs one more hop for a moment: the probes connect directly to the endpoints
// that tunnels reach, and the first that succeeds reverses it.

#include "decide/endpointpaths.h"

#include <algorithm>

namespace fescuesill
{

void EndpointPaths::change(bool isCutOff, Instant now)
{
    this->cutOff = isCutOff;
    this->changed = now;
    this->hostListDue = now;
    this->probeDue = now + this->options.probeInterval;
}

bool EndpointPaths::onConnected(Instant now)
{
    ++this->total.opened;
    this->failures = 0;
    if (!this->cutOff) {
        return false;
    }
    this->change(false, now);
    return true;
}

bool EndpointPaths::onConnectFailed(const std::string &address, Instant now)
{
    ++this->total.failed;
    if (this->failures++ == 0) {
        this->failedAddress = address;
    }
    const bool isCommon = address != this->failedAddress || this->failures >= this->options.failuresOfOne;
    if (this->cutOff || !isCommon) {
        return false;
    }
    this->probeTarget = address;
    this->change(true, now);
    return true;
}

void EndpointPaths::setTunnelHosts(const std::vector<std::string> &addresses)
{
    std::vector<TunnelHost> next;
    for (const std::string &address : addresses) {
        const auto known = std::find_if(this->tunnelHosts.begin(), this->tunnelHosts.end(),
                                        [&address](const TunnelHost &host) { return host.address == address; });
        next.push_back(known == this->tunnelHosts.end() ? TunnelHost{address, Instant()} : *known);
    }
    this->tunnelHosts = std::move(next);
}

std::optional<std::string> EndpointPaths::nextTunnelHost(Instant now)
{
    std::optional<std::string> chosen;
    std::uint64_t usable = 0;
    for (const TunnelHost &host : this->tunnelHosts) {
        // The n-th usable host replaces the choice with probability 1/n, so all are equally likely.
        if (now >= host.pausedUntil && this->random() % ++usable == 0) {
            chosen = host.address;
        }
    }
    return chosen;
}

void EndpointPaths::onNeeded(const std::string &endpoint)
{
    if (!this->isTargetReached) {
        this->probeTarget = endpoint;
    }
}

void EndpointPaths::onTunnelOpened(const std::string &endpoint)
{
    ++this->total.tunnelled;
    this->probeTarget = endpoint;
    this->isTargetReached = true;
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
    if (!this->cutOff || now < this->hostListDue) {
        return false;
    }
    this->hostListDue = now + this->options.hostListInterval;
    return true;
}

std::optional<std::string> EndpointPaths::dueProbe(Instant now)
{
    if (!this->cutOff || now < this->probeDue) {
        return std::nullopt;
    }
    this->probeDue = now + this->options.probeInterval;
    this->isTargetReached = false;
    return this->probeTarget;
}

} // namespace fescuesill
