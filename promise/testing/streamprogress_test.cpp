#include "promise/streamprogress.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace fescuesill
{
namespace
{

const Instant start{10s};

TEST(StreamProgress, DeliversOnceInOrder)
{
    StreamProgress progress({}, Offset(0), start);
    EXPECT_EQ(progress.onFragment(Offset(0), "a", start), FragmentVerdict::Deliver);
    EXPECT_EQ(progress.onFragment(Offset(0), "a", start), FragmentVerdict::Drop);
    EXPECT_EQ(progress.onFragment(Offset(2), "c", start), FragmentVerdict::Gap);
    EXPECT_EQ(progress.readFrom(), Offset(1));
    EXPECT_EQ(progress.onEnd(Offset(2), textDigest("ab")), EndVerdict::Short);
    EXPECT_EQ(progress.onFragment(Offset(1), "b", start), FragmentVerdict::Deliver);
    EXPECT_EQ(progress.onEnd(Offset(2), textDigest("aX")), EndVerdict::Corrupt);
    EXPECT_EQ(progress.onEnd(Offset(1), textDigest("ab")), EndVerdict::Corrupt);
    EXPECT_FALSE(progress.isComplete());
    EXPECT_EQ(progress.onEnd(Offset(2), textDigest("ab")), EndVerdict::Whole);
    EXPECT_TRUE(progress.isComplete());
    EXPECT_EQ(progress.onFragment(Offset(2), "late", start), FragmentVerdict::Drop);
}

// The caller lost its entry after two fragments and resumes at another one. It receives only the rest, and the digest
// of the whole text is verified.
TEST(StreamProgress, ACallerThatResumesGetsTheMissingFragments)
{
    StreamProgress progress({}, Offset(2), start);
    EXPECT_EQ(progress.readFrom(), Offset(0));
    EXPECT_EQ(progress.onFragment(Offset(0), "a", start), FragmentVerdict::Drop);
    EXPECT_EQ(progress.onFragment(Offset(1), "b", start), FragmentVerdict::Drop);
    EXPECT_EQ(progress.onFragment(Offset(2), "c", start), FragmentVerdict::Deliver);
    EXPECT_EQ(progress.onEnd(Offset(3), textDigest("abc")), EndVerdict::Whole);

    StreamProgress pastTheEnd({}, Offset(9), start);
    pastTheEnd.onFragment(Offset(0), "a", start);
    EXPECT_EQ(pastTheEnd.onEnd(Offset(1), textDigest("a")), EndVerdict::Corrupt);
}

// A middlebox drops the state of the connection, which stays silent while new connections work. Without a reattach the
// answer would stop in the middle.
TEST(StreamProgress, ASilentConnectionIsReadAgainABoundedNumberOfTimes)
{
    StreamProgress progress({}, Offset(0), start);
    EXPECT_EQ(progress.check(start + 999ms), StreamCheck::Healthy);
    Instant now = start;
    for (int i = 0; i < 5; ++i) {
        now += 1s;
        EXPECT_EQ(progress.check(now), StreamCheck::Reattach);
        EXPECT_EQ(progress.check(now), StreamCheck::Healthy);
    }
    EXPECT_EQ(progress.check(now + 1s), StreamCheck::GaveUp);
    progress.onFragment(Offset(0), "a", now + 1s);
    EXPECT_EQ(progress.check(now + 2s), StreamCheck::Reattach);
}

TEST(StreamProgress, ABrokenConnectionIsReadAgainAtOnceAndThenWithPauses)
{
    StreamProgress progress({}, Offset(0), start);
    progress.onBroken(start);
    EXPECT_EQ(progress.check(start), StreamCheck::Reattach);
    progress.onBroken(start);
    EXPECT_EQ(progress.check(start), StreamCheck::Healthy);
    EXPECT_EQ(progress.check(start + 1s), StreamCheck::Reattach);
}

// Connections break, and lines are repeated, skipped or out of order: what is delivered is always a prefix of the text,
// and Whole is returned only for the whole text.
RC_GTEST_PROP(StreamProgress, WhateverArrivesTheCallerGetsTheTextOnce, (const std::vector<std::uint8_t> &arrivals))
{
    const std::string text = "abcdefghij";
    const auto length = static_cast<std::int64_t>(text.size());
    StreamProgress progress({}, Offset(0), start);
    std::string delivered;
    for (const std::uint8_t arrival : arrivals) {
        const std::int64_t at = arrival % (length + 1);
        if (at == length) {
            const EndVerdict verdict = progress.onEnd(Offset(length), textDigest(text));
            RC_ASSERT((verdict == EndVerdict::Whole) == (delivered == text));
            continue;
        }
        if (progress.onFragment(Offset(at), text.substr(at, 1), start) == FragmentVerdict::Deliver) {
            delivered += text[at];
        }
        RC_ASSERT(text.compare(0, delivered.size(), delivered) == 0);
    }
    for (std::int64_t at = progress.readFrom().value(); at < length; ++at) {
        progress.onFragment(Offset(at), text.substr(at, 1), start);
    }
    RC_ASSERT(progress.onEnd(Offset(length), textDigest(text)) == EndVerdict::Whole);
}

} // namespace
} // namespace fescuesill
