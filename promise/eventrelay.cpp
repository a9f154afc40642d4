// An event ends with a blank line. Only the bytes up to the last blank line are relayed, unchanged. Ids are read from
// these bytes, so the last id always belongs to an event that was relayed completely.

#include "promise/eventrelay.h"

namespace fescuesill
{
namespace
{

// The position after the last blank line; npos where there is none.
std::size_t endOfLastEvent(std::string_view text)
{
    std::size_t end = std::string_view::npos;
    if (const auto plain = text.rfind("\n\n"); plain != std::string_view::npos) {
        end = plain + 2;
    }
    if (const auto withReturns = text.rfind("\r\n\r\n"); withReturns != std::string_view::npos) {
        end = end == std::string_view::npos ? withReturns + 4 : std::max(end, withReturns + 4);
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
