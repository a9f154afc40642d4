#include "programs/entry/linkduty.h"
#include "wire/testing/loopback.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <mutex>

namespace fescuesill
{
namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

const CellId motor{ModelId("motor"), DataCentreId("athens")};
const RequestId request{"r"};

// A scheduler that counts what entries say, by kind of message.
class FakeScheduler
{
public:
    explicit FakeScheduler(const std::string &address = "")
        : address(address.empty() ? freeAddress() : address)
    {
        PeerNode::Handlers handlers;
        handlers.opened = [this](LinkId link) {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->links.push_back(link);
        };
        handlers.received = [this](LinkId, const peer::Message &message) {
            const std::lock_guard<std::mutex> lock(this->mutex);
            ++this->counts[message.index()];
            if (const auto *follow = std::get_if<peer::Follow>(&message)) {
                this->followed = follow->wanted;
            }
        };
        handlers.closed = [this](LinkId link) {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->links.erase(std::find(this->links.begin(), this->links.end(), link));
        };
        PeerNode::Options options;
        options.listen = this->address;
        this->node = PeerNode::create(options, std::move(handlers)).value();
        this->node->start();
    }

    template<typename Kind>
    int count()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->counts[peer::Message(Kind{}).index()];
    }
    bool isFollowed()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->followed;
    }
    std::size_t openLinks()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->links.size();
    }
    // Says that the cell `motor` is owned at this address.
    void sayOwner(const std::string &owner)
    {
        peer::CellUpdate news;
        news.cell = motor;
        news.owner = HostId("owner");
        news.ownerAddress = owner;
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const LinkId link : this->links) {
            this->node->send(link, peer::AllCells{{news}});
        }
    }

    const std::string address;

private:
    std::mutex mutex;
    std::vector<LinkId> links;
    std::map<std::size_t, int> counts;
    bool followed = false;
    std::unique_ptr<PeerNode> node;
};

// Passes bytes on to an address, until it loses track of the connections that it has: they stay open and silent for
// good, and new ones work.
class Relay
{
public:
    explicit Relay(const std::string &given)
        : target(endpointOf(given))
        , acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        this->address = "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
        this->accept();
        this->thread = std::thread([this] { this->context.run(); });
    }
    ~Relay()
    {
        this->context.stop();
        this->thread.join();
    }
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    void loseTrack()
    {
        ++this->generation;
    }

    std::string address;

private:
    struct Way {
        std::shared_ptr<tcp::socket> from;
        std::shared_ptr<tcp::socket> to;
        int generation = 0;
        std::array<char, 4096> bytes{};
    };

    void accept()
    {
        this->acceptor.async_accept([this](const boost::system::error_code &failed, tcp::socket socket) {
            if (failed) {
                return;
            }
            auto near = std::make_shared<tcp::socket>(std::move(socket));
            auto far = std::make_shared<tcp::socket>(this->context);
            far->connect(this->target);
            this->pass(std::make_shared<Way>(Way{near, far, this->generation}));
            this->pass(std::make_shared<Way>(Way{far, near, this->generation}));
            this->accept();
        });
    }

    void pass(const std::shared_ptr<Way> &way)
    {
        way->from->async_read_some(asio::buffer(way->bytes),
                                   [this, way](const boost::system::error_code &failed, std::size_t size) {
                                       if (way->generation != this->generation) {
                                           this->lost.push_back(way);
                                           return;
                                       }
                                       boost::system::error_code closed = failed;
                                       if (!failed) {
                                           asio::write(*way->to, asio::buffer(way->bytes, size), closed);
                                       }
                                       if (closed) {
                                           way->to->close(closed);
                                           return;
                                       }
                                       this->pass(way);
                                   });
    }

    asio::io_context context;
    tcp::endpoint target;
    tcp::acceptor acceptor;
    std::atomic<int> generation{0};
    std::vector<std::shared_ptr<Way>> lost; // kept open
    std::thread thread;
};

