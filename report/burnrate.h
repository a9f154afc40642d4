#pragma once

// Service-level burn: how fast the error budget is spent.
//
//     const WindowCount window{999, 1000, 300};       // 999 good of 1000 in 300 s
//     burnRate(window, 99.9);                         // 1.0: this pace uses up the budget exactly
//     alertLevel(fiveMinutes, hour, sixHours, 99.9);  // None, Ticket or Page

#include <cstdint>

namespace fescuesill
{

struct WindowCount {
    double good = 0;
    double total = 0;
    std::int64_t coveredSeconds = 0; // of the window, by samples
};

enum class AlertLevel {
    None,
    Ticket, // look at it today
    Page, // look at it now
};

constexpr std::int64_t shortWindow = 5 * 60;
constexpr std::int64_t middleWindow = 3600;
constexpr std::int64_t longWindow = 6 * 3600;

// 0 where nothing was asked for.
double burnRate(const WindowCount &window, double objectivePercent);
// Share of a budget of 30 days that the window spent.
double budgetSpent(const WindowCount &window, double objectivePercent);
AlertLevel alertLevel(const WindowCount &fiveMinutes, const WindowCount &hour, const WindowCount &sixHours,
                      double objectivePercent);
const char *alertName(AlertLevel level);

} // namespace fescuesill
