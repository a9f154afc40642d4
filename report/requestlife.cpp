// A line belongs to the request when its value of `request` or `original` (of a caller that came back) is the id.
// Around it stand the changes of what its hosts believed or could reach, and of the engines and endpoints that its own
// lines name, from some seconds before its first line to some after its last: a cause comes before its effect, and an
// engine that died is seen to be gone some seconds later. Clocks of hosts differ, so lines of two hosts that are
// milliseconds apart may stand in the wrong order.

#include "report/requestlife.h"

#include "report/logevents.h"
#include "report/logtime.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace fescuesill
{

namespace
{

// Of one request: a stream that is moved a hundred times is a fault in itself.
constexpr std::size_t mostMoments = 10000;
// Of all processes: some hundred for each host in a bad hour.
constexpr std::size_t mostChanges = 200000;
// Shown around one request; the nearest ones count.
constexpr std::size_t mostShown = 40;
// An engine's entry lapses after three heartbeats, and a frozen host is missed after some seconds.
constexpr Duration around{5s};

std::set<std::string> partnersOf(const std::vector<LogLine> &moments)
{
    std::set<std::string> partners;
    for (const LogLine &moment : moments) {
        for (std::string &partner : partnersIn(moment)) {
            partners.insert(std::move(partner));
        }
    }
    return partners;
}

std::set<std::string> hostsOf(const std::vector<LogLine> &moments)
{
    std::set<std::string> hosts;
    for (const LogLine &moment : moments) {
        hosts.insert(moment.host);
    }
    return hosts;
}

void sortByTime(std::vector<LogLine> &lines)
{
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine &a, const LogLine &b) { return a.time < b.time; });
}

} // namespace

RequestLife::RequestLife(std::string request)
    : request(std::move(request))
{
}

void RequestLife::read(std::string_view log)
{
    forEachLine(log, [this](std::string_view text) {
        auto line = LogLine::parse(text);
        if (!line) {
            return;
        }
        if (line->value("request") == this->request || line->value("original") == this->request) {
            if (this->moments.size() < mostMoments) {
                this->moments.push_back(std::move(*line));
            }
        } else if (isChange(*line) && this->changes.size() < mostChanges) {
            this->changes.push_back(std::move(*line));
        }
    });
    sortByTime(this->moments);
    sortByTime(this->changes);
}

bool RequestLife::isEmpty() const
{
    return this->moments.empty();
}

// Of the registry every host tells the same; the hosts of the request are enough.
bool RequestLife::concerns(const LogLine &line) const
{
    if (hostsOf(this->moments).count(line.host) == 0) {
        return false;
    }
    if (!isEndpointChange(line)) {
        return true;
    }
    const auto partners = partnersOf(this->moments);
    const auto named = partnersIn(line);
    return std::any_of(named.begin(), named.end(),
                       [&partners](const std::string &name) { return partners.count(name) != 0; });
}

bool RequestLife::isNear(const LogLine &line) const
{
    const auto at = parseLogTime(line.time);
    const auto first = parseLogTime(this->moments.front().time);
    const auto last = parseLogTime(this->moments.back().time);
    return at && first && last && *at >= *first - around && *at <= *last + around;
}

std::vector<std::string> RequestLife::missing() const
{
    std::vector<std::string> missing;
    const LogLine &last = this->moments.back();
    if (!std::any_of(this->moments.begin(), this->moments.end(), isEnd)) {
        missing.push_back("no line tells how it ended: the host that took it died or its log is not here");
        for (const LogLine &change : this->changes) {
            if (change.event == "started" && change.time > last.time && this->isNear(change)) {
                missing.push_back(fmt::format("host {} started again at {}", change.host, change.time));
            }
        }
    }
    const bool hasPlace = std::any_of(this->moments.begin(), this->moments.end(), [](const LogLine &moment) {
        return moment.event == "place_tried" || moment.event == "place_rejected";
    });
    const bool needsPlace = std::any_of(this->moments.begin(), this->moments.end(), [](const LogLine &moment) {
        return moment.event == "generation_ended" && !moment.value("engine").empty();
    });
    if (needsPlace && !hasPlace) {
        missing.push_back("no line tells who placed it: the log of the host that led then is not here");
    }
    return missing;
}

std::string RequestLife::text() const
{
    std::string out;
    for (const LogLine &moment : this->moments) {
        out += moment.text() + "\n";
    }
    if (this->moments.empty()) {
        return out;
    }
    std::vector<const LogLine *> shown;
    for (const LogLine &change : this->changes) {
        if (this->concerns(change) && this->isNear(change)) {
            shown.push_back(&change);
        }
    }
    if (!shown.empty()) {
        out += "around it, on its hosts and of its engines:\n";
    }
    const std::size_t skipped = shown.size() > mostShown ? shown.size() - mostShown : 0;
    for (std::size_t i = skipped; i < shown.size(); ++i) {
        out += "  " + shown[i]->text() + "\n";
    }
    if (skipped > 0) {
        out += fmt::format("  {} earlier ones are left out\n", skipped);
    }
    for (const std::string &what : this->missing()) {
        out += "missing: " + what + "\n";
    }
    return out;
}

} // namespace fescuesill
