#include "programs/gateway/gatewaysettings.h"

#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

tl::expected<GatewaySettings, DeclareError> settingsWith(const std::string &lines)
{
    const std::string path = testing::TempDir() + "gatewaysettings_test.ini";
    std::ofstream(path) << "[process]\nhost = h\ndata_centre = a\n[listen]\ncallers = 127.0.0.1:1\n"
                           "ready = 127.0.0.1:2\n[store]\naddress = 127.0.0.1:3\n"
                        << lines;
    auto settings = GatewaySettings::fromFile(path);
    std::remove(path.c_str());
    return settings;
}

// Guards against hosts that share slots although their settings leave it out, and against a value that is taken for
// another one.
TEST(GatewaySettings, SharedSlotsAreOffUnlessAskedFor)
{
    EXPECT_FALSE(settingsWith("").value().sharedSlots);
    EXPECT_TRUE(settingsWith("[endpoints]\nshared_slots = yes\n").value().sharedSlots);
    EXPECT_FALSE(settingsWith("[endpoints]\nshared_slots = no\n").value().sharedSlots);
    for (const char *value : {"", "6", "-1", "true,yes"}) {
        EXPECT_FALSE(settingsWith("[endpoints]\nshared_slots = " + std::string(value) + "\n")) << value;
    }
}

} // namespace
} // namespace fescuesill
