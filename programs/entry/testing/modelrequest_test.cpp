#include "programs/entry/modelrequest.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

struct BodyCase {
    ModelRequest::Kind kind;
    const char *body;
    const char *prompt; // null: refused
};

TEST(ModelRequest, TakesWhatClientLibrariesSend)
{
    constexpr auto chat = ModelRequest::Kind::Chat;
    constexpr auto text = ModelRequest::Kind::Completion;
    const std::vector<BodyCase> cases = {
        {text, R"({"model":"m","prompt":"hello"})", "hello"},
        {text, R"({"model":"m","prompt":"hello","temperature":0.2,"unknown":{}})", "hello"},
        {text, R"({"model":"m","prompt":"hello","max_tokens":null})", "hello"},
        {chat, R"({"model":"m","messages":[{"role":"user","content":"hi"}]})", "user: hi\n"},
        {chat, R"({"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]})", "user: hi\n"},
        {text, R"({"model":"m","prompt":""})", nullptr},
        {text, R"({"model":"m"})", nullptr},
        {text, R"({"model":7,"prompt":"x"})", nullptr},
        {text, R"({"model":"m","prompt":"x","stream":"yes"})", nullptr},
        {text, R"({"model":"m","prompt":"x","max_tokens":0})", nullptr},
        {text, R"({"model":"m","prompt":"x","max_tokens":1.5})", nullptr},
        {text, R"({"model":"m","prompt":"x","max_tokens":99999999999})", nullptr},
        {chat, R"({"model":"m","messages":[]})", nullptr},
        {chat, R"({"model":"m","messages":[{"content":"hi"}]})", nullptr},
        {chat, R"({"model":"m","messages":[{"role":"user","content":[{"type":"image"}]}]})", nullptr},
        {text, "{", nullptr},
        {text, "[]", nullptr},
        {text, "", nullptr},
        {text, "{\"prompt\":\"\xff\"}", nullptr},
    };
    for (const BodyCase &given : cases) {
        SCOPED_TRACE(given.body);
        const auto request = ModelRequest::parse(given.kind, given.body);
        ASSERT_EQ(request.has_value(), given.prompt != nullptr);
        if (request) {
            EXPECT_EQ(request->prompt, given.prompt);
        } else {
            EXPECT_EQ(request.error().code, RefusalCode::BadRequest);
            EXPECT_EQ(request.error().run, RunState::NotRun);
        }
    }
}

// Guards against a body whose values take many times the memory of its text.
TEST(ModelRequest, RefusesABodyOfTooManyValues)
{
    std::string zeros = "0";
    for (int i = 0; i < (1 << 18); ++i) {
        zeros += ",0";
    }
    const auto request = ModelRequest::parse(ModelRequest::Kind::Completion,
                                             R"({"model":"m","prompt":"x","logit_bias":[)" + zeros + "]}");
    ASSERT_FALSE(request);
    EXPECT_EQ(request.error().code, RefusalCode::BadRequest);
    EXPECT_EQ(request.error().text, "body has too many values");
}

// Two logs with the same preamble must share the hashes of its blocks and no other.
TEST(ModelRequest, HashesNameEqualPrefixes)
{
    const std::string preamble(3000, 'p');
    const auto first = prefixHashes(preamble + std::string(3000, 'a'));
    const auto second = prefixHashes(preamble + std::string(3000, 'b'));
    ASSERT_EQ(first.size(), 5U);
    EXPECT_EQ(first[0], second[0]);
    EXPECT_EQ(first[1], second[1]);
    EXPECT_NE(first[2], second[2]);
    EXPECT_NE(first[4], second[4]);
    EXPECT_EQ(prefixHashes(std::string(1 << 20, 'x')).size(), mostPrefixHashes);
    EXPECT_TRUE(prefixHashes("short").empty());
}

} // namespace
} // namespace fescuesill
