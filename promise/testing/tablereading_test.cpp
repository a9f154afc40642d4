#include "promise/tablereading.h"

#include "promise/membership.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <set>
#include <utility>

namespace fescuesill
{
namespace
{

const Instant start{1000s};
const TableReading::Situation mayRely{false, true, true, false};

TEST(TableReading, RelyingOnOtherHostsDependsOnTheSituation)
{
    struct Case {
        const char *what;
        TableReading::Situation situation;
        bool isDue;
    };
    const Case cases[] = {
        {"knows of a recent read", mayRely, false},
        {"a reader", {true, true, true, false}, true},
        {"not serving: learning or cut off", {false, false, true, false}, true},
        {"reaches no majority", {false, true, false, false}, true},
        {"knows of a higher version", {false, true, true, true}, true},
    };
    for (const Case &one : cases) {
        TableReading reading({});
        EXPECT_TRUE(reading.isDue(mayRely, start));
        reading.onPeerReadAge(1s, start);
        EXPECT_EQ(reading.isDue(one.situation, start + 1s), one.isDue) << one.what;
        EXPECT_TRUE(reading.isDue(one.situation, start + 3s)) << one.what;
    }
}

TEST(TableReading, ReportsTheLowestAgeUntilItIsStale)
{
    TableReading reading({});
    EXPECT_FALSE(reading.age(start));
    reading.onPeerReadAge(1s, start);
    reading.onPeerReadAge(2s, start);
    EXPECT_EQ(reading.age(start + 1s), Duration(2s));
    reading.onPeerReadAge(Duration(-5s), start + 1s);
    EXPECT_EQ(reading.age(start + 1s), Duration(0));
    reading.onRead(start + 2s);
    EXPECT_EQ(reading.age(start + 4s), Duration(2s));
    EXPECT_FALSE(reading.age(start + 5s));
}

// The table refuses calls because it is overloaded. If every host then read it once a second, it would not recover.
TEST(TableReading, AHostThatIsNotAReaderPausesAfterAFailedRead)
{
    TableReading reading({});
    reading.onFailed(start);
    EXPECT_FALSE(reading.isDue(mayRely, start + 3s));
    EXPECT_TRUE(reading.isDue(mayRely, start + 4s));
    EXPECT_TRUE(reading.isDue({true, true, true, false}, start + 1s));
}

TEST(TableReading, AFewHostsOfEachDataCentreAreReaders)
{
    std::vector<HostId> hosts;
    hosts.reserve(57);
    for (int i = 0; i < 57; ++i) {
        hosts.emplace_back("host-" + std::to_string(i));
    }
    const auto readersOf = [](const std::vector<HostId> &all) {
        std::set<HostId> readers;
        for (const HostId &host : all) {
            if (isTableReader(host, all, 3)) {
                readers.insert(host);
            }
        }
        return readers;
    };
    const std::set<HostId> before = readersOf(hosts);
    ASSERT_EQ(before.size(), 3U);
    hosts.erase(std::find(hosts.begin(), hosts.end(), *before.begin()));
    const std::set<HostId> after = readersOf(hosts);
    ASSERT_EQ(after.size(), 3U);
    EXPECT_EQ(std::count_if(before.begin(), before.end(), [&](const HostId &one) { return after.count(one) != 0; }), 2);
    EXPECT_EQ(readersOf({hosts[0], hosts[1]}).size(), 2U);
}

constexpr Duration tickLength = 50ms;
constexpr int dataCentres = 6;

// Simulates hosts with membership, table reading and a configuration in virtual time. Each host may read the table
// every 1.2 s, the longest pause between reads in the scheduler. A message takes one tick.
class ReadingFleet
{
public:
    struct Host {
        std::unique_ptr<Membership> membership;
        ConfigStore store;
        TableReading reading;
        Instant nextRead;
        bool isReader = false;
    };

