#include "declare/declaration.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace fescuesill
{
namespace
{

struct Case {
    const char *file;
    const char *atMostOnce;
    const char *repeatable;
    std::size_t checkingEngines;
};

TEST(Examples, PassAndHoldTheSizesOfToday)
{
    for (const Case &c : {Case{"karamanlis.ini", "/warranty-bookings", "/job-cards/7", 14},
                          Case{"laman.ini", "/yard-allotments", "/availability?from=today", 7}}) {
        std::ifstream file(std::string(FESCUESILL_SOURCE_DIR "/examples/") + c.file);
        std::ostringstream text;
        text << file.rdbuf();
        const auto declaration = Declaration::parse(text.str(), c.file);
        ASSERT_TRUE(declaration) << declaration.error().faults.front().line();
        EXPECT_EQ(declaration->dataCentres.size(), 3U);
        EXPECT_EQ(declaration->engines.size(), 20U);
        EXPECT_EQ(declaration->endpoints.size(), 3U);
        EXPECT_FALSE(std::get<PlainService>(declaration->findRoute(c.atMostOnce)->kind).repeatable);
        EXPECT_TRUE(std::get<PlainService>(declaration->findRoute(c.repeatable)->kind).repeatable);
        const auto checking = std::count_if(declaration->engines.begin(), declaration->engines.end(),
                                            [](const Engine &engine) { return engine.checksFencing; });
        EXPECT_EQ(static_cast<std::size_t>(checking), c.checkingEngines);
    }
}

} // namespace
} // namespace fescuesill
