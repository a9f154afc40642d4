// The report for a terminal and as JSON.

#include "report/servicereport.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescuesill
{

namespace
{

using Json = nlohmann::json;

constexpr std::array<const char *, 3> windowNames{"5min", "1h", "6h"};

std::string listText(const std::string &title, const std::vector<Tallied> &items)
{
    std::string out = title + (items.empty() ? ": none\n" : ":\n");
    for (const Tallied &item : items) {
        out += fmt::format("    {:<44} {:.0f}\n", item.name, item.count);
    }
    return out;
}

std::string burnText(const ServiceBurn &burn)
{
    std::string out = fmt::format("{} (class {}, objective {}%): alert {}\n", burn.service, burn.serviceClass,
                                  burn.objectivePercent, alertName(burn.alert));
    for (std::size_t i = 0; i < burn.windows.size(); ++i) {
        const WindowCount &window = burn.windows[i];
        const std::string share = window.total > 0 ? fmt::format("{:.2f}%", 100 * window.good / window.total) : "-";
        out += fmt::format("    {:<5} {:>8.0f} of {:>8.0f} {}  {:>7}  burn {:.1f}  (samples over {} s)\n",
                           windowNames[i], window.good, window.total, burn.timed ? "within both targets" : "answered",
                           share, burnRate(window, burn.objectivePercent), window.coveredSeconds);
    }
    return out
        + fmt::format("    budget of 30 days spent in this time: {:.2f}%\n",
                      100 * budgetSpent(burn.windows.back(), burn.objectivePercent));
}

Json listJson(const std::vector<Tallied> &items)
{
    Json json = Json::object();
    for (const Tallied &item : items) {
        json[item.name] = item.count;
    }
    return json;
}

Json burnJson(const ServiceBurn &burn)
{
    Json windows = Json::object();
    for (std::size_t i = 0; i < burn.windows.size(); ++i) {
        const WindowCount &window = burn.windows[i];
        windows[windowNames[i]] = {{"good", window.good},
                                   {"total", window.total},
                                   {"burn", burnRate(window, burn.objectivePercent)},
                                   {"covered_seconds", window.coveredSeconds}};
    }
    return {{"service", burn.service},
            {"class", burn.serviceClass},
            {"objective_percent", burn.objectivePercent},
            {"measures", burn.timed ? "within_both_targets" : "answered"},
            {"alert", alertName(burn.alert)},
            {"budget_30d_spent", budgetSpent(burn.windows.back(), burn.objectivePercent)},
            {"windows", windows}};
}

} // namespace

std::string reportText(const ServiceReport &report)
{
    std::string out;
    for (const std::string &name : report.findings.unreachable) {
        out += fmt::format("NOT COUNTED, unreachable: {}\n", name);
    }
    for (const ServiceBurn &burn : report.services) {
        out += burnText(burn);
    }
    out += fmt::format("in the last {} s:\n", report.coveredSeconds);
    out += listText("refused, by code", report.refusals);
    out += listText("prefill tokens wasted, by cause", report.wasted);
    out += listText("calls, by service and outcome", report.calls);
    out += fmt::format("keys whose outcome is not known: {}{}\n", report.findings.doubtfulKeys.size(),
                       report.findings.allKeysRead ? "" : " (not all of the ledger was read)");
    for (const std::string &key : report.findings.doubtfulKeys) {
        out += "    " + key + "\n";
    }
    return out;
}

std::string reportJson(const ServiceReport &report)
{
    Json services = Json::array();
    for (const ServiceBurn &burn : report.services) {
        services.push_back(burnJson(burn));
    }
    const Json json = {{"time", report.time},
                       {"covered_seconds", report.coveredSeconds},
                       {"services", services},
                       {"refused", listJson(report.refusals)},
                       {"wasted_prefill_tokens", listJson(report.wasted)},
                       {"calls", listJson(report.calls)},
                       {"unknown_outcomes", report.findings.doubtfulKeys},
                       {"unknown_outcomes_complete", report.findings.allKeysRead},
                       {"unreachable", report.findings.unreachable}};
    return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace fescuesill
