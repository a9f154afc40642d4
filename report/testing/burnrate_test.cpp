#include "report/burnrate.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

struct BurnCase {
    WindowCount window;
    double objective;
    double burn;
};

TEST(BurnRate, IsTheLossAgainstTheBudget)
{
    for (const BurnCase &c :
         {BurnCase{{0, 0, 300}, 99, 0}, BurnCase{{100, 100, 300}, 99, 0}, BurnCase{{99, 100, 300}, 99, 1},
          BurnCase{{998, 1000, 300}, 99.9, 2}, BurnCase{{0, 10, 300}, 99, 100}, BurnCase{{50, 100, 300}, 50, 1}}) {
        EXPECT_NEAR(burnRate(c.window, c.objective), c.burn, 1e-9) << c.window.good << "/" << c.window.total;
    }
    EXPECT_NEAR(budgetSpent({856, 1000, 3600}, 99), 0.02, 1e-9);
    EXPECT_NEAR(budgetSpent({94, 100, 6 * 3600}, 99), 0.05, 1e-9);
}

struct AlertCase {
    double badOfHundred[3]; // in 5 minutes, 1 hour, 6 hours
    std::int64_t covered; // at most this much of each window
    AlertLevel level;
};

TEST(BurnRate, AlertsNeedTheLongAndTheShortWindow)
{
    const std::int64_t all = longWindow;
    for (const AlertCase &c :
         {AlertCase{{0, 0, 0}, all, AlertLevel::None}, AlertCase{{15, 15, 1}, all, AlertLevel::Page},
          AlertCase{{15, 14, 5}, all, AlertLevel::None}, AlertCase{{0, 15, 5}, all, AlertLevel::None},
          AlertCase{{0, 15, 6}, all, AlertLevel::Ticket}, AlertCase{{0, 6, 6}, all, AlertLevel::Ticket},
          AlertCase{{50, 5, 50}, all, AlertLevel::None}, AlertCase{{15, 15, 15}, 1800, AlertLevel::Page},
          AlertCase{{15, 15, 15}, 1700, AlertLevel::None}, AlertCase{{0, 15, 15}, 3600, AlertLevel::None}}) {
        const auto window = [&](int i, std::int64_t length) {
            return WindowCount{100 - c.badOfHundred[i], 100, std::min(length, c.covered)};
        };
        EXPECT_EQ(alertLevel(window(0, shortWindow), window(1, middleWindow), window(2, longWindow), 99), c.level)
            << c.badOfHundred[0] << " " << c.badOfHundred[1] << " " << c.badOfHundred[2] << " " << c.covered;
    }
}

} // namespace
} // namespace fescuesill
