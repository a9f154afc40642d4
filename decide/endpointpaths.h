#pragma once

// Decides whether this host connects to endpoints directly or through a tunnel of another host.
//
//     EndpointPaths paths(EndpointPaths::Options{}, seed);
//     paths.setTunnelHosts({"10.1.0.21:7675", "10.2.0.30:7675"});        // of other hosts
//     if (paths.usesTunnels()) {
//         paths.onNeeded(endpoint);
//         while (const auto host = paths.nextTunnelHost(now)) {
//             ... connect through it, then onTunnelOpened(endpoint) or onTunnelHostFailed(*host, now) ...
//         }
//     } else { ... connect directly, then onConnected(now) or onConnectFailed(endpoint, now) ... }
//     if (const auto endpoint = paths.dueProbe(now)) { ... connect to it directly, and report the outcome ... }
//
// Guards against a host that loses its network to all endpoints and refuses every caller, although the other hosts
// reach them.

#include "fescuesill/units.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fescuesill
{

class EndpointPaths
{
public:
    struct Options {
        // Failed connections in a row to one endpoint that count like failures to two: the fleet may have only one.
        std::size_t failuresOfOne = 4;
        // Between two attempts to reach an endpoint directly again.
        Duration probeInterval{250ms};
        // For which a host is not used after it opened no tunnel.
        Duration hostPause{2s};
        // Between two requests for a list of hosts while they are in use.
        Duration hostListInterval{1s};
    };
    struct Counts {
        std::uint64_t opened = 0; // directly
        std::uint64_t failed = 0; // directly
        std::uint64_t tunnelled = 0; // opened through another host
    };

    EndpointPaths(const Options &given, std::uint64_t seed)
        : options(given)
        , random(seed)
    {
    }

    // A direct connection to an endpoint was opened. Returns whether this ends isCutOff().
    bool onConnected(Instant now);
    // A direct connection to the endpoint at `address` could not be opened. Returns whether this begins isCutOff().
    bool onConnectFailed(const std::string &address, Instant now);

    // Whether this host reaches no endpoint: connections to different ones failed, and none was opened in between.
    bool isCutOff() const
    {
        return this->cutOff;
    }
    // When isCutOff() last changed.
    Instant changedAt() const
    {
        return this->changed;
    }
    const Counts &counts() const
    {
        return this->total;
    }

    // Replaces the list of hosts that open tunnels. A host that stays in it keeps its pause.
    void setTunnelHosts(const std::vector<std::string> &addresses);
    // Whether connections go through other hosts. Without any, this host keeps trying directly.
    bool usesTunnels() const
    {
        return this->cutOff && !this->tunnelHosts.empty();
    }
    // One of the hosts that are not paused, at random; empty if there is none.
    std::optional<std::string> nextTunnelHost(Instant now);
    // A tunnel to the endpoint is needed, and was opened.
    void onNeeded(const std::string &endpoint);
    void onTunnelOpened(const std::string &endpoint);
    void onTunnelHostFailed(const std::string &host, Instant now);
    // Whether a list of hosts should be requested now.
    bool takeTunnelHostsDue(Instant now);

    // The endpoint to connect to directly now, to find out whether this host can reach endpoints again.
    std::optional<std::string> dueProbe(Instant now);

private:
    struct TunnelHost {
        std::string address;
        Instant pausedUntil;
    };

    void change(bool isCutOff, Instant now);

    Options options;
    std::mt19937_64 random;
    bool cutOff = false;
    Instant changed;
    Counts total;
    // Since the last direct connection that was opened.
    std::string failedAddress; // the first that failed
    std::size_t failures = 0;
    std::vector<TunnelHost> tunnelHosts;
    Instant hostListDue;
    std::string probeTarget; // the endpoint last reached through a tunnel since the last probe, else the last needed
    bool isTargetReached = false;
    Instant probeDue;
};

} // namespace fescuesill
