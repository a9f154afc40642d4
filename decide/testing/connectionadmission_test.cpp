#include "decide/connectionadmission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

constexpr Instant start{1h};
constexpr Duration tick{100ms};
constexpr double linkBytesPerSecond = 1'000'000;

ConnectionAdmission::Options withLink()
{
    ConnectionAdmission::Options options;
    options.linkBytesPerSecond = linkBytesPerSecond;
    return options;
}

// A host whose requests take so many bytes of its link, or so much of its processor, each spread over some time.
class Host
{
public:
    struct Load {
        double connections = 0; // a second
        double bytes = 0; // of each request
        double processor = 0; // seconds of each request
        int ticks = 1; // over which a request is spread
    };

    explicit Host(const ConnectionAdmission::Options &options)
        : admission(options)
    {
    }

    // Returns the part of the connections that was read.
    double run(const Load &load, Duration time)
    {
        double came = 0;
        double read = 0;
        for (const Instant end = this->now + time; this->now < end; this->now += tick) {
            this->due += load.connections * std::chrono::duration<double>(tick).count();
            double started = 0;
            while (this->due >= 1) {
                this->due -= 1;
                came += 1;
                started += this->admission.admits(this->now) ? 1 : 0;
            }
            read += started;
            this->running.push_back(started);
            double active = 0;
            for (std::size_t age = 0; age < static_cast<std::size_t>(load.ticks) && age < this->running.size(); ++age) {
                active += this->running[this->running.size() - 1 - age];
            }
            this->use.sent += static_cast<std::uint64_t>(active * load.bytes / load.ticks);
            const double busy = active * load.processor / load.ticks;
            this->backlog = std::max(0.0, this->backlog + busy - std::chrono::duration<double>(tick).count());
            this->use.lateness = Duration(static_cast<Duration::rep>(this->backlog * 1e6));
            this->admission.onTick(this->use, this->now);
        }
        return came > 0 ? read / came : 1;
    }

    ConnectionAdmission admission;

private:
    Instant now = start;
    HostUse use;
    double due = 0;
    double backlog = 0; // seconds of work
    std::vector<double> running; // requests that were started in each tick
};

TEST(ConnectionAdmission, ReadsAllWhileThereIsRoom)
{
    Host host(withLink());
    EXPECT_EQ(host.run({100, 6000, 0.001, 1}, 20s), 1.0);
    EXPECT_EQ(host.admission.leftUnread(), 0U);
}

TEST(ConnectionAdmission, JudgesNoLinkOfUnknownSize)
{
    Host host({});
    EXPECT_EQ(host.run({1000, 1'000'000, 0, 1}, 10s), 1.0);
}

// Each guards against a host that reads more than it can answer in time.
TEST(ConnectionAdmission, KeepsTheLinkBelowItsLimit)
{
    for (const int ticks : {1, 40}) {
        Host host(withLink());
        host.run({300, 8000, 0, ticks}, 6s);
        const double read = host.run({300, 8000, 0, ticks}, 10s);
        EXPECT_LT(read * 300 * 8000, 0.9 * linkBytesPerSecond) << ticks;
        EXPECT_GT(read * 300 * 8000, 0.2 * linkBytesPerSecond) << ticks;
    }
}

TEST(ConnectionAdmission, KeepsTheProcessorBelowItsLimit)
{
    Host host({});
    host.run({300, 0, 0.006, 1}, 6s);
    const double read = host.run({300, 0, 0.006, 1}, 10s);
    EXPECT_LT(read * 300 * 0.006, 1.2);
    EXPECT_GT(read * 300 * 0.006, 0.3);
}

// Guards against a host that leaves connections unread long after there is room again.
TEST(ConnectionAdmission, ReadsAllAgainSoonAfterTheSurplus)
{
    Host host(withLink());
    host.run({300, 8000, 0, 10}, 10s);
    host.run({60, 8000, 0, 10}, 6s);
    EXPECT_EQ(host.run({60, 8000, 0, 10}, 10s), 1.0);
    EXPECT_FALSE(host.admission.rate());
}

// Guards against a host that a single late timer, as after a pause of its process, makes leave connections unread.
TEST(ConnectionAdmission, IgnoresOneLateTimer)
{
    ConnectionAdmission admission({});
    admission.onTick({0, 0, 0s}, start);
    admission.onTick({0, 0, 3s}, start + 3s);
    EXPECT_TRUE(admission.admits(start + 3s));
    EXPECT_FALSE(admission.rate());
}

// Guards against a host that takes on more while its link is full of packets that are sent again, and against one that
// takes a loss of its paths for that.
TEST(ConnectionAdmission, TakesOnNoMoreWhileItsOwnConnectionsFail)
{
    const struct {
        const char *name;
        std::uint64_t bytes; // in each tick, after it was full
        std::uint64_t failures;
        bool isLimited; // ten seconds later
    } cases[] = {
        {"connections fail", 20'000, 2, true},
        {"none fail", 20'000, 0, false},
        {"connections fail and nothing is carried", 1'000, 2, false},
    };
    for (const auto &each : cases) {
        ConnectionAdmission admission(withLink());
        HostUse use;
        for (int step = 0; step < 120; ++step) {
            use.sent += step < 20 ? 100'000 : each.bytes;
            use.failures += step < 20 ? 0 : each.failures;
            const Instant now = start + step * tick;
            admission.onTick(use, now);
            for (int caller = 0; caller < 3; ++caller) {
                admission.admits(now);
            }
        }
        EXPECT_EQ(admission.rate().has_value(), each.isLimited) << each.name;
    }
}

// Guards against a limit that is given up while it holds back most of what would come: a port that is closed hides it.
TEST(ConnectionAdmission, KeepsALimitThatRefusesCallers)
{
    ConnectionAdmission admission(withLink());
    HostUse use;
    std::vector<bool> changes;
    for (int step = 0; step < 40; ++step) {
        const Instant now = start + step * tick;
        use.sent += step < 20 ? 100'000 : 30'000;
        if (const auto change = admission.onTick(use, now)) {
            changes.push_back(*change);
        }
        for (int caller = 0; caller < 100 && admission.admits(now);
             ++caller) { // the port is closed after the first refusal
        }
    }
    EXPECT_EQ(changes, std::vector<bool>{true});
}

// Whatever comes, some connections are read in each second, so that the host stays in use.
RC_GTEST_PROP(ConnectionAdmission, AlwaysReadsSome, ())
{
    Host host(withLink());
    const auto phases = *rc::gen::inRange(1, 6);
    for (int phase = 0; phase < phases; ++phase) {
        const Host::Load load{static_cast<double>(*rc::gen::inRange(20, 2000)),
                              static_cast<double>(*rc::gen::inRange(0, 100000)), *rc::gen::inRange(0, 100) / 1000.0,
                              *rc::gen::inRange(1, 50)};
        host.run(load, 1s);
        RC_ASSERT(host.run(load, 2s) * load.connections >= ConnectionAdmission::Options{}.leastRate / 2);
    }
}

} // namespace
} // namespace fescuesill
