#include "promise/linkuse.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

using Way = LinkUse::Way;
using Step = LinkUse::Step;

const Instant start{100s};

LinkUse openLink()
{
    LinkUse use({});
    EXPECT_EQ(use.onMessage(start), Way::Open);
    use.onOpened(start);
    return use;
}

TEST(LinkUse, OpensWithTheFirstMessageAndClosesWhenIdle)
{
    LinkUse use({});
    EXPECT_TRUE(use.isOffered());
    EXPECT_EQ(use.tick(false, start), Step::None);
    EXPECT_EQ(use.onMessage(start), Way::Open);
    EXPECT_EQ(use.onMessage(start), Way::Queue);
    use.onOpened(start + 5ms);
    EXPECT_EQ(use.onMessage(start + 1s), Way::Send);
    EXPECT_EQ(use.tick(false, start + 4999ms), Step::None);
    EXPECT_EQ(use.tick(false, start + 5s), Step::Close);
    EXPECT_FALSE(use.isOpen());
    EXPECT_TRUE(use.isOffered());
}

// A patient request waits in the owner's queue for a minute; neither side says anything. Closed as idle, the link would
// drop it from that queue, and the caller's place with it.
TEST(LinkUse, StaysOpenWhileARequestWaits)
{
    LinkUse use = openLink();
    for (int second = 1; second <= 60; ++second) {
        ASSERT_EQ(use.tick(true, start + std::chrono::seconds(second)), Step::None);
    }
    EXPECT_EQ(use.tick(false, start + 63s), Step::None);
    EXPECT_EQ(use.tick(false, start + 64s), Step::Close);
}

// A Submit is handed over in the moment in which the link is closed as idle: it opens the link again, and is kept until
// it is open.
TEST(LinkUse, AMessageRightAfterTheCloseOpensAgain)
{
    LinkUse use = openLink();
    ASSERT_EQ(use.tick(false, start + 4s), Step::Close);
    EXPECT_EQ(use.onMessage(start + 4s), Way::Open);
    use.onClosed(); // of the connection that was closed
    EXPECT_TRUE(use.isOffered());
    EXPECT_EQ(use.tick(true, start + 4s), Step::None);
}

// The owner hangs. Whoever waits is told after the limit; requests that come meanwhile are placed without it; the link
// is offered again once it opens.
TEST(LinkUse, GivesUpAnOwnerThatDoesNotAnswer)
{
    LinkUse use({});
    use.onMessage(start);
    EXPECT_EQ(use.tick(true, start + 499ms), Step::None);
    EXPECT_EQ(use.tick(true, start + 500ms), Step::GiveUp);
    EXPECT_FALSE(use.isOffered());
    EXPECT_EQ(use.onMessage(start + 1s), Way::Drop);
    use.onOpened(start + 2s);
    EXPECT_TRUE(use.isOffered());
    EXPECT_EQ(use.onMessage(start + 2s), Way::Send);
}

TEST(LinkUse, ABrokenLinkIsNotOffered)
{
    LinkUse use = openLink();
    use.onClosed();
    EXPECT_FALSE(use.isOffered());
    EXPECT_EQ(use.tick(true, start + 10s), Step::None);
}

// The owner is dead and nobody asks for it any more: no connection is tried for ever.
TEST(LinkUse, ALostLinkThatNobodyUsesIsClosed)
{
    LinkUse use = openLink();
    use.onClosed();
    EXPECT_EQ(use.tick(false, start + 4s), Step::Close);
    EXPECT_TRUE(use.isOffered());
}

TEST(LinkUse, KeepsABoundedNumberOfMessages)
{
    LinkUse::Options options;
    options.maxQueued = 2;
    LinkUse use(options);
    EXPECT_EQ(use.onMessage(start), Way::Open);
    EXPECT_EQ(use.onMessage(start), Way::Queue);
    EXPECT_EQ(use.onMessage(start), Way::Drop);
}

// Whatever comes in whatever order: no link is closed within `idle` of its last message or use, and none is kept
// for longer than that.
RC_GTEST_PROP(LinkUse, IsClosedNeitherTooEarlyNorNever, (const std::vector<std::uint8_t> &events))
{
    LinkUse use({});
    Instant now = start;
    Instant lastUse{};
    for (const std::uint8_t event : events) {
        now += std::chrono::milliseconds(event * 10);
        switch (event % 4) {
        case 0:
            use.onMessage(now);
            lastUse = now;
            break;
        case 1:
            if (use.onMessage(now) != Way::Send) {
                use.onOpened(now);
            }
            lastUse = now;
            break;
        case 2:
            use.onClosed();
            break;
        default:
            if (use.tick(false, now) == Step::Close) {
                RC_ASSERT(now - lastUse >= 4s);
            }
        }
    }
    use.tick(false, now + 10s);
    use.tick(false, now + 20s);
    RC_ASSERT(!use.isOpen());
}

} // namespace
} // namespace fescuesill
