// Multi-window alerts as the field uses them. The long window says that the loss matters, the short one that it still
// goes on, so an alert ends soon after its cause. At a burn of 14.4 a budget of 30 days lasts 50 hours and an hour
// takes 2% of it; at 6 it lasts five days and six hours take 5%.
//
// A window whose samples cover less than half of it raises no alert: one bad request in the only minute known is no
// verdict on six hours.

#include "report/burnrate.h"

namespace fescuesill
{

namespace
{

constexpr double pageBurn = 14.4;
constexpr double ticketBurn = 6.0;
constexpr double budgetSeconds = 30.0 * 24 * 3600;

bool burns(const WindowCount &window, std::int64_t length, double objectivePercent, double limit)
{
    return 2 * window.coveredSeconds >= length && burnRate(window, objectivePercent) >= limit;
}

} // namespace

double burnRate(const WindowCount &window, double objectivePercent)
{
    if (window.total <= 0) {
        return 0;
    }
    const double bad = 1.0 - window.good / window.total;
    return bad / (1.0 - objectivePercent / 100.0);
}

double budgetSpent(const WindowCount &window, double objectivePercent)
{
    return burnRate(window, objectivePercent) * static_cast<double>(window.coveredSeconds) / budgetSeconds;
}

AlertLevel alertLevel(const WindowCount &fiveMinutes, const WindowCount &hour, const WindowCount &sixHours,
                      double objectivePercent)
{
    if (burns(fiveMinutes, shortWindow, objectivePercent, pageBurn)
        && burns(hour, middleWindow, objectivePercent, pageBurn)) {
        return AlertLevel::Page;
    }
    if (burns(hour, middleWindow, objectivePercent, ticketBurn)
        && burns(sixHours, longWindow, objectivePercent, ticketBurn)) {
        return AlertLevel::Ticket;
    }
    return AlertLevel::None;
}

const char *alertName(AlertLevel level)
{
    switch (level) {
    case AlertLevel::None:
        return "none";
    case AlertLevel::Ticket:
        return "ticket";
    case AlertLevel::Page:
        return "page";
    }
    return "none";
}

} // namespace fescuesill