// An entry's links, its own scheduler and the loss of links that requests were told.
struct Entry {
    explicit Entry(Duration idle = 200ms)
        : own(std::make_unique<FakeScheduler>())
    {
        LinkDuty::Options options;
        options.host = HostId("entry");
        options.dataCentre = DataCentreId("athens");
        options.scheduler = this->own->address;
        options.use.idle = idle;
        options.tick = 10ms;
        this->duty = LinkDuty::create(options, this->held, [this](const LinkEvent &event) {
                         if (std::holds_alternative<OwnerLost>(event)) {
                             ++this->lost;
                         }
                     }).value();
        this->duty->start();
        EXPECT_TRUE(eventually([this] { return this->own->count<peer::Follow>() == 1; }));
    }

    std::optional<LinkId> route() const
    {
        const auto view = this->duty->view();
        const CellRoute *const found = view->findRoute(motor);
        return found == nullptr ? std::nullopt : found->owner;
    }
    bool learns(const std::string &owner)
    {
        this->own->sayOwner(owner);
        return eventually([this] { return this->route().has_value(); });
    }
    void submit()
    {
        this->duty->send(*this->route(), peer::Submit{request, motor, {}, {}, {}, {}, {}, {}});
    }

    std::unique_ptr<FakeScheduler> own;
    HeldRequests held;
    std::atomic<int> lost{0};
    std::unique_ptr<LinkDuty> duty;
};

// 48 cells, 340 entries: every entry is linked to every owner and each link has its heartbeat, used or not. It shows as
// several times the bytes that control may cost. A link is there from the first request until nothing uses it.
TEST(LinkDuty, ALinkIsOpenOnlyWhileItIsUsed)
{
    FakeScheduler owner;
    Entry entry;
    ASSERT_TRUE(entry.learns(owner.address));
    EXPECT_EQ(owner.openLinks(), 0U);
    entry.submit();
    ASSERT_TRUE(eventually([&] { return owner.count<peer::Submit>() == 1; }));
    EXPECT_EQ(owner.count<peer::Hello>(), 1);
    ASSERT_TRUE(eventually([&] { return owner.openLinks() == 0; }));
    EXPECT_TRUE(entry.route());
    entry.submit();
    ASSERT_TRUE(eventually([&] { return owner.count<peer::Submit>() == 2; }));
    EXPECT_EQ(owner.count<peer::Follow>(), 0);
    EXPECT_EQ(entry.lost, 0);
}

// Requests come as fast as the link is closed for being idle, so that a Submit is on its way in the moment of the
// close. None may be lost: its caller would wait out its patience for an owner that never heard of it.
TEST(LinkDuty, NoSubmitIsLostWhenTheLinkCloses)
{
    constexpr int requests = 100;
    FakeScheduler owner;
    Entry entry(Duration(0));
    ASSERT_TRUE(entry.learns(owner.address));
    for (int i = 0; i < requests; ++i) {
        entry.submit();
        std::this_thread::sleep_for(std::chrono::milliseconds(i % 25));
    }
    EXPECT_TRUE(eventually([&] { return owner.count<peer::Submit>() + entry.lost >= requests; }));
    EXPECT_EQ(entry.lost, 0);
    EXPECT_GT(owner.count<peer::Hello>(), 1);
}

// A request waits in the owner's queue and neither side says anything. The link must stay: an owner drops what waits on
// a link that closes.
TEST(LinkDuty, ALinkStaysOpenWhileARequestWaits)
{
    FakeScheduler owner;
    Entry entry(50ms);
    ASSERT_TRUE(entry.learns(owner.address));
    entry.held.beginUse(motor);
    entry.submit();
    ASSERT_TRUE(eventually([&] { return owner.count<peer::Submit>() == 1; }));
    constexpr auto manyTimesIdle = std::chrono::milliseconds(500);
    std::this_thread::sleep_for(manyTimesIdle);
    EXPECT_EQ(owner.openLinks(), 1U);
    entry.held.endUse(motor);
    EXPECT_TRUE(eventually([&] { return owner.openLinks() == 0; }));
}

