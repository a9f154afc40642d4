#include "programs/entry/localcrashes.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

constexpr Instant start{1h};

// Guards against a call that this entry sends on although endpoints have ended under it.
TEST(LocalCrashes, BlocksARequestUnderWhichThreeEndpointsEnded)
{
    LocalCrashes crashes;
    const RequestTrait deadly = contentOf({"GET", "/cards/deadly"});
    const RequestTrait sound = contentOf({"GET", "/cards/1"});
    EXPECT_TRUE(crashes.isEmpty());
    for (int crash = 0; crash < 3; ++crash) {
        EXPECT_FALSE(crashes.blockedFor(deadly, start + 1s * crash));
        crashes.onCrash({start + 1s * crash, start + 1s * crash + 50ms}, deadly);
        crashes.onCrash({start + 1s * crash, start + 1s * crash + 50ms}, sound);
        crashes.onServed(sound);
    }
    EXPECT_TRUE(crashes.blockedFor(deadly, start + 3s));
    EXPECT_FALSE(crashes.blockedFor(sound, start + 3s));
    EXPECT_FALSE(crashes.isEmpty());
    EXPECT_FALSE(crashes.blockedFor(deadly, start + 1h));
    EXPECT_TRUE(crashes.isEmpty());
}

} // namespace
} // namespace fescuesill
