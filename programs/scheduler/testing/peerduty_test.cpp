#include "programs/scheduler/peerduty.h"
#include "programs/scheduler/testing/smalldeclaration.h"
#include "wire/testing/loopback.h"

#include <gtest/gtest.h>

#include <thread>

namespace fescuesill
{
namespace
{

ConfigRecord recordOf(std::int64_t version)
{
    ConfigRecord record;
    record.version = ConfigVersion(version);
    record.author = "test";
    record.changeId = "change-" + std::to_string(version);
    record.text = smallDeclaration;
    return record;
}

std::unique_ptr<PeerDuty> startHost(const std::string &name, const std::string &address,
                                    const std::vector<std::string> &seeds)
{
    PeerDuty::Options options;
    options.host = HostId(name);
    options.dataCentre = DataCentreId("athens");
    options.address = address;
    options.seeds = seeds;
    options.membership.period = 100ms;
    options.membership.ackWait = 50ms;
    options.config.startWait = 500ms;
    auto made = PeerDuty::create(options, [](DirectorEvent &&) { return true; }).value();
    made->start();
    return made;
}

HostList listOf(const std::vector<std::pair<std::string, std::string>> &hosts)
{
    HostList list;
    for (const auto &[name, address] : hosts) {
        PlatformHost host;
        host.host = HostId(name);
        host.dataCentre = DataCentreId("athens");
        host.scheduler = address;
        list.hosts.push_back(host);
    }
    return list;
}

// A change is accepted while one host cannot reach the table. That host hears of the higher version on a probe, fetches
// it from a peer, and has it in force; without that it would go on with the old text until the table is back.
TEST(PeerDuty, AHostThatCannotReachTheTableGetsTheVersionFromAPeer)
{
    const std::string first = freeAddress();
    const std::string second = freeAddress();
    auto reads = startHost("a", first, {});
    auto cutOff = startHost("b", second, {});
    reads->push(listOf({{"a", first}, {"b", second}}));
    cutOff->push(listOf({{"a", first}, {"b", second}}));
    reads->push(TableConfig{recordOf(1)});
    cutOff->push(TableConfig{recordOf(1)});
    ASSERT_TRUE(eventually([&] { return cutOff->status().version == ConfigVersion(1); }));
    reads->push(TableConfig{recordOf(2)});
    cutOff->push(TableFailed{});
    EXPECT_TRUE(eventually([&] { return cutOff->status().version == ConfigVersion(2); }));
    EXPECT_EQ(reads->status().version, ConfigVersion(2));
}

// The platform is down and a host is replaced. The new one knows only the addresses in its settings; it learns the
// hosts and the highest version from them, and serves.
TEST(PeerDuty, AHostThatStartsWhileThePlatformIsDownLearnsFromItsSeeds)
{
    const std::string first = freeAddress();
    const std::string second = freeAddress();
    auto runs = startHost("a", first, {});
    runs->push(listOf({{"a", first}}));
    runs->push(TableConfig{recordOf(3)});
    ASSERT_TRUE(eventually([&] { return runs->status().service == ConfigService::Serving; }));
    auto starts = startHost("b", second, {first});
    starts->push(TableFailed{});
    EXPECT_TRUE(eventually([&] {
        starts->push(TableFailed{});
        return starts->status().service == ConfigService::Serving;
    }));
    EXPECT_EQ(starts->status().version, ConfigVersion(3));
    EXPECT_EQ(starts->status().members.size(), 2U);
}

// All hosts start together while the platform is down: the seed that a host asks is not up yet, and was asked once
// only. The host then knew nobody for good. It must ask again until somebody answers.
TEST(PeerDuty, ASeedThatIsNotUpYetIsAskedAgain)
{
    const std::string first = freeAddress();
    const std::string second = freeAddress();
    auto early = startHost("b", second, {first});
    early->push(TableFailed{});
    constexpr auto longerThanAFetch = std::chrono::milliseconds(2500);
    std::this_thread::sleep_for(longerThanAFetch);
    auto late = startHost("a", first, {});
    late->push(listOf({{"a", first}}));
    late->push(TableConfig{recordOf(3)});
    EXPECT_TRUE(eventually([&] {
        early->push(TableFailed{});
        return early->status().version == ConfigVersion(3);
    }));
}

// A late reply of the table, or one restored from an old copy, brings a lower version. What is in force stays.
TEST(PeerDuty, ALowerVersionIsNeverPutInForce)
{
    const std::string first = freeAddress();
    auto host = startHost("a", first, {});
    host->push(TableConfig{recordOf(5)});
    ASSERT_TRUE(eventually([&] { return host->status().version == ConfigVersion(5); }));
    host->push(TableConfig{recordOf(4)});
    host->push(TableConfig{recordOf(6)});
    ASSERT_TRUE(eventually([&] { return host->status().version == ConfigVersion(6); }));
}

// A text that does not parse reaches the table past the operator's tool. The fleet must not lose its services, and must
// not say that this version is in force.
TEST(PeerDuty, AMalformedDeclarationIsNotInForce)
{
    auto host = startHost("a", freeAddress(), {});
    host->push(TableConfig{recordOf(1)});
    ASSERT_TRUE(eventually([&] { return !host->status().cells.empty(); }));
    ConfigRecord malformed = recordOf(2);
    malformed.text = "[engine";
    host->push(TableConfig{malformed});
    ASSERT_TRUE(eventually([&] { return host->status().isDeclarationMalformed; }));
    EXPECT_EQ(host->status().version, ConfigVersion(1));
    EXPECT_FALSE(host->status().cells.empty());
    host->push(TableConfig{recordOf(3)});
    ASSERT_TRUE(eventually([&] { return host->status().version == ConfigVersion(3); }));
    EXPECT_FALSE(host->status().isDeclarationMalformed);
}

// A host leaves as planned: the other takes its cells over at once, without waiting for it to be found dead.
TEST(PeerDuty, TheCellsOfALeavingHostGoToTheOther)
{
    const std::string first = freeAddress();
    const std::string second = freeAddress();
    auto a = startHost("a", first, {});
    auto b = startHost("b", second, {});
    for (PeerDuty *host : {a.get(), b.get()}) {
        host->push(listOf({{"a", first}, {"b", second}}));
        host->push(TableConfig{recordOf(1)});
    }
    const auto ownedBy = [&](const char *name) {
        const auto isOwner = [name](const PeerStatus &status) {
            return !status.cells.empty() && status.cells.front().owner == HostId(name);
        };
        return isOwner(a->status()) && isOwner(b->status());
    };
    ASSERT_TRUE(eventually([&] { return ownedBy("a") || ownedBy("b"); }));
    const bool wasA = ownedBy("a");
    (wasA ? a : b)->push(LeaveFleet{});
    EXPECT_TRUE(eventually([&] { return ownedBy(wasA ? "b" : "a"); }));
}

} // namespace
} // namespace fescuesill
