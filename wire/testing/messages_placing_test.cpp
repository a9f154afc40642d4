#include "wire/messages.h"

#include <gtest/gtest.h>
#include <limits>

namespace fescuesill::peer
{
namespace
{

template<typename Struct>
Struct passedOn(const Struct &sent)
{
    const auto read = decodeMessage(encodeMessage(sent));
    EXPECT_TRUE(read);
    return std::get<Struct>(*read);
}

TEST(PlacingMessages, AreEncodedAndDecodedUnchanged)
{
    const RequestPlacement ask = passedOn(RequestPlacement{RequestId("r"),
                                                           ServiceId("s"),
                                                           2,
                                                           Tokens(5200),
                                                           Tokens(3500),
                                                           Tokens(6500),
                                                           40ms,
                                                           -10ms,
                                                           3s,
                                                           DataCentreId("a"),
                                                           EngineId("d1"),
                                                           {"d2", "d3"},
                                                           "a41f",
                                                           SoftwareVersion("v1"),
                                                           true,
                                                           RequestId("r0"),
                                                           WorkspaceId("w"),
                                                           QuotaUnits(8700),
                                                           true});
    EXPECT_EQ(ask.maxOutput, Tokens(6500));
    EXPECT_EQ(ask.onTime, -10ms);
    EXPECT_EQ(ask.avoid, EngineId("d1"));
    EXPECT_EQ(ask.excluded, (std::vector<std::string>{"d2", "d3"}));
    EXPECT_EQ(ask.promptName, "a41f");
    EXPECT_EQ(ask.version, SoftwareVersion("v1"));
    EXPECT_TRUE(ask.isTakenUp);
    EXPECT_EQ(ask.resumes, RequestId("r0"));
    EXPECT_EQ(ask.workspace, WorkspaceId("w"));
    EXPECT_EQ(ask.cost, QuotaUnits(8700));
    EXPECT_TRUE(ask.isCharged);
    const PlacementReport report = passedOn(
        PlacementReport{RequestId("r"), ServiceId("s"), PlacementEvent::Declined, Tokens(7), SoftwareVersion("v1")});
    EXPECT_EQ(report.event, PlacementEvent::Declined);
    EXPECT_EQ(report.version, SoftwareVersion("v1"));
    const StreamsBegun begun =
        passedOn(StreamsBegun{{{RequestId("r"), ServiceId("s"), SoftwareVersion("v1"), 4s, WorkspaceId("w")}}});
    ASSERT_EQ(begun.streams.size(), 1U);
    EXPECT_EQ(begun.streams[0].version, SoftwareVersion("v1"));
    EXPECT_EQ(begun.streams[0].workspace, WorkspaceId("w"));
    EXPECT_EQ(begun.streams[0].age, 4s);
    const HeldPlacements held = passedOn(
        HeldPlacements{{{RequestId("r"), ServiceId("s"), EngineId("d"), Tokens(1), Tokens(2), Tokens(3), 4s}}});
    ASSERT_EQ(held.places.size(), 1U);
    EXPECT_EQ(held.places[0].age, 4s);
    EXPECT_EQ(passedOn(RejectPlacement{RequestId("r"), 700ms}).retryAfter, 700ms);
    EXPECT_EQ(passedOn(RejectPlacement{RequestId("r"), 700ms, RejectReason::OverQuota}).reason,
              RejectReason::OverQuota);
    const OfferPlacement place = passedOn(OfferPlacement{RequestId("r"), EngineId("d"), EngineId("p")});
    EXPECT_EQ(place.engine, EngineId("d"));
    EXPECT_EQ(place.prefill, EngineId("p"));
    EXPECT_EQ(passedOn(EngineChanging{EngineId("d"), 8s}).duration, 8s);
    const ConfigUpdate config = passedOn(ConfigUpdate{41, 38, std::string("\xff\x00{", 3)});
    EXPECT_EQ(config.rowVersion, 41U);
    EXPECT_EQ(config.after, 38U);
    EXPECT_EQ(config.change, std::string("\xff\x00{", 3));
    EXPECT_EQ(passedOn(FollowStore{7}).version, 7U);
    const EndpointLimit limit = passedOn(EndpointLimit{EndpointId("e"), true, 6.4});
    EXPECT_EQ(limit.endpoint, EndpointId("e"));
    EXPECT_TRUE(limit.isLimited);
    EXPECT_EQ(limit.perSecond, 6.4);
    EXPECT_EQ(passedOn(RequestPermit{7, EndpointId("e")}).number, 7U);
    EXPECT_EQ(passedOn(PermitReply{7, 150ms}).wait, 150ms);
    passedOn(ConfigDelayed{});
    passedOn(StoreLost{});
    passedOn(LeadershipEnded{});
    const FollowerAddress follower = passedOn(FollowerAddress{"10.0.0.1:1", "10.0.0.1:2"});
    EXPECT_EQ(follower.address, "10.0.0.1:1");
    EXPECT_EQ(follower.tunnels, "10.0.0.1:2");
    EXPECT_TRUE(passedOn(RequestTunnelHosts{true}).isCutOff);
    EXPECT_EQ(passedOn(TunnelHostsNamed{{"10.0.0.1:2", "10.0.0.2:2"}}).addresses.size(), 2U);
    EXPECT_TRUE(passedOn(TunnelHostsNamed{{}, true}).areOthersCutOff);
    EXPECT_EQ(passedOn(RequestCredit{7, WorkspaceId("w"), QuotaUnits(200)}).cost, QuotaUnits(200));
    EXPECT_EQ(passedOn(CreditReply{7, 250ms}).wait, 250ms);
    const QuotaReport quotas = passedOn(QuotaReport{{{WorkspaceId("w"), QuotaUnits(-300)}}});
    EXPECT_EQ(quotas.uses.at(0).units, QuotaUnits(-300));
    EXPECT_EQ(passedOn(QuotaUsedUp{WorkspaceId("w"), 2s}).workspace, WorkspaceId("w"));
    EXPECT_EQ(passedOn(RequestClock{41}).sent, 41U);
    EXPECT_EQ(passedOn(ClockReply{41, 42}).clock, 42U);
    EXPECT_EQ(passedOn(ConfigCurrent{9, 43, 82}).hosts, 82U);
    EXPECT_EQ(passedOn(DeputyNamed{"10.0.0.2:1", 9}).hosts, 9U);
    const DelegateReading request = passedOn(DelegateReading{true, 41});
    EXPECT_TRUE(request.isWanted);
    EXPECT_EQ(request.registryVersion, 41U);
    EXPECT_EQ(passedOn(StoreRestored{700ms}).sinceFailure, 700ms);
    const LeaderNamed named = passedOn(LeaderNamed{HostId("h"), "10.0.0.3:1", 42});
    EXPECT_EQ(named.host, HostId("h"));
    EXPECT_EQ(named.address, "10.0.0.3:1");
    EXPECT_EQ(named.lease, 42U);
}

TEST(SlotMessages, AreEncodedAndDecodedUnchanged)
{
    const RequestSlot request = passedOn(RequestSlot{7, {"b1", "b2"}, 2, 120ms, 600ms});
    EXPECT_EQ(request.number, 7U);
    EXPECT_EQ(request.candidates, (std::vector<std::string>{"b1", "b2"}));
    EXPECT_EQ(request.rank, 2U);
    EXPECT_EQ(request.onTime, 120ms);
    EXPECT_EQ(request.useful, 600ms);
    EXPECT_EQ(passedOn(CancelSlot{7}).number, 7U);
    const SlotReleased released = passedOn(SlotReleased{7, true, 15ms});
    EXPECT_EQ(released.number, 7U);
    EXPECT_TRUE(released.wasServed);
    EXPECT_EQ(released.took, 15ms);
    const EndpointOverloaded overloaded = passedOn(EndpointOverloaded{EndpointId("b1"), 3});
    EXPECT_EQ(overloaded.endpoint, EndpointId("b1"));
    EXPECT_EQ(overloaded.count, 3U);
    const SlotReply reply = passedOn(SlotReply{7, EndpointId("b1"), 90ms});
    EXPECT_EQ(reply.number, 7U);
    EXPECT_EQ(reply.endpoint, EndpointId("b1"));
    EXPECT_EQ(reply.retryAfter, 90ms);
    const EndpointLimited limited = passedOn(EndpointLimited{EndpointId("b1"), true});
    EXPECT_EQ(limited.endpoint, EndpointId("b1"));
    EXPECT_TRUE(limited.isLimited);
}

// Guards against numbers that overflow an instant, or take the leader's memory or time.
TEST(SlotMessages, WithNumbersThatCanNotBeMeantAreInvalid)
{
    const Duration huge(std::numeric_limits<std::int64_t>::max());
    const RequestSlot good{7, {"b1"}, 2, 0ms, 600ms};
    EXPECT_TRUE(isValid(good));
    const std::vector<RequestSlot> bad = {
        {7, {}, 2, 0ms, 600ms},
        {7, {"b1", ""}, 2, 0ms, 600ms},
        {7, std::vector<std::string>(257, "b1"), 2, 0ms, 600ms},
        {7, {"b1"}, std::numeric_limits<std::uint64_t>::max(), 0ms, 600ms},
        {7, {"b1"}, 2, -1ms, 600ms},
        {7, {"b1"}, 2, 0ms, -1ms},
        {7, {"b1"}, 2, huge, 600ms},
        {7, {"b1"}, 2, 0ms, huge},
    };
    for (std::size_t index = 0; index < bad.size(); ++index) {
        EXPECT_FALSE(isValid(passedOn(bad[index]))) << index;
    }
    EXPECT_TRUE(isValid(SlotReleased{7, true, 0ms}));
    EXPECT_FALSE(isValid(SlotReleased{7, true, -1ms}));
    EXPECT_FALSE(isValid(SlotReleased{7, true, huge}));
    EXPECT_TRUE(isValid(EndpointOverloaded{EndpointId("b1"), 1}));
    EXPECT_FALSE(isValid(EndpointOverloaded{EndpointId("b1"), 0}));
    EXPECT_FALSE(isValid(EndpointOverloaded{EndpointId("b1"), std::numeric_limits<std::uint64_t>::max()}));
    EXPECT_FALSE(isValid(EndpointOverloaded{EndpointId(), 1}));
    EXPECT_TRUE(isValid(SlotReply{7, EndpointId(), 90ms}));
    EXPECT_FALSE(isValid(SlotReply{7, EndpointId(), -1ms}));
    EXPECT_FALSE(isValid(SlotReply{7, EndpointId(), huge}));
    EXPECT_FALSE(isValid(EndpointLimited{}));
}

// Guards against a negative count that is read as a huge one.
TEST(SlotMessages, ANegativeCountIsNotDecoded)
{
    const std::string good = encodeMessage(EndpointOverloaded{EndpointId("b1"), 3});
    ASSERT_EQ(good.back(), '\x03');
    const std::string negative = good.substr(0, good.size() - 1) + '\x22'; // -3 in CBOR
    EXPECT_FALSE(decodeMessage(negative));
}

// A row from another writer may contain any bytes. They must arrive unchanged.
TEST(PlacingMessages, CarryArbitraryBytesInARow)
{
    const std::string bytes("\xff\x00\x80{", 4);
    const RegistryUpdate news = passedOn(RegistryUpdate{4, 9, {{5, "k", bytes, false}, {9, "gone", "", true}}, true});
    ASSERT_EQ(news.rows.size(), 2U);
    EXPECT_EQ(news.rows[0].value, bytes);
    EXPECT_TRUE(news.rows[1].isRemoved);
    EXPECT_TRUE(news.hasGap);
}

} // namespace
} // namespace fescuesill::peer
