#include "decide/endpointpaths.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <vector>

namespace fescuesill
{
namespace
{

constexpr Instant start{1h};

TEST(EndpointPaths, IsCutOffIfDifferentEndpointsFailInARow)
{
    struct Case {
        const char *name;
        std::vector<const char *> events; // the endpoint that failed; "+" for a connection that was opened
        bool isCutOff;
    };
    const Case cases[] = {
        {"nothing is known", {}, false},
        {"one endpoint is down", {"a", "a", "a"}, false},
        {"two in a row", {"a", "b"}, true},
        {"two, and one reached in between", {"a", "+", "b"}, false},
        {"only one endpoint is known", {"a", "a", "a", "a"}, true},
        {"reached again", {"a", "b", "+"}, false},
        {"lost again", {"a", "b", "+", "c", "a"}, true},
    };
    for (const Case &one : cases) {
        EndpointPaths paths(EndpointPaths::Options{}, 1);
        for (const std::string event : one.events) {
            if (event == "+") {
                paths.onConnected("a", start);
            } else {
                paths.onConnectFailed(event, start);
            }
        }
        EXPECT_EQ(paths.isCutOff(), one.isCutOff) << one.name;
    }
}

TEST(EndpointPaths, ReportsEachChangeOnce)
{
    EndpointPaths paths(EndpointPaths::Options{}, 1);
    EXPECT_FALSE(paths.onConnectFailed("a", start));
    EXPECT_TRUE(paths.onConnectFailed("b", start + 1s));
    EXPECT_EQ(paths.changedAt(), start + 1s);
    EXPECT_FALSE(paths.onConnectFailed("c", start + 2s));
    EXPECT_TRUE(paths.onConnected("a", start + 3s));
    EXPECT_FALSE(paths.onConnected("a", start + 4s));
    EXPECT_EQ(paths.changedAt(), start + 3s);
    EXPECT_EQ(paths.counts().opened, 2U);
    EXPECT_EQ(paths.counts().failed, 3U);
}

TEST(EndpointPaths, UsesTunnelsOnlyWhileCutOff)
{
    EndpointPaths paths(EndpointPaths::Options{}, 1);
    paths.setTunnelHosts({"x", "y"});
    EXPECT_FALSE(paths.usesTunnel("a"));
    paths.onConnectFailed("a", start);
    paths.onConnectFailed("b", start);
    EXPECT_TRUE(paths.usesTunnel("a"));
    paths.setTunnelHosts({});
    EXPECT_FALSE(paths.usesTunnel("a")); // without another host, the direct path is the only one
    paths.setTunnelHosts({"x"});
    paths.onConnected("a", start);
    EXPECT_FALSE(paths.usesTunnel("a"));
}

// Guards against calls that run into one timeout after the other while no host of the fleet reaches an endpoint.
TEST(EndpointPaths, DoesNotTryDirectlyWhileAllHostsAreCutOff)
{
    EndpointPaths paths(EndpointPaths::Options{}, 1);
    paths.setTunnelHosts({}, true);
    EXPECT_FALSE(paths.usesTunnel("a")); // this host is not cut off
    paths.onConnectFailed("a", start);
    paths.onConnectFailed("b", start);
    EXPECT_TRUE(paths.usesTunnel("a"));
    EXPECT_FALSE(paths.nextTunnelHost(start));
    paths.onNeeded("c", start);
    EXPECT_EQ(paths.dueCheck(start + 1s), "c"); // finds the end of the cut
    paths.onConnected("c", start + 1s);
    EXPECT_FALSE(paths.usesTunnel("a"));
}

TEST(EndpointPaths, PausesAHostThatOpenedNoTunnel)
{
    EndpointPaths paths(EndpointPaths::Options{}, 1);
    paths.setTunnelHosts({"x", "y"});
    paths.onTunnelHostFailed("x", start);
    for (int round = 0; round < 20; ++round) {
        EXPECT_EQ(paths.nextTunnelHost(start), "y");
    }
    paths.setTunnelHosts({"x", "z"}); // a new list does not end the pause
    EXPECT_EQ(paths.nextTunnelHost(start), "z");
    EXPECT_EQ(paths.nextTunnelHost(start, "z"), std::nullopt);
    paths.onTunnelHostFailed("z", start);
    EXPECT_EQ(paths.nextTunnelHost(start), std::nullopt);
    EXPECT_NE(paths.nextTunnelHost(start + EndpointPaths::Options{}.hostPause), std::nullopt);
}

TEST(EndpointPaths, SpreadsOverAllHosts)
{
    EndpointPaths paths(EndpointPaths::Options{}, 1);
    paths.setTunnelHosts({"x", "y", "z"});
    std::map<std::string, int> chosen;
    for (int round = 0; round < 3000; ++round) {
        ++chosen[*paths.nextTunnelHost(start)];
    }
    for (const auto &[host, times] : chosen) {
        EXPECT_GT(times, 800) << host;
    }
    EXPECT_EQ(chosen.size(), 3U);
}

// Guards against checks of endpoints that are down themselves, while others would show that this host reaches some.
TEST(EndpointPaths, ChecksTheEndpointThatATunnelReachedWhileCutOff)
{
    const Duration interval = EndpointPaths::Options{}.checkInterval;
    EndpointPaths paths(EndpointPaths::Options{}, 1);
    paths.setTunnelHosts({"x"});
    EXPECT_EQ(paths.dueCheck(start), std::nullopt);
    paths.onConnectFailed("a", start);
    paths.onConnectFailed("b", start);
    EXPECT_EQ(paths.dueCheck(start), "b");
    EXPECT_EQ(paths.dueCheck(start), std::nullopt);
    EXPECT_EQ(paths.dueCheck(start + interval), "b");
    paths.onNeeded("c", start);
    paths.onTunnelOpened("c", start);
    paths.onNeeded("d", start); // not reached
    EXPECT_EQ(paths.dueCheck(start + 2 * interval), "c");
    paths.onNeeded("d", start);
    EXPECT_EQ(paths.dueCheck(start + 3 * interval), "d");
    // What tunnels reached is checked before it is used directly again.
    paths.onConnected("d", start + 3 * interval);
    EXPECT_FALSE(paths.isCutOff());
    EXPECT_TRUE(paths.usesTunnel("c"));
    EXPECT_FALSE(paths.usesTunnel("d"));
}

TEST(EndpointPaths, RequestsHostsAtOnceAndThenNowAndAgain)
{
    const Duration interval = EndpointPaths::Options{}.hostListInterval;
    EndpointPaths paths(EndpointPaths::Options{}, 1);
    EXPECT_FALSE(paths.takeTunnelHostsDue(start));
    paths.onConnectFailed("a", start);
    paths.onConnectFailed("b", start);
    EXPECT_TRUE(paths.takeTunnelHostsDue(start));
    EXPECT_FALSE(paths.takeTunnelHostsDue(start));
    EXPECT_TRUE(paths.takeTunnelHostsDue(start + interval));
    paths.onConnected("a", start + interval);
    EXPECT_FALSE(paths.takeTunnelHostsDue(start + 2 * interval));
}

// Guards against a host that keeps refusing calls to the endpoints of one service, which it alone can't reach.
TEST(EndpointPaths, UsesTunnelsToAnEndpointThatOnlyOtherHostsReach)
{
    const EndpointPaths::Options options;
    EndpointPaths paths(options, 1);
    paths.setTunnelHosts({"x"});
    paths.onConnected("b", start);
    paths.onConnectFailed("a", start);
    EXPECT_FALSE(paths.usesTunnel("a")); // it may be down
    EXPECT_EQ(paths.dueCheck(start), "a");
    paths.onCheckFailed();
    EXPECT_TRUE(paths.onTunnelOpened("a", start));
    EXPECT_FALSE(paths.onTunnelOpened("a", start));
    EXPECT_TRUE(paths.usesTunnel("a"));
    EXPECT_FALSE(paths.usesTunnel("b"));
    EXPECT_FALSE(paths.isCutOff());
    paths.onConnected("b", start);
    EXPECT_TRUE(paths.usesTunnel("a"));
    EXPECT_EQ(paths.dueCheck(start + options.recheckInterval), "a");
    paths.onConnected("a", start + options.recheckInterval);
    EXPECT_FALSE(paths.usesTunnel("a"));
    EXPECT_EQ(paths.dueCheck(start + 2 * options.recheckInterval), std::nullopt);
}

// Guards against a host that notices at each call anew that it reaches none of the endpoints of one service, since it
// reaches those of others in between.
TEST(EndpointPaths, KeepsWhatATunnelShowed)
{
    EndpointPaths paths(EndpointPaths::Options{}, 1);
    paths.setTunnelHosts({"x"});
    paths.onConnectFailed("a", start);
    paths.onConnectFailed("b", start);
    paths.onTunnelOpened("b", start);
    paths.onConnected("c", start);
    EXPECT_FALSE(paths.isCutOff());
    EXPECT_TRUE(paths.usesTunnel("b"));
    EXPECT_FALSE(paths.usesTunnel("a"));
}

// Guards against engines that are reported as faulty one after the other by a host that can't reach them.
TEST(EndpointPaths, UsesATunnelAfterAFailureOnlyIfTunnelsAreNeeded)
{
    EndpointPaths paths(EndpointPaths::Options{}, 1);
    paths.setTunnelHosts({"x"});
    paths.onConnected("c", start);
    paths.onConnectFailed("a", start);
    EXPECT_FALSE(paths.usesTunnelAfterFailure()); // the first that fails is most likely down
    paths.onTunnelOpened("a", start);
    EXPECT_TRUE(paths.usesTunnelAfterFailure());
    paths.onConnected("a", start);
    EXPECT_FALSE(paths.usesTunnelAfterFailure());
}

TEST(EndpointPaths, ChecksAnEndpointOnlyWhileCallsNeedIt)
{
    const EndpointPaths::Options options;
    EndpointPaths paths(options, 1);
    paths.setTunnelHosts({"x"});
    paths.onConnectFailed("a", start);
    int checks = 0;
    for (Instant now = start; now < start + 3 * options.suspectFor; now += options.checkInterval) {
        if (paths.dueCheck(now)) {
            paths.onCheckFailed();
            ++checks;
        }
    }
    EXPECT_EQ(checks, options.suspectFor / options.recheckInterval);
}

TEST(EndpointPaths, ChecksManyEndpointsInTurn)
{
    const EndpointPaths::Options options;
    EndpointPaths paths(options, 1);
    paths.setTunnelHosts({"x"});
    std::map<std::string, int> checks;
    for (int endpoint = 0; endpoint < 8; ++endpoint) {
        paths.onConnectFailed(std::to_string(endpoint), start);
        paths.onConnected("other", start);
    }
    for (Instant now = start; now < start + 4s; now += 50ms) {
        if (const auto endpoint = paths.dueCheck(now)) {
            ++checks[*endpoint];
        }
    }
    EXPECT_EQ(checks.size(), 8U);
    for (const auto &[endpoint, times] : checks) {
        EXPECT_EQ(times, 2) << endpoint; // 16 checks in 4 s
    }
}

// A host whose calls and checks go the way of HttpClient, and a network in which other hosts reach at least what it
// does.
class PathsWorld
{
public:
    static constexpr int endpoints = 6;

