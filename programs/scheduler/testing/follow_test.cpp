#include "programs/scheduler/peerduty.h"
#include "programs/scheduler/testing/smalldeclaration.h"
#include "wire/testing/loopback.h"

#include <gtest/gtest.h>

#include <atomic>

namespace fescuesill
{
namespace
{

namespace asio = boost::asio;

TableConfig configOf(std::int64_t version)
{
    ConfigRecord record;
    record.version = ConfigVersion(version);
    record.changeId = "change-" + std::to_string(version);
    record.text = smallDeclaration;
    return TableConfig{record};
}

std::unique_ptr<PeerDuty> startScheduler(const std::string &address)
{
    PeerDuty::Options options;
    options.host = HostId("a");
    options.dataCentre = DataCentreId("athens");
    options.address = address;
    options.membership.period = 100ms;
    options.news = 50ms;
    auto made = PeerDuty::create(options, [](DirectorEvent &&) { return true; }).value();
    made->start();
    return made;
}

// An entry's end of one link; counts the news that come over it.
struct FakeEntry {
    explicit FakeEntry(const std::string &scheduler)
    {
        PeerNode::Handlers handlers;
        handlers.opened = [this](LinkId) {
            this->isOpen = true;
        };
        handlers.received = [this](LinkId, const peer::Message &message) {
            this->news += std::holds_alternative<peer::AllCells>(message) ? 1 : 0;
            this->other += std::holds_alternative<peer::AllCells>(message) ? 0 : 1;
        };
        handlers.closed = [](LinkId) {
        };
        this->node = PeerNode::create({}, std::move(handlers)).value();
        this->link = this->node->connect(scheduler);
        this->node->start();
        EXPECT_TRUE(eventually([this] { return this->isOpen.load(); }));
        this->say(peer::Hello{HostId("e"), DataCentreId("athens"), true});
    }
    void say(const peer::Message &message)
    {
        this->node->send(this->link, message);
    }

    std::atomic<bool> isOpen{false};
    std::atomic<int> news{0};
    std::atomic<int> other{0};
    LinkId link{};
    std::unique_ptr<PeerNode> node;
};

// 48 owners tell the news of 48 cells to every entry that is linked to them, each second: megabytes from each. Only who
// asks for the news gets them, and only until it asks no more.
TEST(Follow, OnlyAFollowerGetsTheNews)
{
    const std::string address = freeAddress();
    auto scheduler = startScheduler(address);
    scheduler->push(configOf(1));
    FakeEntry follower(address);
    FakeEntry user(address);
    follower.say(peer::Follow{true});
    ASSERT_TRUE(eventually([&] { return follower.news > 5 && follower.other > 5; }));
    EXPECT_EQ(user.news + user.other, 0);
    user.say(peer::Follow{true});
    ASSERT_TRUE(eventually([&] { return user.news > 0; }));
    EXPECT_EQ(scheduler->status().links, 2U);
    follower.say(peer::Follow{false});
    ASSERT_TRUE(eventually([&] { return scheduler->status().followers == 1; }));
}

// The table fails right after a change, at a fleet whose cells make more news than the probes carry. The version must
// not wait behind them: it is the urgent fact of membership.
TEST(Follow, TheVersionIsTheUrgentFact)
{
    const std::string address = freeAddress();
    const std::string other = freeAddress();
    asio::io_context context;
    bool isUrgent = false;
    auto socket = ProbeSocket::create(context, other, [&isUrgent](const ProbeMessage &probe) {
        for (const Fact &fact : probe.facts) {
            isUrgent = isUrgent || (fact.name == "config" && fact.urgent);
        }
    });
    ASSERT_TRUE(socket);
    auto scheduler = startScheduler(address);
    HostList list;
    list.hosts.emplace_back();
    list.hosts.back().host = HostId("b");
    list.hosts.back().dataCentre = DataCentreId("athens");
    list.hosts.back().scheduler = other;
    scheduler->push(std::move(list));
    scheduler->push(configOf(1));
    EXPECT_TRUE(eventually([&] {
        context.poll();
        return isUrgent;
    }));
}

// One host reads a text that does not parse, which it does not pass on. If it passed on that it has read the table, no
// other host would look, and one process alone would say that the text is malformed.
TEST(Follow, AReadOfAMalformedTextIsNotPassedOn)
{
    auto scheduler = startScheduler(freeAddress());
    scheduler->push(configOf(1));
    ASSERT_TRUE(eventually([&] { return scheduler->status().tableReadAge.has_value(); }));
    TableConfig malformed = configOf(2);
    malformed.record->text = "[engine";
    scheduler->push(std::move(malformed));
    ASSERT_TRUE(eventually([&] { return scheduler->status().isDeclarationMalformed; }));
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (std::chrono::steady_clock::now() < end) {
        scheduler->push(TableUnchanged{});
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    EXPECT_FALSE(scheduler->status().tableReadAge);
}

// The one host that read a change dies right after it has told of the version, and the table fails. The fact names a
// host that is gone; a second one has the text by then. Who knows of the version must ask it too, or it stays behind
// until the table is back.
TEST(Follow, AVersionThatADeadHostToldOfIsFetchedFromAnother)
{
    const std::string behind = freeAddress();
    const std::string dead = freeAddress();
    auto scheduler = startScheduler(behind);
    scheduler->push(configOf(1));
    ASSERT_TRUE(eventually([&] { return scheduler->status().version == ConfigVersion(1); }));
    asio::io_context context;
    auto socket = ProbeSocket::create(context, dead, [](const ProbeMessage &) {});
    ASSERT_TRUE(socket);
    ProbeMessage told;
    told.from = HostId("dead");
    told.to = HostId("a");
    told.facts.push_back(Fact{"config", 2, dead, true});
    (*socket)->send(behind, told);

    PeerDuty::Options options;
    options.host = HostId("other");
    options.dataCentre = DataCentreId("athens");
    options.address = freeAddress();
    auto other = PeerDuty::create(options, [](DirectorEvent &&) { return true; }).value();
    other->start();
    other->push(configOf(2));
    HostList list;
    list.hosts.emplace_back();
    list.hosts.back().host = options.host;
    list.hosts.back().dataCentre = options.dataCentre;
    list.hosts.back().scheduler = options.address;
    scheduler->push(std::move(list));
    EXPECT_TRUE(eventually([&] {
        scheduler->push(TableFailed{});
        return scheduler->status().version == ConfigVersion(2);
    }));
}

} // namespace
} // namespace fescuesill
