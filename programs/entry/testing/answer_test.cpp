#include "programs/entry/answerwriter.h"
#include "programs/entry/deliveredtext.h"
#include "programs/entry/ownermailbox.h"
#include "programs/entry/requestids.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace fescuesill
{
namespace
{

using Json = nlohmann::json;

DecodeEnd sampleEnd()
{
    return {Offset(2), "00ff", Tokens(9), Tokens(2)};
}

std::vector<Json> eventsOf(const std::string &stream)
{
    std::vector<Json> events;
    for (std::size_t at = stream.find("data: {"); at != std::string::npos; at = stream.find("data: {", at + 1)) {
        events.push_back(Json::parse(stream.substr(at + 6, stream.find('\n', at) - at - 6)));
    }
    return events;
}

TEST(AnswerWriter, WritesEventsThatParse)
{
    for (const auto kind : {ModelRequest::Kind::Chat, ModelRequest::Kind::Completion}) {
        const AnswerWriter writer(kind, "a \"model\"", RequestId("r1"), 7);
        std::string out;
        writer.start(out);
        writer.fragment(out, "t.0", R"("a\"b")");
        writer.end(out, "t.2", sampleEnd(), FinishReason::Length);
        const auto events = eventsOf(out);
        const bool isChat = kind == ModelRequest::Kind::Chat;
        ASSERT_EQ(events.size(), isChat ? 3U : 2U);
        const Json choice = events[events.size() - 2]["choices"][0];
        EXPECT_EQ(isChat ? choice["delta"]["content"] : choice["text"], "a\"b");
        EXPECT_EQ(events.back()["choices"][0]["finish_reason"], "length");
        EXPECT_EQ(events.back()["usage"]["total_tokens"], 11);
        EXPECT_EQ(events.back()["fescuesill"], Json({{"length", 2}, {"digest", "00ff"}}));
        EXPECT_EQ(events.back()["model"], "a \"model\"");
        EXPECT_NE(out.find("\n\ndata: [DONE]\n\n"), std::string::npos);
        EXPECT_TRUE(Json::accept(writer.whole("a\"b", sampleEnd(), FinishReason::Stop)));
    }
}

// An engine dies and another writes the answer again. Where it writes something else than the caller has read, the two
// must not be joined.
TEST(DeliveredText, KnowsItsOwnBeginning)
{
    struct Case {
        std::vector<std::string> again;
        bool isSame;
    };
    const std::vector<Case> cases = {
        {{"a", "b", "c"}, true},
        {{"a", "x", "c"}, false},
        {{"ab", "", "c"}, true}, // the same text cut elsewhere
        {{"a", "", "c"}, false},
    };
    for (const Case &given : cases) {
        DeliveredText delivered;
        delivered.append("a");
        delivered.append("b");
        EXPECT_TRUE(delivered.matches(Offset(0), "anything before a restart"));
        delivered.restart();
        bool isSame = true;
        for (std::size_t i = 0; i < given.again.size(); ++i) {
            isSame = isSame && delivered.matches(Offset(static_cast<std::int64_t>(i)), given.again[i]);
        }
        EXPECT_EQ(isSame, given.isSame);
    }
}

TEST(RequestIds, NameTheirShard)
{
    RequestIds ids(HostId("athens-a"), 0x5f3a90c1U, 3);
    const RequestId first = ids.next();
    EXPECT_NE(first, ids.next());
    EXPECT_EQ(RequestIds::shardOf(first), 3U);
    for (const char *other : {"", "-", "a", "a-1", "a-b-1", "--1"}) {
        EXPECT_FALSE(RequestIds::shardOf(RequestId(other))) << other;
    }
}

enum class Woken {
    ByMessage,
    ByLostLink,
    ByInterrupt,
};

// Each wake-up is posted, so that it comes while the coroutine waits; a limit of an hour stands for never.
TEST(OwnerMailbox, WakesItsWaiter)
{
    for (const Woken woken : {Woken::ByMessage, Woken::ByLostLink, Woken::ByInterrupt}) {
        asio::io_context io;
        OwnerMailbox mailbox(io);
        const RequestId request("r1");
        bool hasEnded = false;
        startCoroutine(io, [&](const asio::yield_context &yield) {
            OwnerMailbox::Box box(mailbox, request);
            box.expect(LinkId(1));
            asio::post(io, [&] {
                mailbox.put(RequestId("other"), peer::Refused{});
                mailbox.onLinkLost(LinkId(9));
            });
            asio::post(io, [&] {
                if (woken == Woken::ByMessage) {
                    mailbox.put(request, peer::Refused{request, {}});
                } else if (woken == Woken::ByLostLink) {
                    mailbox.onLinkLost(LinkId(1));
                } else {
                    box.interrupt();
                }
            });
            EXPECT_EQ(box.wait(1h, yield).has_value(), woken == Woken::ByMessage);
            EXPECT_EQ(box.isLinkLost(), woken == Woken::ByLostLink);
            hasEnded = true;
        });
        io.run();
        EXPECT_TRUE(hasEnded);
    }
}

} // namespace
} // namespace fescuesill
