// An event ends with a blank line. Only the bytes up to the last blank line are relayed, unchanged. Ids are read from
// these bytes, so the last id always belongs to an event that was relayed completely.

#include "promise/eventrelay.h"

#include <array>

namespace fescuesill
{
namespace
{

// A blank line after the end of another one, in each mixture of line ends with a line feed.
constexpr std::array<std::string_view, 2> blankLines = {"\n\n", "\n\r\n"};

// The position after the last blank line; npos where there is none.
std::size_t endOfLastEvent(std::string_view text)
{
    std::size_t end = std::string_view::npos;
    for (const std::string_view blank : blankLines) {
        const std::size_t found = text.rfind(blank);
        if (found != std::string_view::npos) {
            end = end == std::string_view::npos ? found + blank.size() : std::max(end, found + blank.size());
        }
    }
    return end;
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\r')) {
        text.remove_suffix(1);
    }
    return text;
}

} // namespace

void EventRelay::recordEvents(std::string_view events)
{
    bool isBlank = false; // of the previous line
    while (!events.empty()) {
        const std::size_t end = events.find('\n');
        const std::string_view line = trimmed(events.substr(0, end));
        events.remove_prefix(std::min(events.size(), end + 1));
        this->eventCount += line.empty() && !isBlank ? 1 : 0;
        isBlank = line.empty();
        if (line.substr(0, 3) == "id:") {
            this->lastId = std::string(trimmed(line.substr(3)));
        }
    }
}

bool EventRelay::isInsideEvent() const
{
    std::string_view left = this->pending;
    while (!left.empty()) {
        const std::size_t end = left.find('\n');
        const std::string_view line = trimmed(left.substr(0, end));
        const bool isWhole = end != std::string_view::npos;
        if (!isWhole || !(line.empty() || line.front() == ':')) {
            return true;
        }
        left.remove_prefix(end + 1);
    }
    return false;
}

std::string EventRelay::take(std::string_view bytes)
{
    this->eventCount = 0;
    this->pending.append(bytes);
    const std::size_t end = endOfLastEvent(this->pending);
    if (end == std::string_view::npos) {
        return {};
    }
    std::string whole = this->pending.substr(0, end);
    this->pending.erase(0, end);
    this->recordEvents(whole);
    return whole;
}

} // namespace fescuesill
