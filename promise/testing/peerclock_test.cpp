#include "promise/peerclock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

constexpr Instant start{1h};

TEST(PeerClock, ConvertsAfterTheFirstReply)
{
    PeerClock clock(PeerClock::Options{});
    EXPECT_FALSE(clock.notAfter(start, start));
    EXPECT_TRUE(clock.isProbeDue(start));
    clock.onProbeSent(start);
    EXPECT_FALSE(clock.isProbeDue(start + 400ms));
    EXPECT_TRUE(clock.isProbeDue(start + 500ms));
    // The peer's clock is ten minutes ahead.
    clock.onReply(start, start + 10min + 4ms, start + 8ms);
    EXPECT_EQ(clock.notAfter(start + 10min + 1s, start + 8ms), start + 1s - 4ms);
    EXPECT_FALSE(clock.isProbeDue(start + 10s));
    EXPECT_TRUE(clock.isProbeDue(start + 30s));
}

// Guards against a reply that was long under way, which would leave this host with an instant that is much too old.
TEST(PeerClock, AsksAgainSoonAfterASlowReply)
{
    PeerClock clock(PeerClock::Options{});
    clock.onProbeSent(start);
    clock.onReply(start, start + 3s, start + 3s);
    EXPECT_EQ(clock.notAfter(start + 3s, start + 3s), start);
    EXPECT_TRUE(clock.isProbeDue(start + 3s));
    clock.onProbeSent(start + 3s);
    clock.onReply(start + 3s, start + 3s, start + 3s + 2ms);
    EXPECT_EQ(clock.notAfter(start + 3s, start + 3s + 2ms), start + 3s);
}

// Guards against a revoked key that is admitted for too long, because a delayed message made an old reading look new.
RC_GTEST_PROP(PeerClock, IsNeverTooLate, ())
{
    constexpr double most = 0.0004; // drift of each clock is below half of the option's bound on both
    const double ownRate = 1 + most / 2 * *rc::gen::inRange(-10, 11) / 10;
    const double peerRate = 1 + most / 2 * *rc::gen::inRange(-10, 11) / 10;
    const std::int64_t peerStart = *rc::gen::inRange<std::int64_t>(0, 3'600'000'000);
    const auto own = [ownRate](std::int64_t real) {
        return Instant(Duration(static_cast<std::int64_t>(static_cast<double>(real) * ownRate)));
    };
    const auto peer = [peerRate, peerStart](std::int64_t real) {
        return Instant(Duration(peerStart + static_cast<std::int64_t>(static_cast<double>(real) * peerRate)));
    };
    PeerClock clock(PeerClock::Options{});
    std::int64_t real = 1'000'000;
    for (int step = 0; step < 40; ++step) {
        const std::int64_t sent = real;
        const std::int64_t replied = sent + *rc::gen::inRange(0, 3'000'000);
        real = replied + *rc::gen::inRange(0, 3'000'000);
        if (*rc::gen::inRange(0, 3) > 0) {
            clock.onReply(own(sent), peer(replied), own(real));
        }
        real += *rc::gen::inRange(0, 60'000'000);
        const std::int64_t event = std::max<std::int64_t>(0, real - *rc::gen::inRange(0, 10'000'000));
        if (const auto known = clock.notAfter(peer(event), own(real))) {
            RC_ASSERT(*known <= own(event) + 2us); // of rounding
        }
    }
}

} // namespace
} // namespace fescuesill
