#include "programs/gateway/endpointslots.h"

#include "wire/clock.h"

#include <gtest/gtest.h>
#include <limits>

namespace fescuesill
{
namespace
{

const EndpointId b1("b1");
const LinkId link{7};

// A host that decides, with one endpoint of six slots, and what it sends.
struct Leader {
    explicit Leader(bool isEnabled = true)
        : fleet(DataCentreId("a"), {0.2, 2, 2}, 3s, 1)
        , slots(this->io, this->fleet, isEnabled)
    {
        EndpointRecord record;
        record.id = b1;
        record.service = ServiceId("s");
        record.slots = 6;
        this->fleet.apply(store_update::Listed{{record}}, steadyNow());
        this->slots.setFollowers([this](const peer::Message &message) { this->announced.push_back(message); });
        this->slots.setDeciding(true);
    }

    void receive(const peer::Message &message)
    {
        EXPECT_TRUE(this->slots.onMessage(
            link, [this](const peer::Message &reply) { this->replies.push_back(reply); }, message));
    }
    peer::SlotReply request(std::uint64_t number)
    {
        this->replies.clear();
        this->receive(peer::RequestSlot{number, {"b1"}, 0, 100ms, 600ms});
        return std::get<peer::SlotReply>(this->replies.at(0));
    }

    asio::io_context io;
    FleetView fleet;
    EndpointSlots slots;
    std::vector<peer::Message> replies;
    std::vector<peer::Message> announced;
};

// Guards against calls of a host that was lost, which would hold the slots of the others.
TEST(EndpointSlots, ALostLinkReleasesItsSlots)
{
    Leader leader;
    leader.receive(peer::EndpointOverloaded{b1, 3});
    ASSERT_TRUE(leader.slots.isLimited(b1));
    ASSERT_EQ(leader.announced.size(), 1U);
    EXPECT_TRUE(std::get<peer::EndpointLimited>(leader.announced[0]).isLimited);
    for (std::uint64_t number = 1; number <= 12; ++number) {
        EXPECT_EQ(leader.request(number).endpoint, b1) << number;
    }
    leader.replies.clear();
    leader.receive(peer::RequestSlot{13, {"b1"}, 0, 100ms, 600ms});
    EXPECT_TRUE(leader.replies.empty());
    EXPECT_EQ(leader.slots.counts().waiting, 1U);
    leader.slots.onLinkLost(link);
    EXPECT_EQ(leader.slots.counts().waiting, 0U);
    EXPECT_EQ(leader.slots.counts().inFlight, 0U);
    EXPECT_EQ(leader.request(14).endpoint, b1);
}

// Guards against a waiting call that is forgotten when a slot is released.
TEST(EndpointSlots, AReleasedSlotGoesToTheCallThatWaits)
{
    Leader leader;
    leader.receive(peer::EndpointOverloaded{b1, 3});
    for (std::uint64_t number = 1; number <= 12; ++number) {
        leader.request(number);
    }
    leader.replies.clear();
    leader.receive(peer::RequestSlot{13, {"b1"}, 0, 100ms, 600ms});
    leader.receive(peer::SlotReleased{1, true, 15ms});
    ASSERT_EQ(leader.replies.size(), 1U);
    EXPECT_EQ(std::get<peer::SlotReply>(leader.replies[0]).number, 13U);
    EXPECT_EQ(std::get<peer::SlotReply>(leader.replies[0]).endpoint, b1);
}

// Guards against messages of a faulty host that limit endpoints, hold slots, or are left without a reply.
TEST(EndpointSlots, InvalidMessagesChangeNothing)
{
    const Duration huge(std::numeric_limits<std::int64_t>::max());
    Leader leader;
    leader.receive(peer::EndpointOverloaded{b1, 0});
    leader.receive(peer::EndpointOverloaded{b1, std::numeric_limits<std::uint64_t>::max()});
    leader.receive(peer::EndpointOverloaded{EndpointId("unknown"), 3});
    leader.receive(peer::EndpointLimited{b1, true});
    leader.receive(peer::SlotReleased{9, true, huge});
    leader.receive(peer::CancelSlot{9});
    leader.receive(peer::SlotReply{9, b1, -1ms});
    EXPECT_FALSE(leader.slots.isLimited(b1));
    for (const auto &bad : {peer::RequestSlot{1, {}, 0, 100ms, 600ms}, peer::RequestSlot{1, {"b1"}, 0, -1ms, 600ms},
                            peer::RequestSlot{1, {"b1"}, 0, 100ms, huge}}) {
        leader.replies.clear();
        leader.receive(bad);
        ASSERT_EQ(leader.replies.size(), 1U);
        EXPECT_TRUE(std::get<peer::SlotReply>(leader.replies[0]).endpoint.isEmpty());
    }
    EXPECT_EQ(leader.slots.counts().inFlight, 0U);
    leader.receive(peer::RequestSlot{2, {"b1"}, 0, 100ms, 600ms});
    leader.receive(peer::SlotReleased{2, true, -1ms}); // the slot is free nevertheless
    EXPECT_EQ(leader.slots.counts().inFlight, 0U);
}

// Guards against a host that still asks for slots after it missed the end of a limit.
TEST(EndpointSlots, ARequestForAnUnlimitedEndpointIsGrantedAndCorrected)
{
    Leader leader;
    EXPECT_EQ(leader.request(1).endpoint, b1);
    ASSERT_EQ(leader.replies.size(), 2U);
    EXPECT_FALSE(std::get<peer::EndpointLimited>(leader.replies[1]).isLimited);
}

// Guards against a leader that forgets the limits in force when it takes over.
TEST(EndpointSlots, AHostThatTakesOverKeepsTheAnnouncedLimits)
{
    Leader host;
    host.slots.setDeciding(false);
    host.receive(peer::EndpointLimited{b1, true});
    ASSERT_TRUE(host.slots.isLimited(b1));
    host.slots.setDeciding(true);
    EXPECT_TRUE(host.slots.isLimited(b1));
    EXPECT_EQ(host.announced.size(), 1U);
}

// Guards against limits where the settings leave them out.
TEST(EndpointSlots, NothingIsLimitedUnlessEnabled)
{
    Leader leader(false);
    leader.receive(peer::EndpointOverloaded{b1, 8});
    leader.slots.onOverload(b1);
    EXPECT_FALSE(leader.slots.isLimited(b1));
    leader.slots.setDeciding(false);
    leader.receive(peer::EndpointLimited{b1, true});
    EXPECT_FALSE(leader.slots.isLimited(b1));
}

} // namespace
} // namespace fescuesill
