#include "wire/routingchangecodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

RoutingChange sampleChange(int routes)
{
    RoutingChange change;
    change.version = ConfigVersion(14);
    change.digest = 0xffffffffffffff01;
    change.limits.idle = 7s;
    EngineTraits engines;
    engines.memory = Tokens(61492);
    engines.perEvent = Tokens(50);
    change.services = {{ServiceId("llm"), engines}, {ServiceId("booking"), std::nullopt}};
    change.removed = {{"a.example", "/gone/"}};
    change.hasWorkspaces = true;
    change.removedWorkspaces = {WorkspaceId("gone")};
    Workspace limited{WorkspaceId("w1"),
                      {KeyDigest(std::string("\0\xff key", 6)), KeyDigest("k2")},
                      3,
                      QuotaUnit::Tokens,
                      Tokens(200),
                      Quota{216251.5, 7.25}};
    change.setWorkspaces = {limited, Workspace{WorkspaceId("w2"), {}, std::nullopt, QuotaUnit::Calls, Tokens(), {}}};
    for (int number = 0; number < routes; ++number) {
        Route route;
        route.isOpen = number % 2 == 1;
        route.name = "r-" + std::to_string(number);
        route.host = "shop" + std::to_string(number % 7) + ".example";
        route.prefix = "/p" + std::to_string(number * 7919 % 10007) + "/";
        route.kind = CallKind::Generation;
        route.isResumable = true;
        route.timeout = 14s;
        route.target = 1s;
        route.longestPause = 300ms;
        route.rank = 1;
        route.attempts = 2;
        route.services = {{ServiceId("llm"), 90}, {ServiceId("booking"), 10}};
        change.set.push_back(route);
    }
    return change;
}

TEST(RoutingChangeCodec, DecodingRestoresTheChange)
{
    const RoutingChange sent = sampleChange(2);
    const auto read = decodeRoutingChange(encodeRoutingChange(sent));
    ASSERT_TRUE(read) << read.error().what();
    EXPECT_EQ(read->version, sent.version);
    EXPECT_EQ(read->digest, sent.digest);
    EXPECT_EQ(read->limits.idle, 7s);
    ASSERT_EQ(read->services.size(), 2U);
    EXPECT_EQ(read->services[0].engines->memory, Tokens(61492));
    EXPECT_EQ(read->services[0].engines->perEvent, Tokens(50));
    EXPECT_FALSE(read->services[1].engines);
    ASSERT_EQ(read->removed.size(), 1U);
    EXPECT_EQ(read->removed[0].prefix, "/gone/");
    ASSERT_EQ(read->set.size(), 2U);
    EXPECT_TRUE(read->set[0] == sent.set[0]);
    EXPECT_TRUE(read->set[1] == sent.set[1]);
    EXPECT_TRUE(read->hasWorkspaces);
    EXPECT_EQ(read->removedWorkspaces, sent.removedWorkspaces);
    EXPECT_TRUE(read->setWorkspaces == sent.setWorkspaces);
}

TEST(RoutingChangeCodec, ARouteTakesLessThan50Bytes)
{
    EXPECT_LT(encodeRoutingChange(sampleChange(40)).size(), 40U * 50);
}

// Malformed bytes from a faulty or foreign peer must not crash the process.
RC_GTEST_PROP(RoutingChangeCodec, MalformedBytesAreRejected, (const std::string &bytes))
{
    RC_ASSERT(!decodeRoutingChange(bytes));
    std::string broken = encodeRoutingChange(sampleChange(3));
    const std::size_t at = *rc::gen::inRange<std::size_t>(0, broken.size());
    broken[at] = static_cast<char>(broken[at] ^ *rc::gen::inRange(1, 256));
    (void)decodeRoutingChange(broken);
    RC_ASSERT(!decodeRoutingChange(broken.substr(0, at)));
}

} // namespace
} // namespace fescuesill
