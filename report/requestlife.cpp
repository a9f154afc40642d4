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

// What a change is compared with, of a request that has a line.
struct Scene {
    explicit Scene(const std::vector<LogLine> &moments)
        : first(parseLogTime(moments.front().time))
        , last(parseLogTime(moments.back().time))
    {
        for (const LogLine &moment : moments) {
            this->hosts.insert(moment.host);
            for (std::string &partner : partnersIn(moment)) {
                this->partners.insert(std::move(partner));
            }
        }
    }

    bool isNear(const LogLine &line) const
    {
        const auto at = parseLogTime(line.time);
        return at && this->first && this->last && *at >= *this->first - around && *at <= *this->last + around;
    }
    // Of the registry every host tells the same; the hosts of the request are enough.
    bool concerns(const LogLine &line) const
    {
        if (this->hosts.count(line.host) == 0) {
            return false;
        }
        const auto named = partnersIn(line);
        return !isEndpointChange(line) || std::any_of(named.begin(), named.end(), [this](const std::string &name) {
            return this->partners.count(name) != 0;
        });
    }

    std::optional<Duration> first;
    std::optional<Duration> last;
    std::set<std::string> hosts;
    std::set<std::string> partners; // engines and endpoints
};

std::vector<std::string> missingFrom(const std::vector<LogLine> &moments, const std::vector<LogLine> &changes,
                                     const Scene &scene)
{
    std::vector<std::string> missing;
    if (std::none_of(moments.begin(), moments.end(), isEnd)) {
        missing.push_back("no line tells how it ended: the host that took it died or its log is not here");
        for (const LogLine &change : changes) {
            if (change.event == "started" && change.time > moments.back().time && scene.isNear(change)) {
                missing.push_back(fmt::format("host {} started again at {}", change.host, change.time));
            }
        }
    }
    const bool hasPlace = std::any_of(moments.begin(), moments.end(), [](const LogLine &moment) {
        return moment.event == "place_tried" || moment.event == "place_rejected";
    });
    const bool needsPlace = std::any_of(moments.begin(), moments.end(), [](const LogLine &moment) {
        return moment.event == "generation_ended" && !moment.value("engine").empty();
    });
    if (needsPlace && !hasPlace) {
        missing.push_back("no line tells who placed it: the log of the host that led then is not here");
    }
    return missing;
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
}

bool RequestLife::isEmpty() const
{
    return this->moments.empty();
}

std::string RequestLife::text() const
{
    if (this->moments.empty()) {
        return {};
    }
    const auto ordered = inOrderOfTime(this->moments);
    const auto orderedChanges = inOrderOfTime(this->changes);
    const Scene scene(ordered);
    std::string out;
    for (const LogLine &moment : ordered) {
        out += moment.text() + "\n";
    }
    std::vector<const LogLine *> shown;
    for (const LogLine &change : orderedChanges) {
        if (scene.concerns(change) && scene.isNear(change)) {
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
    for (const std::string &what : missingFrom(ordered, orderedChanges, scene)) {
        out += "missing: " + what + "\n";
    }
    return out;
}

} // namespace fescuesill