    explicit PathsWorld(std::uint64_t seed)
        : random(seed)
        , paths(EndpointPaths::Options{}, seed)
    {
        this->paths.setTunnelHosts({"x", "y"});
    }

    // All endpoints are reached, or all are cut off from this host, or each is down, cut off or reached.
    void changeNetwork()
    {
        const auto kind = this->random() % 3;
        for (int endpoint = 0; endpoint < endpoints; ++endpoint) {
            this->isUp[endpoint] = kind == 0 || this->random() % 5 != 0;
            const bool isCut = kind != 0 && (kind == 1 || this->random() % 3 == 0);
            this->isReached[endpoint] = this->isUp[endpoint] && !isCut;
            this->hasFailed[endpoint] = false;
        }
    }
    void check()
    {
        const auto due = this->paths.dueCheck(this->now);
        if (!due) {
            return;
        }
        const int endpoint = std::stoi(*due);
        if (this->isReached[endpoint]) {
            this->paths.onConnected(*due, this->now);
            return;
        }
        this->paths.onCheckFailed();
        if (!this->paths.isCutOff() && this->isUp[endpoint]) {
            this->paths.onTunnelOpened(*due, this->now);
        }
    }
    // Calls an endpoint at random. Returns whether the oracle, which sees the network, allows what came of it: an
    // endpoint that is up serves, but for the first call after a change, and without a tunnel if this host reaches all
    // endpoints.
    bool call()
    {
        const int endpoint = static_cast<int>(this->random() % endpoints);
        const std::string name = std::to_string(endpoint);
        if (!this->paths.usesTunnel(name)) {
            if (this->isReached[endpoint]) {
                this->paths.onConnected(name, this->now);
                return true;
            }
            this->paths.onConnectFailed(name, this->now);
            if (!this->paths.usesTunnelAfterFailure()) {
                const bool isFirst = !this->hasFailed[endpoint];
                this->hasFailed[endpoint] = true;
                return !this->isUp[endpoint] || isFirst;
            }
        }
        this->paths.onNeeded(name, this->now);
        if (this->isUp[endpoint]) {
            this->paths.onTunnelOpened(name, this->now);
        }
        return std::count(this->isReached.begin(), this->isReached.end(), true) < endpoints;
    }