// The owner's host takes connections and never answers, as when it is frozen or a box in between has lost track. The
// request is told soon, so that it is placed without the owner, and the owner is not offered to others meanwhile.
TEST(LinkDuty, AnOwnerThatNeverAnswersIsGivenUp)
{
    asio::io_context context;
    tcp::acceptor silent(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    Entry entry;
    ASSERT_TRUE(entry.learns("127.0.0.1:" + std::to_string(silent.local_endpoint().port())));
    entry.held.beginUse(motor);
    entry.submit();
    ASSERT_TRUE(eventually([&] { return entry.lost == 1; }));
    EXPECT_TRUE(eventually([&] { return !entry.route(); }));
}

// A box between the two hosts loses track of a link that is about to be idle. The next request must not meet it: it
// would wait for seconds until the link is found silent. Closed as idle, the link is opened anew.
TEST(LinkDuty, ARequestAfterAPauseDoesNotMeetAHalfOpenLink)
{
    FakeScheduler owner;
    Relay relay(owner.address);
    Entry entry;
    ASSERT_TRUE(entry.learns(relay.address));
    entry.submit();
    ASSERT_TRUE(eventually([&] { return owner.count<peer::Submit>() == 1; }));
    relay.loseTrack();
    ASSERT_TRUE(eventually([&] { return entry.duty->openLinks() == 1; }));
    entry.submit();
    ASSERT_TRUE(eventually([&] { return owner.count<peer::Submit>() == 2; }));
    EXPECT_EQ(entry.lost, 0);
}

// The same while a request waits in the owner's queue. The heartbeat finds the silence, the request is told, and the
// link comes back over a new connection on which the owner hears what is held.
TEST(LinkDuty, ALinkThatGoesSilentUnderARequestIsOpenedAnew)
{
    FakeScheduler owner;
    Relay relay(owner.address);
    Entry entry;
    ASSERT_TRUE(entry.learns(relay.address));
    entry.held.beginUse(motor);
    entry.submit();
    ASSERT_TRUE(eventually([&] { return owner.count<peer::Submit>() == 1; }));
    relay.loseTrack();
    EXPECT_TRUE(eventually([&] { return entry.lost == 1; }));
    EXPECT_TRUE(eventually([&] { return owner.count<peer::Holding>() == 2; }));
}

// The owner's process is replaced while a request runs. It is told again what this entry holds, or it would hand out
// the same engine memory twice.
TEST(LinkDuty, ARestartedOwnerIsToldWhatIsHeld)
{
    auto owner = std::make_unique<FakeScheduler>();
    const std::string address = owner->address;
    Entry entry;
    ASSERT_TRUE(entry.learns(address));
    entry.held.beginUse(motor);
    entry.submit();
    ASSERT_TRUE(eventually([&] { return owner->count<peer::Holding>() == 1; }));
    owner.reset();
    ASSERT_TRUE(eventually([&] { return entry.lost == 1; }));
    owner = std::make_unique<FakeScheduler>(address);
    EXPECT_TRUE(eventually([&] { return owner->count<peer::Holding>() == 1; }));
    EXPECT_TRUE(eventually([&] { return entry.route().has_value(); }));
}

// A cell goes to another host while a request runs in it. The new owner hears of it at once, without a new request.
TEST(LinkDuty, ANewOwnerIsToldWhatIsHeld)
{
    FakeScheduler before;
    FakeScheduler after;
    Entry entry;
    ASSERT_TRUE(entry.learns(before.address));
    entry.held.beginUse(motor);
    entry.submit();
    ASSERT_TRUE(eventually([&] { return before.count<peer::Submit>() == 1; }));
    entry.own->sayOwner(after.address);
    EXPECT_TRUE(eventually([&] { return after.count<peer::Holding>() == 1; }));
}

// The scheduler of the entry's own host dies while no other link is open. Nobody would tell of a change any more, and
// streams read here would count as orphans. The entry links itself to the owners and takes the news there, until its
// own scheduler is back.
TEST(LinkDuty, WithoutItsOwnSchedulerAnEntryFollowsTheOwners)
{
    FakeScheduler owner;
    Entry entry;
    ASSERT_TRUE(entry.learns(owner.address));
    const std::string address = entry.own->address;
    entry.own.reset();
    ASSERT_TRUE(eventually([&] { return owner.isFollowed(); }));
    entry.own = std::make_unique<FakeScheduler>(address);
    EXPECT_TRUE(eventually([&] { return entry.own->isFollowed(); }));
    EXPECT_TRUE(eventually([&] { return owner.openLinks() == 0 || !owner.isFollowed(); }));
}

} // namespace
} // namespace fescuesill
