#pragma once

// Which host places the generations of this one: the leader, its deputy, or this host alone.
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
    Waiting, // for the deputy; nothing is placed
};

class PlacingRoute
{
public:
    struct Options {
        // After a deputy refused, which it does until it finds the leader lost itself, or could not be reached.
        Duration retry{100ms};
        // How long generations wait for a deputy before this host places them alone. Two hosts find the same leader
        // lost within a heartbeat of each other.
        Duration deputyWait{500ms};
    };

    PlacingRoute(std::string ownAddress, Options given)
        : self(std::move(ownAddress))
        , options(given)
    {
    }

    void onLeading(bool isLeading);
    void onLeaderReached();
    void onLeaderLost(Instant now);
    // By the leader, while it could be reached; empty: none.
    void onDeputyNamed(const std::string &address);
    // By the deputy: who follows it if it is lost too.
    void onNextDeputyNamed(const std::string &address);
    // This host stops: it places for others no longer.
    void onStopping();
    void onDeputyReached();
    void onDeputyLost(Instant now);

    PlacingPath path(Instant now) const;
    // Where a link to the deputy should be; none where none is needed now.
    std::optional<std::string> wantedDeputy(Instant now) const;
    // This host is the deputy and the leader is lost: it places for the hosts that ask it.
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
    bool isDeputyReached = false;
    Instant notBefore;
    Instant waitUntil;
};

} // namespace fescuesill
