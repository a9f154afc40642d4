#include "decide/losswatch.h"

#include <cmath>
#include <gtest/gtest.h>
#include <limits>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>
#include <string>
#include <vector>

namespace fescuesill
{
namespace
{

constexpr Instant start{Duration(1'000'000)};

HostId host(int number)
{
    return HostId("h" + std::to_string(number));
}

struct Report {
    int host;
    Duration at;
    std::int64_t events;
    std::int64_t stalls;
};

TEST(LossWatch, SeesLossFromItsThresholdsOn)
{
    struct Case {
        const char *name;
        std::vector<Report> reports;
        Duration asked;
        bool isSeen;
    };
    const Case cases[] = {
        {"no report", {}, 0s, false},
        {"four stalls from three hosts", {{1, 0s, 500, 2}, {2, 0s, 500, 1}, {3, 0s, 500, 1}}, 0s, true},
        {"three stalls from three hosts", {{1, 0s, 500, 1}, {2, 0s, 500, 1}, {3, 0s, 500, 1}}, 0s, false},
        {"many stalls from two hosts", {{1, 0s, 500, 20}, {2, 0s, 500, 20}, {1, 1s, 500, 20}}, 1s, false},
        {"at the rate", {{1, 0s, 9000, 2}, {2, 0s, 9000, 1}, {3, 0s, 2000, 1}}, 0s, false},
        {"above the rate", {{1, 0s, 9000, 2}, {2, 0s, 9000, 1}, {3, 0s, 1999, 1}}, 0s, true},
        {"a third host within the window", {{1, 0s, 500, 4}, {2, 30s, 500, 4}, {3, 30s, 500, 4}}, 30s, true},
        {"a third host before the window", {{1, 0s, 500, 4}, {2, 30001ms, 500, 4}, {3, 30001ms, 500, 4}}, 31s, false},
        {"stalls that have decayed", {{1, 0s, 500, 2}, {2, 0s, 500, 1}, {3, 29s, 500, 1}}, 29s, false},
        {"at half of the rate", {{1, 0s, 500, 2}, {2, 0s, 500, 1}, {3, 0s, 39000, 1}}, 0s, false},
        {"seen, and the rate falls to its half",
         {{1, 0s, 2000, 2}, {2, 0s, 2000, 1}, {3, 0s, 2000, 1}, {4, 0s, 34000, 0}},
         0s,
         true},
        {"seen, and the rate falls below its half",
         {{1, 0s, 2000, 2}, {2, 0s, 2000, 1}, {3, 0s, 2000, 1}, {4, 0s, 34001, 0}},
         0s,
         false},
        {"seen, and the last events are 30 s old", {{1, 0s, 500, 2}, {2, 0s, 500, 1}, {3, 0s, 500, 1}}, 30s, true},
        {"seen, and no events for 30 s", {{1, 0s, 500, 2}, {2, 0s, 500, 1}, {3, 0s, 500, 1}}, 30001ms, false},
        {"reports without events do not prolong",
         {{1, 0s, 500, 2}, {2, 0s, 500, 1}, {3, 0s, 500, 1}, {1, 20s, 0, 0}},
         30001ms,
         false},
        {"after a pause loss is not seen again at once",
         {{1, 0s, 500, 20}, {2, 0s, 500, 20}, {3, 0s, 500, 20}, {1, 31s, 500, 2}},
         31s,
         false},
    };
    for (const Case &each : cases) {
        LossWatch watch(LossWatch::Options{});
        for (const Report &report : each.reports) {
            EXPECT_TRUE(watch.report(host(report.host), report.events, report.stalls, start + report.at)) << each.name;
        }
        EXPECT_EQ(watch.isSeen(start + each.asked), each.isSeen) << each.name;
    }
}

// Guards against a message with bad numbers that switches holding on or off for all hosts.
TEST(LossWatch, IgnoresInvalidCounts)
{
    struct Case {
        const char *name;
        HostId host;
        std::int64_t events;
        std::int64_t stalls;
        bool isValid;
    };
    constexpr std::int64_t huge = std::numeric_limits<std::int64_t>::max();
    const Case cases[] = {
        {"nothing", host(1), 0, 0, true},
        {"the most events", host(1), 100'000, 0, true},
        {"the most stalls", host(1), 100'000, 100'000, true},
        {"too many events", host(1), 100'001, 0, false},
        {"huge events", host(1), huge, 0, false},
        {"huge events and stalls", host(1), huge, huge, false},
        {"negative events", host(1), -1, 0, false},
        {"least events", host(1), std::numeric_limits<std::int64_t>::min(), 0, false},
        {"negative stalls", host(1), 10, -1, false},
        {"more stalls than events", host(1), 10, 11, false},
        {"stalls without events", host(1), 0, 1, false},
        {"no host", HostId(), 10, 1, false},
    };
    for (const Case &each : cases) {
        LossWatch watch(LossWatch::Options{});
        EXPECT_EQ(watch.report(each.host, each.events, each.stalls, start), each.isValid) << each.name;
        const LossWatch::Counts counts = watch.counts(start);
        EXPECT_EQ(counts.events, each.isValid ? static_cast<double>(each.events) : 0) << each.name;
        EXPECT_EQ(counts.stalls, each.isValid ? static_cast<double>(each.stalls) : 0) << each.name;
    }
}

// Guards against counts that grow when a report carries an earlier time than the one before.
TEST(LossWatch, CountsAReportFromBeforeTheLastAsOfThen)
{
    LossWatch watch(LossWatch::Options{});
    watch.report(host(1), 100, 1, start + 10s);
    watch.report(host(2), 100, 1, start);
    EXPECT_EQ(watch.counts(start + 10s).events, 200);
    EXPECT_EQ(watch.counts(start).stalls, 2);
}

// 80 hosts that report once a second for ten minutes.
TEST(LossWatch, JudgesTheLoadOf80Hosts)
{
    struct Case {
        const char *name;
        double streams; // in progress at each host, each of 17.5 events a second
        double stallRate; // per event, at each host
        int slowHosts; // have one stall a second in addition
        Duration seenWithin; // and from then on always
        bool isSeen;
    };
    const Case cases[] = {
        {"lost packets on all links", 4, 0.0015, 0, 10s, true},
        {"lost packets on all links, few streams", 0.5, 0.0015, 0, 30s, true},
        {"no loss", 4, 0, 0, 0s, false},
        {"no loss, two hosts with too little processor time", 4, 0, 2, 0s, false},
        {"a quarter of the rate that matters", 4, 0.00005, 0, 0s, false},
    };
    for (const Case &each : cases) {
        LossWatch watch(LossWatch::Options{});
        std::mt19937_64 random(11);
        std::poisson_distribution<std::int64_t> events(each.streams * 17.5);
        for (Duration at{0}; at < 600s; at += 1s) {
            for (int number = 0; number < 80; ++number) {
                const std::int64_t seen = events(random);
                std::binomial_distribution<std::int64_t> stalls(seen, each.stallRate);
                const std::int64_t slow = number < each.slowHosts && seen > 0 ? 1 : 0;
                ASSERT_TRUE(watch.report(host(number), seen, std::min(seen, stalls(random) + slow), start + at));
            }
            if (!each.isSeen || at >= each.seenWithin) {
                ASSERT_EQ(watch.isSeen(start + at), each.isSeen) << each.name << " after " << at.count() << " us";
            }
        }
    }
}

// Keeps all reports and sums them anew for each question.
class Oracle
{
public:
    void report(const Report &report)
    {
        if (report.events == 0) {
            return;
        }
        const bool wasSeen = this->isSeen(report.at);
        this->reports.push_back(report);
        double events = 0;
        double stalls = 0;
        std::set<int> hosts;
        for (const Report &each : this->reports) {
            const double seconds = std::chrono::duration<double>(report.at - each.at).count();
            events += static_cast<double>(each.events) * std::exp(-seconds / 30);
            stalls += static_cast<double>(each.stalls) * std::exp(-seconds / 30);
            if (each.stalls > 0 && report.at - each.at <= 30s) {
                hosts.insert(each.host);
            }
        }
        const bool begins = stalls >= 4 && hosts.size() >= 3 && stalls / events > 0.0002;
        const bool stays = stalls / events >= 0.0001;
        this->wasSeen = wasSeen ? stays : begins;
    }
    bool isSeen(Duration at) const
    {
        return this->wasSeen && at - this->reports.back().at <= 30s;
    }

private:
    std::vector<Report> reports;
    bool wasSeen = false; // at the last report
};

// Hosts report at random times, after pauses, with calm and lossy spells. Reports are at least 1 ms apart, so no sum
// is equal to a threshold but for rounding.
RC_GTEST_PROP(LossWatch, AgreesWithAllReportsSummedAnew, ())
{
    LossWatch watch(LossWatch::Options{});
    Oracle oracle;
    Duration at{0};
    const int hosts = *rc::gen::inRange(1, 8);
    int stallsOf1000 = 0;
    for (int step = 0; step < 200; ++step) {
        at += std::chrono::milliseconds(*rc::gen::inRange(0, 60) == 0 ? *rc::gen::inRange(20'000, 70'000)
                                                                      : *rc::gen::inRange(1, 3'000));
        if (*rc::gen::inRange(0, 30) == 0) {
            stallsOf1000 = *rc::gen::element(0, 0, 20, 300);
        }
        const bool isEmpty = *rc::gen::inRange(0, 20) == 0;
        const std::int64_t events = isEmpty ? 0 : *rc::gen::inRange<std::int64_t>(10, 3'000);
        const std::int64_t stalls = !isEmpty && *rc::gen::inRange(0, 1000) < stallsOf1000 ? *rc::gen::inRange(1, 4) : 0;
        const Report report{*rc::gen::inRange(0, hosts), at, events, stalls};
        RC_ASSERT(watch.report(host(report.host), report.events, report.stalls, start + at));
        oracle.report(report);
        const Duration asked = at + std::chrono::milliseconds(*rc::gen::inRange(0, 40'000));
        RC_ASSERT(watch.isSeen(start + at) == oracle.isSeen(at));
        RC_ASSERT(watch.isSeen(start + asked) == oracle.isSeen(asked));
    }
}

} // namespace
} // namespace fescuesill
