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
        const Instant begun = start + 1s * crash;
        const CrashedRun run{{EndpointId("e"), crash}, begun, begun + 50ms};
        crashes.onCrash(run, deadly);
        crashes.onCrash(run, sound);
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