    explicit ReadingFleet(int size)
    {
        std::vector<MemberInfo> all;
        all.reserve(size);
        for (int i = 0; i < size; ++i) {
            all.push_back({hostOf(i), DataCentreId("dc-" + std::to_string(i % dataCentres)), "10.0.0.1:7000",
                           MemberState::Alive, 1});
        }
        for (int i = 0; i < size; ++i) {
            auto membership = std::make_unique<Membership>(all[i], Membership::Options{}, i + 1, this->now);
            membership->onHostList(all, this->now);
            this->hosts.push_back(
                {std::move(membership), ConfigStore({}, this->now), TableReading({}), this->now + 1200ms * i / size});
        }
        this->run(10s);
    }

    void run(Duration length)
    {
        for (const Instant end = this->now + length; this->now < end; this->now += tickLength) {
            const auto arrived = std::exchange(this->inFlight, {});
            for (const ProbeMessage &message : arrived) {
                const int to = indexOf(message.to);
                if (this->down.count(to) == 0) {
                    this->take(to, message);
                }
            }
            for (int i = 0; i < static_cast<int>(this->hosts.size()); ++i) {
                if (this->down.count(i) == 0) {
                    this->tick(i);
                }
            }
        }
    }

    // Time until every live host has the version, to the tick; none if it takes more than a minute.
    std::optional<Duration> runUntilInForce(std::int64_t version)
    {
        const Instant since = this->now;
        while (this->now - since < 60s) {
            this->run(tickLength);
            bool isEverywhere = true;
            for (int i = 0; i < static_cast<int>(this->hosts.size()); ++i) {
                const bool has = this->hosts[i].store.version() == ConfigVersion(version);
                isEverywhere = isEverywhere && (has || this->down.count(i) != 0);
            }
            if (isEverywhere) {
                return this->now - since;
            }
        }
        return std::nullopt;
    }

    std::set<int> readers() const
    {
        std::set<int> found;
        for (int i = 0; i < static_cast<int>(this->hosts.size()); ++i) {
            if (this->hosts[i].isReader) {
                found.insert(i);
            }
        }
        return found;
    }

    std::vector<Host> hosts;
    std::set<int> down; // dead or frozen
    std::set<int> cutFromTable;
    bool isTableDown = false;
    std::int64_t tableVersion = 1;
    int reads = 0;
    Instant now = start;

private:
    static HostId hostOf(int i)
    {
        return HostId("host-" + std::to_string(i));
    }
    static int indexOf(const HostId &host)
    {
        return std::stoi(host.value().substr(5));
    }

    void send(int from, std::vector<ProbeMessage> messages)
    {
        for (ProbeMessage &message : messages) {
            message.tableReadAge = this->hosts[from].reading.age(this->now);
            this->inFlight.push_back(std::move(message));
        }
    }

    void take(int at, const ProbeMessage &message)
    {
        Host &host = this->hosts[at];
        auto answers = host.membership->onMessage(message, this->now);
        if (message.tableReadAge) {
            host.reading.onPeerReadAge(*message.tableReadAge, this->now);
        }
        this->send(at, std::move(answers));
    }

    void tick(int at)
    {
        Host &host = this->hosts[at];
        this->send(at, host.membership->tick(this->now));
        host.store.onReach(host.membership->reach(), this->now);
        this->fetch(host);
        TableReading::Situation situation;
        situation.isReader = host.isReader =
            isTableReader(hostOf(at), host.membership->owners(host.membership->self().dataCentre), 3);
        situation.isServing = host.store.service(this->now) == ConfigService::Serving;
        situation.reachesMajority = host.membership->reach().isMajority();
        situation.isBehind = host.store.wanted().has_value();
        if (this->now >= host.nextRead) {
            host.nextRead = this->now + 1200ms;
            if (host.reading.isDue(situation, this->now)) {
                this->read(at, host);
            }
        }
    }

    // Fetches the record from the host named in the fact, which was the first to have the version.
    void fetch(Host &host)
    {
        for (const Fact &fact : host.membership->facts()) {
            const auto version = static_cast<std::int64_t>(fact.version);
            const bool isThere = this->down.count(indexOf(HostId(fact.bytes))) == 0;
            if (isThere) {
                host.store.onPeerRecord(HostId(fact.bytes), recordOf(version), this->now);
            } else {
                host.store.onPeerVersion(HostId("other"), ConfigVersion(version), this->now);
            }
        }
    }

