#include "promise/membership.h"

#include "promise/cellowner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>

namespace fescuesill
{
namespace
{

constexpr Duration tickLength = 50ms;
constexpr Duration delay = 5ms;

// Simulates hosts and their messages in virtual time. A host that is down neither sends nor receives.
class Fleet
{
public:
    Fleet(int size, std::uint64_t seed, double loss = 0)
        : random(seed)
        , loss(loss)
    {
        std::vector<MemberInfo> all;
        all.reserve(size);
        for (int i = 0; i < size; ++i) {
            all.push_back({this->hostOf(i), DataCentreId(i % 3 == 0 ? "athens" : "piraeus"), "10.0.0.1:7000",
                           MemberState::Alive, 1});
        }
        for (int i = 0; i < size; ++i) {
            this->hosts.push_back(std::make_unique<Membership>(all[i], Membership::Options{}, seed + i, this->now));
            this->hosts.back()->onHostList(all, this->now);
        }
    }

    HostId hostOf(int i) const
    {
        return HostId("host-" + std::to_string(i));
    }

    void run(Duration length)
    {
        for (const Instant end = this->now + length; this->now < end; this->now += tickLength) {
            std::vector<ProbeMessage> batch;
            for (std::size_t i = 0; i < this->hosts.size(); ++i) {
                if (this->down.count(static_cast<int>(i)) == 0) {
                    this->append(batch, this->hosts[i]->tick(this->now));
                }
            }
            for (std::size_t at = 0; at < batch.size(); ++at) {
                this->deliver(ProbeMessage(batch[at]), batch);
            }
        }
    }

    int indexOf(const HostId &host) const
    {
        return std::stoi(host.value().substr(5));
    }

    std::vector<std::unique_ptr<Membership>> hosts;
    std::set<int> down;
    std::set<int> island; // partitioned: exchanges messages only within itself
    Instant now{1000s};
    std::int64_t bytes = 0;
    std::int64_t messages = 0;

private:
    void append(std::vector<ProbeMessage> &batch, std::vector<ProbeMessage> out)
    {
        for (ProbeMessage &message : out) {
            this->bytes += static_cast<std::int64_t>(sizeOf(message));
            ++this->messages;
            batch.push_back(std::move(message));
        }
    }
    void deliver(const ProbeMessage &message, std::vector<ProbeMessage> &batch)
    {
        const int from = this->indexOf(message.from);
        const int to = this->indexOf(message.to);
        const bool cut = this->island.count(from) != this->island.count(to);
        const bool lost = std::uniform_real_distribution<double>(0, 1)(this->random) < this->loss;
        if (this->down.count(to) == 0 && !cut && !lost) {
            this->append(batch, this->hosts[to]->onMessage(message, this->now + delay));
        }
    }

