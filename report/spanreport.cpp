// A host answers hundreds of requests a second and changes its mind some times a minute: the changes are shown as they
// stand, and between them the requests of each second as counts by event and outcome. A number that jumps right after a
// change is where to look next, with the life of one request of that second.

#include "report/spanreport.h"

#include "report/logevents.h"
#include "report/logtime.h"

#include <fmt/format.h>

#include <algorithm>

namespace fescuesill
{

namespace
{

constexpr std::size_t mostChanges = 100000; // in one span; more is a span to be cut
constexpr std::size_t secondsLength = std::string_view("2026-01-02T03:04:05").size();

// How a line counts: its event, and what it says of its outcome.
std::string outcomeOf(const LogLine &line)
{
    for (const std::string_view key : {"outcome", "code", "status"}) {
        if (const auto value = line.value(key); !value.empty()) {
            return fmt::format("{}:{}", line.event, value);
        }
    }
    return line.event;
}

} // namespace

bool SpanReport::isAsked(const LogLine &line) const
{
    if (this->query.kind == Of::Host) {
        return line.host == this->query.name;
    }
    const auto partners = partnersIn(line);
    return std::find(partners.begin(), partners.end(), this->query.name) != partners.end();
}

void SpanReport::read(std::string_view log)
{
    forEachLine(log, [this](std::string_view text) {
        auto line = LogLine::parse(text);
        const auto at = line ? parseLogTime(line->time) : std::nullopt;
        const bool isInSpan =
            at && (!this->query.from || *at >= *this->query.from) && (!this->query.to || *at <= *this->query.to);
        if (!isInSpan || !this->isAsked(*line)) {
            return;
        }
        if (!line->value("request").empty()) {
            ++this->requests[line->time.substr(0, secondsLength)][outcomeOf(*line)];
        } else if (this->changes.size() < mostChanges) {
            this->changes.push_back(std::move(*line));
        } else {
            ++this->leftOut;
        }
    });
}

bool SpanReport::isEmpty() const
{
    return this->changes.empty() && this->requests.empty();
}

std::string SpanReport::text() const
{
    std::string out;
    const auto ordered = inOrderOfTime(this->changes);
    auto change = ordered.begin();
    const auto putChangesBefore = [&](const std::string &time) {
        for (; change != ordered.end() && (time.empty() || change->time < time); ++change) {
            out += change->text() + "\n";
        }
    };
    for (const auto &[second, outcomes] : this->requests) {
        putChangesBefore(second);
        out += fmt::format("{}       requests  ", second);
        for (const auto &[outcome, count] : outcomes) {
            out += fmt::format(" {}={}", outcome, count);
        }
        out += "\n";
    }
    putChangesBefore({});
    if (this->leftOut > 0) {
        out += fmt::format("missing: {} changes are left out; choose a shorter span\n", this->leftOut);
    }
    return out;
}

} // namespace fescuesill
