#include "decide/quotaledger.h"

#include "decide/quotaoverdraft.h"

#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

constexpr Instant start{1h};
constexpr Duration window{8s};
constexpr double overshoot = 0.1;
constexpr QuotaUnits slack(120'000);
constexpr QuotaUnits plainCost(200);
const WorkspaceId workspace("w");

WorkspaceTable tableWith(double perSecond, double burst)
{
    Workspace made;
    made.id = workspace;
    made.unit = QuotaUnit::Tokens;
    made.quota = Quota{perSecond, burst};
    return WorkspaceTable::create({made}).value();
}

QuotaLedger::Options optionsOf(bool isFirstStart = false)
{
    QuotaLedger::Options options;
    options.window = window;
    options.overshoot = overshoot;
    options.slack = slack;
    options.isFirstStart = isFirstStart;
    return options;
}

// What was admitted, as an outside observer sees it.
class Admitted
{
public:
    void add(Instant at, std::int64_t units)
    {
        this->calls.emplace_back(at, units);
    }
    // The most in any window.
    std::int64_t most() const
    {
        std::int64_t sum = 0;
        std::int64_t highest = 0;
        std::size_t first = 0;
        for (const auto &[at, units] : this->calls) {
            sum += units;
            while (at - this->calls[first].first > window) {
                sum -= this->calls[first++].second;
            }
            highest = std::max(highest, sum);
        }
        return highest;
    }
    std::int64_t total() const
    {
        std::int64_t sum = 0;
        for (const auto &[at, units] : this->calls) {
            sum += units;
        }
        return sum;
    }

private:
    std::deque<std::pair<Instant, std::int64_t>> calls;
};

// Hosts that admit plain calls by themselves and report once a second, and a leader that is replaced now and then: the
// next one knows nothing of what was used before, and reports to the old one are lost.
class Fleet
{
public:
    Fleet(int count, double perSecond, double burst)
        : table(tableWith(perSecond, burst))
        , hosts(static_cast<std::size_t>(count))
    {
        for (QuotaOverdraft &host : this->hosts) {
            host.setLimit(QuotaUnits(slack.value() / 4 / count));
        }
        this->replaceLeader(start);
    }

    void replaceLeader(Instant now)
    {
        this->leader = QuotaLedger(optionsOf());
        this->leader.setWorkspaces(&this->table, now);
        this->leader.takeOver(now);
        for (QuotaOverdraft &host : this->hosts) {
            host.repeatReport();
        }
    }

    void call(std::size_t host, QuotaUnits cost, bool isPlain, Instant now)
    {
        const bool isOwn = isPlain && this->hosts[host].take(workspace, cost, now);
        if (isOwn || this->leader.take(workspace, cost, now) == 0ms) {
            this->admitted.add(now, cost.value());
        }
    }

    void report(std::size_t host, Instant now)
    {
        for (const auto &[id, units] : this->hosts[host].takeReport()) {
            this->leader.add(id, units, now);
            if (const Duration wait = this->leader.overdrawnFor(id, now); wait > 0ms) {
                this->hosts[host].suspend(id, wait, now);
            }
        }
    }

    Admitted admitted;

private:
    WorkspaceTable table;
    std::vector<QuotaOverdraft> hosts;
    QuotaLedger leader{optionsOf()};
};

// Guards against a workspace that gets more than its quota from all hosts together, however uneven the load, and
// while leaders change.
RC_GTEST_PROP(QuotaLedger, KeepsEachWindowWithinTheLimit, ())
{
    const int hosts = *rc::gen::element(1, 6, 82, 340);
    const double perSecond = *rc::gen::element(2'000.0, 29'000.0, 216'000.0);
    const double burst = perSecond * *rc::gen::element(0.0, 1.0);
    const double excess = *rc::gen::element(0.5, 2.0, 8.0);
    const int busyHosts = *rc::gen::inRange(1, hosts + 1);
    const double plainShare = *rc::gen::element(0.0, 0.1, 1.0);
    Fleet fleet(hosts, perSecond, burst);
    double due = 0;
    int step = 0;
    Instant nextChange = start + std::chrono::milliseconds(*rc::gen::inRange(4000, 20000));
    for (Instant now = start; now < start + 30s; now += 20ms, ++step) {
        if (now >= nextChange) {
            fleet.replaceLeader(now);
            nextChange = now + std::chrono::milliseconds(*rc::gen::inRange(4000, 20000)); // twice in a window at most
        }
        due += perSecond * excess * 0.02;
        while (due > 0) {
            const bool isPlain = static_cast<double>(*rc::gen::inRange(0, 100)) < plainShare * 100;
            const QuotaUnits cost = isPlain ? plainCost : QuotaUnits(*rc::gen::inRange(500, 13'000));
            const auto host = static_cast<std::size_t>(*rc::gen::inRange(0, busyHosts));
            // Single plain calls would take most of the time of this test.
            for (int copy = 0; copy < (isPlain ? 10 : 1); ++copy) {
                fleet.call(host, cost, isPlain, now);
                due -= static_cast<double>(cost.value());
            }
        }
        for (int host = 0; host < hosts; ++host) {
            if ((step + host) % 50 == 0) {
                fleet.report(static_cast<std::size_t>(host), now);
            }
        }
    }
    const double limit = (perSecond * 8 + burst) * (1 + overshoot) + static_cast<double>(slack.value());
    // A call that is larger than the bucket is admitted when it is full.
    RC_ASSERT(static_cast<double>(fleet.admitted.most()) <= limit);
}

// Guards against a quota that is not used up while there are callers for it.
TEST(QuotaLedger, GivesTheWholeQuotaUnderSteadyExcess)
{
    for (const double perSecond : {29'000.0, 216'000.0}) {
        const WorkspaceTable table = tableWith(perSecond, perSecond);
        QuotaLedger ledger(optionsOf());
        ledger.setWorkspaces(&table, start);
        Admitted admitted;
        const Duration length = 60s;
        for (Instant now = start; now < start + length; now += 10ms) {
            for (int call = 0; call < 8; ++call) {
                if (ledger.take(workspace, QuotaUnits(8000 + call * 37), now) == 0ms) {
                    admitted.add(now, 8000 + call * 37);
                }
            }
        }
        EXPECT_GE(static_cast<double>(admitted.total()), 0.95 * perSecond * 60);
    }
}

// Guards against refusals of a workspace that keeps within its rate and burst.
RC_GTEST_PROP(QuotaLedger, NeverRefusesWithinTheQuota, ())
{
    const double perSecond = *rc::gen::element(29'000.0, 216'000.0);
    const WorkspaceTable table = tableWith(perSecond, perSecond);
    QuotaLedger ledger(optionsOf(true));
    ledger.setWorkspaces(&table, start);
    double credit = perSecond;
    Instant now = start;
    for (int call = 0; call < 300; ++call) {
        const Duration pause = std::chrono::milliseconds(*rc::gen::inRange(0, 300));
        now += pause;
        credit = std::min(perSecond, credit + perSecond * std::chrono::duration<double>(pause).count());
        const int cost = *rc::gen::inRange(200, 13'000);
        if (cost <= credit) {
            credit -= cost;
            RC_ASSERT(ledger.take(workspace, QuotaUnits(cost), now) == 0ms);
        }
    }
}

// Guards against refused callers who all come back for the same credit.
TEST(QuotaLedger, SpreadsRefusedCallers)
{
    const WorkspaceTable table = tableWith(10'000, 0);
    QuotaLedger ledger({window, 0, QuotaUnits(), false, 4s});
    ledger.setWorkspaces(&table, start);
    EXPECT_EQ(ledger.take(workspace, QuotaUnits(5000), start), 0ms);
    Duration last{0};
    for (int call = 0; call < 5; ++call) {
        const Duration wait = ledger.take(workspace, QuotaUnits(5000), start);
        EXPECT_GT(wait, last);
        last = wait;
    }
    for (int call = 0; call < 1000; ++call) {
        EXPECT_LE(ledger.take(workspace, QuotaUnits(5000), start), 5s); // within the time that callers have
    }
}

TEST(QuotaLedger, AdmitsACallLargerThanTheBucket)
{
    const WorkspaceTable table = tableWith(1'000, 100);
    QuotaLedger ledger({window, 0, QuotaUnits(), true, 4s});
    ledger.setWorkspaces(&table, start);
    EXPECT_EQ(ledger.take(workspace, QuotaUnits(5'000), start), 0ms);
    EXPECT_GT(ledger.take(workspace, QuotaUnits(1), start + 4s), 0ms); // it is in debt
    EXPECT_EQ(ledger.take(workspace, QuotaUnits(1), start + 5s), 0ms);
}

TEST(QuotaLedger, FollowsALoweredQuotaAndForgetsARemovedOne)
{
    const WorkspaceTable high = tableWith(10'000, 10'000);
    const WorkspaceTable low = tableWith(100, 100);
    QuotaLedger ledger({window, 0, QuotaUnits(), true, 4s});
    ledger.setWorkspaces(&high, start);
    ledger.setWorkspaces(&low, start);
    EXPECT_EQ(ledger.take(workspace, QuotaUnits(100), start), 0ms);
    EXPECT_GT(ledger.take(workspace, QuotaUnits(100), start), 0ms);
    ledger.setWorkspaces(nullptr, start);
    EXPECT_FALSE(ledger.isLimited(workspace));
    EXPECT_EQ(ledger.take(workspace, QuotaUnits(1'000'000), start), 0ms);
}

TEST(QuotaLedger, GivesBackWhatDidNotRunUpToTheBucket)
{
    const WorkspaceTable table = tableWith(1'000, 1'000);
    QuotaLedger ledger({window, 0, QuotaUnits(), true, 4s});
    ledger.setWorkspaces(&table, start);
    EXPECT_EQ(ledger.take(workspace, QuotaUnits(1'000), start), 0ms);
    ledger.add(workspace, QuotaUnits(-5'000), start);
    EXPECT_EQ(ledger.take(workspace, QuotaUnits(1'000), start), 0ms);
    EXPECT_GT(ledger.take(workspace, QuotaUnits(1'000), start), 0ms);
}

TEST(QuotaLedger, GivesOnlyItsPart)
{
    const WorkspaceTable table = tableWith(1'000, 1'000);
    QuotaLedger ledger({window, 0, QuotaUnits(), true, 4s});
    ledger.setWorkspaces(&table, start);
    ledger.setShare(0.1, start);
    EXPECT_EQ(ledger.take(workspace, QuotaUnits(100), start), 0ms);
    EXPECT_GT(ledger.take(workspace, QuotaUnits(100), start), 0ms);
    EXPECT_EQ(ledger.take(workspace, QuotaUnits(100), start + 1s), 0ms);
    ledger.setShare(0, start + 1s);
    EXPECT_GT(ledger.take(workspace, QuotaUnits(1), start + 1h), 0ms);
}

TEST(QuotaOverdraft, IsBoundedBetweenReports)
{
    QuotaOverdraft overdraft;
    EXPECT_FALSE(overdraft.take(workspace, plainCost, start)); // nothing is known yet
    overdraft.setLimit(QuotaUnits(450));
    EXPECT_TRUE(overdraft.take(workspace, plainCost, start));
    EXPECT_TRUE(overdraft.take(workspace, plainCost, start));
    EXPECT_FALSE(overdraft.take(workspace, plainCost, start));
    overdraft.refund(workspace, plainCost);
    EXPECT_FALSE(overdraft.take(workspace, plainCost, start));
    EXPECT_EQ(overdraft.takeReport(), (QuotaOverdraft::Report{{workspace, plainCost}}));
    EXPECT_TRUE(overdraft.takeReport().empty());
    overdraft.suspend(workspace, 2s, start);
    EXPECT_FALSE(overdraft.take(workspace, plainCost, start + 1s));
    EXPECT_EQ(overdraft.suspendedFor(workspace, start + 1s), 1s);
    EXPECT_TRUE(overdraft.take(workspace, plainCost, start + 2s));
}

// Guards against calls that no host accounts for, because they were reported to a leader that was lost.
TEST(QuotaOverdraft, RepeatsTheLastReportToTheNextLeader)
{
    QuotaOverdraft overdraft;
    overdraft.setLimit(QuotaUnits(1000));
    EXPECT_TRUE(overdraft.take(workspace, plainCost, start));
    overdraft.takeReport();
    EXPECT_TRUE(overdraft.take(workspace, QuotaUnits(300), start));
    overdraft.repeatReport();
    EXPECT_EQ(overdraft.takeReport(), (QuotaOverdraft::Report{{workspace, QuotaUnits(500)}}));
}

} // namespace
} // namespace fescuesill