    std::mt19937_64 random;
    double loss;
};

// The number of live hosts that `at` sees, itself not included.
int aliveFor(const Membership &at)
{
    const std::vector<MemberInfo> members = at.members();
    return static_cast<int>(std::count_if(members.begin(), members.end(),
                                          [](const MemberInfo &info) { return info.state == MemberState::Alive; }))
        - 1;
}

MemberState stateAt(const Membership &at, const HostId &of)
{
    for (const MemberInfo &info : at.members()) {
        if (info.host == of) {
            return info.state;
        }
    }
    return MemberState::Dead;
}

TEST(Membership, HostsDiscoverEachOtherAndStayAlive)
{
    Fleet fleet(9, 1, 0.05);
    fleet.run(30s);
    for (const auto &host : fleet.hosts) {
        EXPECT_EQ(aliveFor(*host), 8);
    }
}

TEST(Membership, ADeadHostIsDeadForAllWithinTenSecondsAndNobodyElse)
{
    Fleet fleet(9, 2);
    fleet.run(10s);
    fleet.down.insert(4);
    fleet.run(20s);
    for (int i = 0; i < 9; ++i) {
        if (i != 4) {
            EXPECT_EQ(stateAt(*fleet.hosts[i], fleet.hostOf(4)), MemberState::Dead) << i;
            EXPECT_EQ(aliveFor(*fleet.hosts[i]), 7) << i;
        }
    }
}

// A process is suspended for half a minute and all others declare it dead. When it resumes it must become alive again
// and must not declare others dead.
TEST(Membership, ASuspendedHostBecomesAliveAgain)
{
    Fleet fleet(9, 3);
    fleet.run(10s);
    fleet.down.insert(4);
    fleet.run(30s);
    fleet.down.clear();
    fleet.run(30s);
    for (const auto &host : fleet.hosts) {
        EXPECT_EQ(aliveFor(*host), 8) << host->self().host;
    }
}

TEST(Membership, TwoSidesOfAHealedPartitionFindEachOther)
{
    Fleet fleet(9, 4);
    fleet.run(10s);
    fleet.island = {0, 1, 2};
    fleet.run(120s);
    EXPECT_EQ(aliveFor(*fleet.hosts[0]), 2);
    EXPECT_EQ(aliveFor(*fleet.hosts[5]), 5);
    EXPECT_LE(fleet.hosts[0]->reach().answered, 2);
    EXPECT_GE(fleet.hosts[5]->reach().answered, 5);
    fleet.island.clear();
    fleet.run(40s);
    for (const auto &host : fleet.hosts) {
        EXPECT_EQ(aliveFor(*host), 8) << host->self().host;
    }
}

TEST(Membership, ALeavingHostOwnsNoCellWithinSeconds)
{
    Fleet fleet(9, 5);
    fleet.run(10s);
    fleet.hosts[3]->leave();
    fleet.run(5s);
    for (const auto &host : fleet.hosts) {
        const std::vector<HostId> owners = host->owners(DataCentreId("athens"));
        EXPECT_EQ(owners.size(), 2U);
        EXPECT_EQ(std::count(owners.begin(), owners.end(), fleet.hostOf(3)), 0);
    }
}

TEST(Membership, TheNewestFactReachesAll)
{
    Fleet fleet(9, 6, 0.1);
    fleet.run(5s);
    for (int version = 1; version <= 5; ++version) {
        fleet.hosts[2]->publish("config/version", version, std::to_string(version), fleet.now);
        fleet.run(1s);
    }
    fleet.run(10s);
    for (const auto &host : fleet.hosts) {
        ASSERT_EQ(host->facts().size(), 1U);
        EXPECT_EQ(host->facts().front().version, 5U);
    }
}

// The fleet size expected in two years, with 48 cells that publish every five seconds: what a host sends must stay
// below the budget, which does not depend on the fleet size.
TEST(Membership, StaysInItsBudgetAt340Hosts)
{
    Fleet fleet(340, 7);
    fleet.run(5s);
    fleet.bytes = 0;
    for (int round = 1; round <= 4; ++round) {
        for (int cell = 0; cell < 48; ++cell) {
            fleet.hosts[cell]->publish("cell/" + std::to_string(cell), round, std::string(24, 'x'), fleet.now);
        }
        fleet.run(5s);
    }
    const std::int64_t sentBytesPerHostAndSecond = fleet.bytes / 340 / 20;
    RecordProperty("bytes_per_host_and_second", static_cast<int>(sentBytesPerHostAndSecond));
    EXPECT_LT(sentBytesPerHostAndSecond, 1000); // and as much received
    for (const auto &host : fleet.hosts) {
        EXPECT_EQ(aliveFor(*host), 339);
    }
}

// The platform's table fails right after a change was accepted, and the hosts that have read it must announce it to the
// others. The summaries of 48 cells, new every second, fill every message. Without reserved room the version of the
// declaration would queue behind them, and hosts would use the old declaration for minutes.
TEST(Membership, AnUrgentFactOvertakesTheSummariesOf48Cells)
{
    for (const int size : {9, 36, 340}) {
        Fleet fleet(size, 11, 0.05);
        int round = 0;
        const auto runSeconds = [&](int seconds) {
            for (int second = 0; second < seconds; ++second) {
                ++round;
                for (int cell = 0; cell < 48; ++cell) {
                    fleet.hosts[cell % size]->publish("cell/" + std::to_string(cell), round, std::string(24, 'x'),
                                                      fleet.now);
                }
                fleet.run(1s);
            }
        };
        runSeconds(20);
        fleet.hosts[0]->publishUrgent("config", 7, "10.0.0.1:7000", fleet.now);
        runSeconds(3);
        for (const auto &host : fleet.hosts) {
            const auto facts = host->facts();
            const auto isConfig = [](const Fact &fact) {
                return fact.name == "config" && fact.version == 7;
            };
            EXPECT_EQ(std::count_if(facts.begin(), facts.end(), isConfig), 1) << size << " " << host->self().host;
        }
    }
}

TEST(CellOwner, OnlyTheCellsOfALeavingHostMove)
{
    std::vector<HostId> hosts;
    hosts.reserve(9);
    for (int i = 0; i < 9; ++i) {
        hosts.emplace_back("host-" + std::to_string(i));
    }
    std::map<HostId, int> owned;
    for (int i = 0; i < 900; ++i) {
        const CellId cell{ModelId("m" + std::to_string(i)), DataCentreId("athens")};
        const HostId owner = *cellOwner(cell, hosts);
        ++owned[owner];
        std::vector<HostId> fewer(hosts.rbegin(), hosts.rend());
        fewer.erase(std::find(fewer.begin(), fewer.end(), HostId("host-4")));
        if (owner != HostId("host-4")) {
            EXPECT_EQ(cellOwner(cell, fewer), owner);
        }
    }
    for (const auto &[host, cells] : owned) {
        EXPECT_GT(cells, 60) << host;
        EXPECT_LT(cells, 140) << host;
    }
    EXPECT_FALSE(cellOwner({ModelId("m"), DataCentreId("athens")}, {}));
}

} // namespace
} // namespace fescuesill