    void read(int at, Host &host)
    {
        ++this->reads;
        if (this->isTableDown || this->cutFromTable.count(at) != 0) {
            host.store.onTableFailed(this->now);
            host.reading.onFailed(this->now);
            return;
        }
        if (host.store.onTableRead(recordOf(this->tableVersion), this->now)) {
            host.membership->publishUrgent("config", this->tableVersion, hostOf(at).value(), this->now);
        }
        host.reading.onRead(this->now);
    }

    static ConfigRecord recordOf(std::int64_t version)
    {
        return {ConfigVersion(version), "eleni", "why", "change-" + std::to_string(version), "text"};
    }

    std::vector<ProbeMessage> inFlight;
};

constexpr Duration maxPropagationTime = 6s;

// If each of 340 hosts read the table once a second, the reads would take a sixth of its total capacity.
TEST(ReadingFleet, AFewHostsReadForAll)
{
    ReadingFleet fleet(340);
    EXPECT_EQ(fleet.readers().size(), 18U);
    fleet.reads = 0;
    fleet.run(20s);
    std::printf("reads of the version a second at 340 hosts: %.1f\n", fleet.reads / 20.0);
    EXPECT_LT(fleet.reads / 20, 60);
    fleet.tableVersion = 2;
    const auto took = fleet.runUntilInForce(2);
    ASSERT_TRUE(took);
    std::printf("in force everywhere after %.2f s\n", std::chrono::duration<double>(*took).count());
    EXPECT_LE(*took, maxPropagationTime);
}

// The readers fail at the moment at which a change is accepted, while all other hosts rely on them. The change must
// still be in force within six seconds on every host that can receive it.
TEST(ReadingFleet, AChangeIsInForceInTimeWhenTheReadersFail)
{
    struct Case {
        const char *what;
        void (*injectFault)(ReadingFleet &fleet);
    };
    const Case cases[] = {
        {"all readers die or freeze",
         [](ReadingFleet &fleet) {
             fleet.down = fleet.readers();
         }},
        {"all readers are cut off from the table",
         [](ReadingFleet &fleet) {
             fleet.cutFromTable = fleet.readers();
         }},
        {"only the readers reach the table",
         [](ReadingFleet &fleet) {
             for (int i = 0; i < static_cast<int>(fleet.hosts.size()); ++i) {
                 fleet.cutFromTable.insert(i);
             }
             for (const int reader : fleet.readers()) {
                 fleet.cutFromTable.erase(reader);
             }
         }},
        {"only one reader reaches the table",
         [](ReadingFleet &fleet) {
             for (int i = 0; i < static_cast<int>(fleet.hosts.size()); ++i) {
                 fleet.cutFromTable.insert(i);
             }
             fleet.cutFromTable.erase(*fleet.readers().begin());
         }},
    };
    for (const int size : {36, 120}) {
        for (const Case &one : cases) {
            ReadingFleet fleet(size);
            one.injectFault(fleet);
            fleet.tableVersion = 2;
            const auto took = fleet.runUntilInForce(2);
            ASSERT_TRUE(took) << size << " " << one.what;
            std::printf("%d hosts, %s: %.2f s\n", size, one.what, std::chrono::duration<double>(*took).count());
            EXPECT_LE(*took, maxPropagationTime) << size << " " << one.what;
        }
    }
}

// The table fails immediately after the first reader has read the change. The other hosts must receive it from that
// reader.
TEST(ReadingFleet, ATableOutageRightAfterAChangeDoesNotDelayIt)
{
    for (const int size : {36, 120}) {
        ReadingFleet fleet(size);
        fleet.tableVersion = 2;
        const auto hasIt = [&fleet] {
            return std::any_of(fleet.hosts.begin(), fleet.hosts.end(),
                               [](const auto &host) { return host.store.version() == ConfigVersion(2); });
        };
        while (!hasIt()) {
            fleet.run(tickLength);
        }
        fleet.isTableDown = true;
        const auto took = fleet.runUntilInForce(2);
        ASSERT_TRUE(took) << size;
        EXPECT_LE(*took, maxPropagationTime) << size;
    }
}

} // namespace
} // namespace fescuesill
