#include "wire/messages.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill::peer
{
namespace
{

const CellId someCell{ModelId("m"), DataCentreId("d")};

std::vector<Message> oneOfEach()
{
    return {
        Hello{HostId("h"), DataCentreId("d"), true},
        Submit{
            RequestId("r"), someCell, ServiceId("s"), WorkspaceId("w"), Tokens(9000), Tokens(200), {1, ~0ULL}, 5ms, 9},
        Placed{RequestId("r"), EngineId("p"), "127.0.0.1:1", EngineId("e"), "127.0.0.1:2", false, 1s},
        StartDecode{RequestId("r"), EngineId("e"), "127.0.0.1:2"},
        Refused{RequestId("r"), {RefusalCode::Overloaded, RunState::NotRun, "full", 800ms}},
        Refused{RequestId("r"), {RefusalCode::Internal, RunState::MayHaveRun, "", std::nullopt}},
        PrefillDone{RequestId("r"), Tokens(9000), Tokens(4096), 800ms},
        PrefillFailed{RequestId("r"), PrefillFault::QueueFull, 9, 3ms},
        OutputProgress{RequestId("r"), Tokens(7)},
        DecodeFailed{RequestId("r"), DecodeFault::KvGone, true, 9, 3ms},
        Finished{RequestId("r"), RequestOutcome::Cancelled, Tokens(3)},
        Holding{{Held{RequestId("r"), someCell, ServiceId("s"), WorkspaceId("w"), StreamId("t"), EngineId("e"),
                      Tokens(1), Tokens(2), Tokens(3)}}},
        ConfigInForce{"record", true},
        FetchConfig{},
        LiveHosts{{LiveHost{HostId("h"), DataCentreId("d"), "127.0.0.1:3", true}}},
        AllCells{{CellUpdate{someCell, HostId("h"), "127.0.0.1:3", 12ms, 75us, 0.25, Pieces(5), false, 7}}},
        Follow{false},
        EndpointCrashed{EndpointId("e"), 7, {1, ~0ULL}, 80ms, 20ms, 5},
        CrashesKnown{{{EndpointId("e"), 7, {1, ~0ULL}, 80ms, 20ms, 0}}},
        CrashCounted{5},
        EndpointLeaving{EndpointId("e"), 7},
        EventCounts{70, 2},
        EventLoss{true},
        TraitsWatched{{1}},
        TraitsServed{{1, 2}},
        RequestsBlocked{{1, 2}, 10min, 20s, 20s},
        RequestSlot{7, {"b1", "b2"}, 2, 120ms, 600ms},
        CancelSlot{7},
        SlotReleased{7, true, 15ms},
        EndpointOverloaded{EndpointId("b1"), 3},
        SlotReply{7, EndpointId("b1"), 0ms},
        SlotReply{7, EndpointId(), 90ms},
        EndpointLimited{EndpointId("b1"), true},
    };
}

TEST(Messages, EveryKindIsEncodedAndDecodedUnchanged)
{
    for (const Message &message : oneOfEach()) {
        const std::string bytes = encodeMessage(message);
        const auto decoded = decodeMessage(bytes);
        ASSERT_TRUE(decoded) << message.index() << ": " << decoded.error().what();
        EXPECT_EQ(decoded->index(), message.index());
        EXPECT_EQ(encodeMessage(*decoded), bytes) << message.index();
    }
}

TEST(Messages, ATruncatedMessageIsRejected)
{
    for (const Message &message : oneOfEach()) {
        const std::string bytes = encodeMessage(message);
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            EXPECT_FALSE(decodeMessage(std::string_view(bytes).substr(0, length))) << message.index() << " " << length;
        }
    }
}

// Guards against counts below zero that a leader takes for huge ones.
TEST(Messages, NegativeCountsAreRejected)
{
    const std::string valid = encodeMessage(EventCounts{1, 0});
    for (const std::size_t field : {valid.size() - 2, valid.size() - 1}) {
        std::string bytes = valid;
        bytes[field] = '\x20'; // -1
        EXPECT_FALSE(decodeMessage(bytes)) << field;
    }
}

RC_GTEST_PROP(Messages, ArbitraryBytesNeverCrash, (const std::string &bytes))
{
    const auto message = decodeMessage(bytes);
    if (message) {
        RC_ASSERT(message->index() < std::variant_size_v<Message>);
    }
}

RC_GTEST_PROP(Messages, AChangedByteNeverCrashes, (std::uint8_t kind, std::uint8_t position, std::uint8_t value))
{
    const auto all = oneOfEach();
    std::string bytes = encodeMessage(all[kind % all.size()]);
    bytes[position % bytes.size()] = static_cast<char>(value);
    decodeMessage(bytes);
}

} // namespace
} // namespace fescuesill::peer
