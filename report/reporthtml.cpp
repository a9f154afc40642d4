// The report as one page of its own: no script, no font or picture from elsewhere, so that it can be mailed and opened
// on a phone. Everything that comes from outside is escaped.

#include "report/servicereport.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <ctime>

namespace fescuesill
{

namespace
{

constexpr double plotWidth = 340;
constexpr double plotHeight = 96;
constexpr double pageLine = 14.4;
// The plot reaches at least a little over the page line, so that the same height means the same in quiet times.
constexpr double leastTop = 16;

constexpr const char *head =
    "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
    "<meta name=\"viewport\" content=\"width=device-width,initial-scale=1\"><title>Service-level burn</title><style>"
    "body{font:16px/1.45 system-ui,sans-serif;margin:0 auto;max-width:46rem;padding:1rem;color:#1b1f24;"
    "background:#fff}h1{font-size:1.4rem}h2{font-size:1.1rem;margin:0}section{border:1px solid #d5d9de;"
    "border-radius:.5rem;padding:.8rem;margin:0 0 .9rem}table{border-collapse:collapse;width:100%}"
    "td,th{text-align:right;padding:.2rem .3rem;border-bottom:1px solid #eceff2}"
    "td:first-child,th:first-child{text-align:left;overflow-wrap:anywhere}svg{width:100%;height:auto;display:block}"
    ".badge{float:right;border-radius:.4rem;padding:.05rem .5rem;font-size:.9rem}.none{background:#dff3e4}"
    ".ticket{background:#ffe9b8}.page{background:#b3261e;color:#fff}.warn{background:#fde4e2}"
    ".note{color:#57606a;font-size:.9rem}</style></head><body>";

std::string escaped(const std::string &text)
{
    std::string out;
    for (const char letter : text) {
        switch (letter) {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += letter;
        }
    }
    return out;
}

std::string plot(const ServiceBurn &burn)
{
    double top = leastTop;
    for (const double value : burn.burnOverTime) {
        top = std::max(top, value * 1.1);
    }
    const auto height = [&](double value) {
        return plotHeight - 4 - value / top * (plotHeight - 8);
    };
    std::string points;
    const double step = plotWidth / static_cast<double>(std::max<std::size_t>(burn.burnOverTime.size(), 2) - 1);
    for (std::size_t i = 0; i < burn.burnOverTime.size(); ++i) {
        points += fmt::format("{:.1f},{:.1f} ", step * static_cast<double>(i), height(burn.burnOverTime[i]));
    }
    return fmt::format("<svg viewBox=\"0 0 {0} {1}\" role=\"img\" aria-label=\"burn over six hours\">"
                       "<line x1=\"0\" x2=\"{0}\" y1=\"{2:.1f}\" y2=\"{2:.1f}\" stroke=\"#b3261e\" "
                       "stroke-dasharray=\"4 4\"/><line x1=\"0\" x2=\"{0}\" y1=\"{3:.1f}\" y2=\"{3:.1f}\" "
                       "stroke=\"#8c959f\"/><polyline points=\"{4}\" fill=\"none\" stroke=\"#0b57d0\" "
                       "stroke-width=\"2\"/><text x=\"2\" y=\"{5:.1f}\" font-size=\"10\" fill=\"#b3261e\">page "
                       "14.4</text></svg>",
                       plotWidth, plotHeight, height(pageLine), height(0), points, height(pageLine) - 3);
}

std::string timeText(std::int64_t seconds)
{
    constexpr std::int64_t minute = 60;
    return seconds < 2 * minute ? fmt::format("{} s", seconds) : fmt::format("{} min", seconds / minute);
}

std::string windowRow(const char *name, const ServiceBurn &burn, const WindowCount &window)
{
    const std::string share = window.total > 0 ? fmt::format("{:.2f}%", 100 * window.good / window.total) : "–";
    return fmt::format("<tr><td>{}<br><small>{}</small></td><td>{:.0f} / {:.0f}</td><td>{}</td><td>{:.1f}</td></tr>",
                       name, timeText(window.coveredSeconds), window.good, window.total, share,
                       burnRate(window, burn.objectivePercent));
}

std::string serviceSection(const ServiceBurn &burn)
{
    const std::string measure = burn.timed ? "within both targets" : "answered";
    return fmt::format(
        "<section><span class=\"badge {0}\">{11}</span><h2>{1}</h2><p class=\"note\">class {2}, objective "
        "{3}% {4}; {5:.2f}% of the 30-day budget spent in the last {6}</p>{7}"
        "<p class=\"note\">burn in steps of 10 min, the last 6 "
        "h</p><table><tr><th>window<br><small>sampled</small></th>"
        "<th>good / all</th><th>share</th><th>burn</th></tr>{8}{9}{10}</table></section>",
        alertName(burn.alert), escaped(burn.service), escaped(burn.serviceClass), burn.objectivePercent, measure,
        100 * budgetSpent(burn.windows[2], burn.objectivePercent), timeText(burn.windows[2].coveredSeconds), plot(burn),
        windowRow("5 min", burn, burn.windows[0]), windowRow("1 h", burn, burn.windows[1]),
        windowRow("6 h", burn, burn.windows[2]), burn.alert == AlertLevel::None ? "no alert" : alertName(burn.alert));
}

std::string listSection(const std::string &title, const std::vector<Tallied> &items)
{
    std::string rows;
    for (const Tallied &item : items) {
        rows += fmt::format("<tr><td>{}</td><td>{:.0f}</td></tr>", escaped(item.name), item.count);
    }
    return fmt::format("<section><h2>{}</h2>{}</section>", title,
                       rows.empty() ? "<p class=\"note\">none</p>" : "<table>" + rows + "</table>");
}

std::string nameSection(const std::string &title, const std::vector<std::string> &names, const std::string &note)
{
    if (names.empty() && note.empty()) {
        return "";
    }
    std::string items;
    for (const std::string &name : names) {
        items += fmt::format("<li>{}</li>", escaped(name));
    }
    return fmt::format("<section class=\"warn\"><h2>{}</h2><ul>{}</ul>{}</section>", title, items, note);
}

} // namespace

std::string reportHtml(const ServiceReport &report)
{
    std::string out = head;
    out += fmt::format("<h1>Service-level burn</h1><p class=\"note\">{:%Y-%m-%d %H:%M} UTC; counters of the last {}; "
                       "a burn of 1 would just use up the budget</p>",
                       fmt::gmtime(static_cast<std::time_t>(report.time)), timeText(report.coveredSeconds));
    out += nameSection("Not counted: can't be reached", report.findings.unreachable, "");
    for (const ServiceBurn &burn : report.services) {
        out += serviceSection(burn);
    }
    out += nameSection("Keys whose outcome is not known", report.findings.doubtfulKeys,
                       report.findings.allKeysRead ? "" : "<p>Not all of the ledger was read.</p>");
    out += listSection("Refused, by code", report.refusals);
    out += listSection("Prefill tokens wasted, by cause", report.wasted);
    out += listSection("Calls, by service and outcome", report.calls);
    return out + "</body></html>\n";
}

} // namespace fescuesill
