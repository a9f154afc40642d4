#pragma once

// Selects which host places the generations of this host: the leader, its deputy, or this host alone.
//
//     PlacingRoute route("10.1.0.20:7660", PlacingRoute::Options{});
//     route.onDeputyNamed("10.1.0.21:7660");
//     route.onLeaderLost(now);
//     if (const auto address = route.wantedDeputy(now)) { ... keep a link there ... }
//     route.onDeputyReached();
//     switch (route.path(now)) { ... }

#include "fescuesill/units.h"

#include <optional>
#include <string>

namespace fescuesill
{

enum class PlacingPath {
    Alone,
    Leader,
    Deputy,
    Waiting, // for the deputy or a new leader; nothing is placed meanwhile
};

class PlacingRoute
{
public:
    struct Options {
        // The delay after a deputy refused or could not be reached. It refuses until it detects itself that the leader
        // is lost.
        Duration retry{100ms};
        // How long generations wait for a deputy before this host places them alone. Two hosts detect the loss of the
        // same leader within one heartbeat of each other. They wait as long for the link to a new leader.
        Duration deputyWait{500ms};
    };

    PlacingRoute(std::string ownAddress, Options given)
        : self(std::move(ownAddress))
        , options(given)
    {
    }

    void onLeading(bool isLeading);
    // Another host leads from now on, and this host connects to it.
    void onLeaderNamed(Instant now);
    // The host that was named does not lead, and no other is known.
    void onLeaderUnknown();
    void onLeaderReached();
    void onLeaderLost(Instant now);
    // The leader named its deputy while it was reachable; empty: none.
    void onDeputyNamed(const std::string &address);
    // The deputy named the host that replaces it if it is lost too.
    void onNextDeputyNamed(const std::string &address);
    // This host stops and no longer places for others.
    void onStopping();
    void onDeputyReached();
    void onDeputyLost(Instant now);

    PlacingPath path(Instant now) const;
    // The address of the deputy that this host should link to; none if no link is needed now.
    std::optional<std::string> wantedDeputy(Instant now) const;
    // Whether this host is the deputy and the leader is lost, so that it places for the hosts that request it.
    bool isActingLeader() const;

private:
    bool needsDeputy() const;

    std::string self;
    Options options;
    std::string deputy;
    std::string nextDeputy;
    bool leads = false;
    bool isStopping = false;
    bool isLeaderReached = false;
    bool isLeaderExpected = false; // it was named, and the link to it is not open yet
    bool isDeputyReached = false;
    Instant notBefore;
    Instant waitUntil;
};

} // namespace fescuesill
