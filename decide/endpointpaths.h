#pragma once

// Decides whether this host connects to an endpoint directly or through a tunnel of another host.
//
//     EndpointPaths paths(EndpointPaths::Options{}, seed);
//     paths.setTunnelHosts({"10.1.0.21:7675", "10.2.0.30:7675"});
//     if (paths.usesTunnel(endpoint)) {
//         paths.onNeeded(endpoint, now);
//         while (const auto host = paths.nextTunnelHost(now)) {
//             ... connect through it, then onTunnelOpened(endpoint, now) or onTunnelHostFailed(*host, now) ...
//         }
//     } else { ... connect directly, then onConnected(endpoint, now) or onConnectFailed(endpoint, now) ... }
//     if (const auto endpoint = paths.dueCheck(now)) {
//         ... connect to it directly, then onConnected(*endpoint, now); or, if that fails, onCheckFailed(), and open a
//         tunnel as above ...
//     }
//
// Guards against a host that loses its network to endpoints, takes them for broken and refuses its callers, although
// other hosts reach them.

#include "fescuesill/units.h"

#include <cstddef>
#include <cstdint>
#include <map>
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
        // Between two checks, of whichever endpoint.
        Duration checkInterval{250ms};
        // Between two checks of an endpoint that could not be reached by a tunnel either.
        Duration recheckInterval{1s};
        // For which an endpoint is checked after the last call that needed it.
        Duration suspectFor{10s};
        // For which a host is not used after it opened no tunnel.
        Duration hostPause{2s};
        // For which a host that is full takes connections that fail for its own delays, after the last that was opened.
        // One that opens none has lost its paths.
        Duration openedLately{1s};
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
    bool onConnected(const std::string &endpoint, Instant now);
    // A direct connection to the endpoint could not be opened. Returns whether this begins isCutOff().
    bool onConnectFailed(const std::string &endpoint, Instant now);

    // While set, connections that can't be opened say nothing about paths: this host, which is full or was a moment
    // ago, delays them itself. Ends isCutOff(), which may have begun with the first of these delays.
    void setHostFull(bool isFull, Instant now);
    bool isHostFull() const
    {
        return this->hostFull;
    }

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

    // Replaces the list of hosts that open tunnels. A host that stays in it keeps its pause. The list may be empty
    // because all other hosts are cut off, too.
    void setTunnelHosts(const std::vector<std::string> &addresses, bool areOthersCutOff = false);
    // Whether connections to the endpoint go through other hosts. Without any, this host keeps trying directly, unless
    // all hosts are cut off: then only the checks do.
    bool usesTunnel(const std::string &endpoint) const;
    // Whether a call whose direct connection failed goes on through a tunnel. If this host needs tunnels already, one
    // more endpoint that fails is more likely cut off than down.
    bool usesTunnelAfterFailure() const;
    // One of the hosts that are not paused, at random, other than `avoid`; empty if there is none.
    std::optional<std::string> nextTunnelHost(Instant now, const std::string &avoid = {});
    // A call needs a tunnel to the endpoint.
    void onNeeded(const std::string &endpoint, Instant now);
    // A tunnel to the endpoint was opened, by a call or a check. Returns whether it is used through tunnels from now
    // on.
    bool onTunnelOpened(const std::string &endpoint, Instant now);
    void onTunnelHostFailed(const std::string &host, Instant now);
    // Whether a list of hosts should be requested now.
    bool takeTunnelHostsDue(Instant now);

    // The endpoint to check now. While this host is cut off, one that shows whether it still is; otherwise one that
    // could not be reached directly.
    std::optional<std::string> dueCheck(Instant now);
    // In a check, the endpoint was not reached directly.
    void onCheckFailed();

private:
    struct TunnelHost {
        std::string address;
        Instant pausedUntil;
    };
    // An endpoint that could not be reached directly, or was reached through a tunnel while this host was cut off.
    struct Suspect {
        Instant needed; // last, by a call
        Instant checkDue;
        bool isTunnelOnly = false; // other hosts reach it
    };

    void change(bool isCutOff, Instant now);
    bool hasTunnelOnly() const;
    std::optional<std::string> dueSuspect(Instant now);

    Options options;
    std::mt19937_64 random;
    bool cutOff = false;
    bool hostFull = false;
    std::optional<Instant> lastOpened; // directly
    Instant changed;
    Counts total;
    // Since the last direct connection that was opened.
    std::string failedEndpoint; // the first that failed
    std::size_t failures = 0;
    std::map<std::string, Suspect> suspects;
    std::vector<TunnelHost> tunnelHosts;
    bool areOthersCutOff = false;
    Instant hostListDue;
    // While cut off: the endpoint last reached through a tunnel since the last check, else the last needed.
    std::string checkTarget;
    bool isTargetReached = false;
    Instant checkDue;
};

} // namespace fescuesill
