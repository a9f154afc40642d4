#include "wire/tunnelframes.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

// However the bytes are split, the payload is the same, and only the end frame is an end.
RC_GTEST_PROP(TunnelFrames, DoNotDependOnHowBytesArrive, ())
{
    const auto pieces = *rc::gen::container<std::vector<std::string>>(rc::gen::nonEmpty<std::string>());
    const bool hasEnd = *rc::gen::arbitrary<bool>();
    std::string sent;
    std::string expected;
    for (const std::string &piece : pieces) {
        sent += tunnelFrameHead(piece.size()) + piece;
        expected += piece;
    }
    sent += hasEnd ? tunnelEnd() : "";
    TunnelFrames frames;
    std::string payload;
    for (std::size_t at = 0; at < sent.size();) {
        const auto size = static_cast<std::size_t>(*rc::gen::inRange(1, 9));
        RC_ASSERT_FALSE(frames.hasEnded());
        RC_ASSERT(frames.take(sent.substr(at, size), payload));
        at += size;
    }
    RC_ASSERT(payload == expected);
    RC_ASSERT(frames.hasEnded() == hasEnd);
}

TEST(TunnelFrames, RejectsWhatIsNotFrames)
{
    std::string payload;
    EXPECT_FALSE(TunnelFrames().take("HTTP/1.1 200 OK", payload));
    EXPECT_FALSE(TunnelFrames().take(tunnelFrameHead(maxTunnelFrame + 1), payload));
    EXPECT_FALSE(TunnelFrames().take(tunnelEnd() + "x", payload));
    EXPECT_TRUE(TunnelFrames().take(tunnelFrameHead(maxTunnelFrame), payload));
    EXPECT_EQ(payload, "");
}

} // namespace
} // namespace fescuesill
