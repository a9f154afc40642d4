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

// A request waits in the owner's queue for a minute and neither side sends a message. Closing the link as idle would
// remove the request from that queue.
TEST(LinkUse, StaysOpenWhileARequestWaits)
{
    LinkUse use = openLink();
    for (int second = 1; second <= 60; ++second) {
        ASSERT_EQ(use.tick(true, start + std::chrono::seconds(second)), Step::None);
    }
    EXPECT_EQ(use.tick(false, start + 63s), Step::None);
    EXPECT_EQ(use.tick(false, start + 64s), Step::Close);
}

// A Submit is sent at the moment when the link is closed as idle. It opens the link again and is queued until then.
TEST(LinkUse, AMessageRightAfterTheCloseOpensAgain)
{
    LinkUse use = openLink();
    ASSERT_EQ(use.tick(false, start + 4s), Step::Close);
    EXPECT_EQ(use.onMessage(start + 4s), Way::Open);
    use.onClosed(); // of the previous connection
    EXPECT_TRUE(use.isOffered());
    EXPECT_EQ(use.tick(true, start + 4s), Step::None);
}

// The owner hangs. Waiting requests are notified after the limit, new ones are placed without the owner, and the link
// is offered again once it opens.
TEST(LinkUse, GivesUpAnOwnerThatDoesNotReply)
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

// The owner is dead and no request needs it any more: connection attempts do not continue for ever.
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

// For any sequence of events: no link is closed within `idle` of its last message or use, and none stays open much
// longer.
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
