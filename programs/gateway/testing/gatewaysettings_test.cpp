#include "programs/gateway/gatewaysettings.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

namespace fescuesill
{
namespace
{

tl::expected<GatewaySettings, DeclareError> settingsWith(const std::string &more)
{
    const auto path =
        std::filesystem::temp_directory_path() / ("fescuesill-gatewaysettings-" + std::to_string(::getpid()) + ".ini");
    std::ofstream(path) << "[process]\nhost = g1\ndata_centre = a\n[listen]\ncallers = 127.0.0.1:1\n"
                           "ready = 127.0.0.1:2\n[store]\naddress = 127.0.0.1:3\n"
                        << more;
    auto settings = GatewaySettings::fromFile(path.string());
    std::filesystem::remove(path);
    return settings;
}

// Guards against events that are held although no operator has asked for it, and against a value that would hold them
// for no time or without end.
TEST(GatewaySettings, TakesTheLatestEventInBoundsOnly)
{
    struct Case {
        const char *lines;
        std::optional<Duration> latest;
        bool isValid = true;
    };
    const Case cases[] = {
        {"", std::nullopt},
        {"[streams]\n", std::nullopt},
        {"[streams]\nlatest_event_ms = 1\n", 1ms},
        {"[streams]\nlatest_event_ms = 200\n", 200ms},
        {"[streams]\nlatest_event_ms = 10000\n", 10s},
        {"[streams]\nlatest_event_ms = 0\n", std::nullopt, false},
        {"[streams]\nlatest_event_ms = -1\n", std::nullopt, false},
        {"[streams]\nlatest_event_ms = 10001\n", std::nullopt, false},
        {"[streams]\nlatest_event_ms = 99999999999999999999\n", std::nullopt, false},
        {"[streams]\nlatest_event_ms = 200.0\n", 200ms}, // a platform that has no whole numbers
        {"[streams]\nlatest_event_ms = 0.5\n", std::nullopt, false},
        {"[streams]\nlatest_event_ms = 200ms\n", std::nullopt, false},
        {"[streams]\nlatest_event_ms =\n", std::nullopt, false},
    };
    for (const Case &one : cases) {
        const auto settings = settingsWith(one.lines);
        ASSERT_EQ(settings.has_value(), one.isValid) << one.lines;
        if (settings) {
            EXPECT_EQ(settings->latestEvent, one.latest) << one.lines;
        } else {
            ASSERT_EQ(settings.error().faults.size(), 1U) << one.lines;
            EXPECT_NE(settings.error().faults[0].line().find("[streams] latest_event_ms"), std::string::npos);
        }
    }
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