    std::mt19937_64 random;
    EndpointPaths paths;
    std::array<bool, endpoints> isUp{};
    std::array<bool, endpoints> isReached{};
    std::array<bool, endpoints> hasFailed{}; // directly, since the last change
    Instant now = start;
};

RC_GTEST_PROP(EndpointPaths, AgreeWithAnOracleSoonAfterEachChangeOfTheNetwork, (std::uint64_t seed))
{
    PathsWorld world(seed);
    const Duration settled = 3s; // in which a host must serve again after a cut
    for (int change = 0; change < 4; ++change) {
        world.changeNetwork();
        const Instant begin = world.now;
        for (int turn = 0; world.now < begin + settled + 2s; ++turn, world.now += 20ms) {
            if (turn % 5 == 0) {
                world.check();
            }
            const bool isRight = world.call();
            RC_ASSERT(isRight || world.now < begin + settled);
        }
    }
}

// Guards against a host that takes its own delays for lost paths, and one that is full and takes lost paths for delays.
TEST(EndpointPaths, AFullHostIsCutOffOnlyIfItOpensNoConnection)
{
    constexpr Instant start{1h};
    EndpointPaths paths({}, 1);
    paths.onConnected("a", start);
    paths.setHostFull(true, start + 100ms);
    EXPECT_FALSE(paths.onConnectFailed("a", start + 200ms));
    EXPECT_FALSE(paths.onConnectFailed("b", start + 200ms));
    EXPECT_FALSE(paths.isCutOff());
    paths.setHostFull(true, start + 2s);
    EXPECT_FALSE(paths.onConnectFailed("a", start + 2s));
    EXPECT_TRUE(paths.onConnectFailed("b", start + 2s));
    paths.setHostFull(true, start + 3s);
    EXPECT_TRUE(paths.isCutOff());
}

TEST(EndpointPaths, AHostThatBecomesFullIsNotCutOffByItsFirstDelays)
{
    constexpr Instant start{1h};
    EndpointPaths paths({}, 1);
    paths.onConnected("a", start);
    paths.onConnectFailed("a", start + 200ms);
    EXPECT_TRUE(paths.onConnectFailed("b", start + 200ms));
    paths.setHostFull(true, start + 300ms);
    EXPECT_FALSE(paths.isCutOff());
}

} // namespace
} // namespace fescuesill
