// An event ends with a blank line. Only the bytes up to the last blank line are relayed, unchanged. Ids are read from
// these bytes, so the last id always belongs to an event that was relayed completely.
//
// Engines may use any increasing ids, so a missing event can't be told; one that comes again can.
//
// An event is made of lines NAME:VALUE, at least one of them a field of the standard, such as "data". Lines that start
// with a colon are comments. The standard lets a reader skip all other lines, so a caller would not see that they are
// no part of the answer; here they are a fault.

#include "promise/eventrelay.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

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

constexpr auto maxPendingBytes = static_cast<std::size_t>(EventRelay::maxPending.value());

// How the head of an answer begins. Where an answer ends with its connection, a second one after it looks like a part
// of its body.
constexpr std::string_view statusLine = "HTTP/1.";

std::optional<std::uint64_t> numberIn(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

constexpr std::array<std::string_view, 4> standardFields = {"data", "id", "event", "retry"};
constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF"; // may come before the first line

enum class LineKind {
    Blank,
    Comment,
    StandardField,
    OtherField,
    NoField,
};

bool isNameLetter(char letter)
{
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9')
        || letter == '-' || letter == '_';
}

LineKind kindOf(std::string_view line)
{
    if (line.empty()) {
        return LineKind::Blank;
    }
    const std::size_t end = line.find(':');
    const std::string_view name = line.substr(0, end);
    if (std::find(standardFields.begin(), standardFields.end(), name) != standardFields.end()) {
        return LineKind::StandardField;
    }
    if (name.empty()) {
        return LineKind::Comment;
    }
    const bool isField = end != std::string_view::npos && std::all_of(name.begin(), name.end(), isNameLetter);
    return isField ? LineKind::OtherField : LineKind::NoField;
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

const char *nameOf(RelayFault fault)
{
    switch (fault) {
    case RelayFault::None:
        return "none";
    case RelayFault::NotContinued:
        return "events that do not continue the stream";
    case RelayFault::NoEvent:
        return "bytes that are no events";
    case RelayFault::TooLong:
        return "an event without an end";
    case RelayFault::TooMany:
        return "more events than were asked for";
    }
    return "none";
}

EventRelay::EventRelay(std::string_view before, std::int64_t maxEvents)
    : lastNumber(numberIn(before))
    , maxCount(maxEvents)
{
}

RelayFault EventRelay::recordEvent(std::string_view event)
{
    const std::size_t size = event.size();
    bool hasField = false;
    bool hasStandardField = false;
    if (this->totalCount == 0 && event.substr(0, byteOrderMark.size()) == byteOrderMark) {
        event.remove_prefix(byteOrderMark.size());
    }
    std::string id = this->lastId;
    std::optional<std::uint64_t> number = this->lastNumber;
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        const std::string_view line = trimmed(event.substr(0, end));
        event.remove_prefix(std::min(event.size(), end + 1));
        if (line.substr(0, statusLine.size()) == statusLine) {
            return RelayFault::NotContinued;
        }
        const LineKind kind = kindOf(line);
        if (kind == LineKind::NoField) {
            return RelayFault::NoEvent;
        }
        hasStandardField = hasStandardField || kind == LineKind::StandardField;
        hasField = hasField || kind == LineKind::StandardField || kind == LineKind::OtherField;
        if (line.substr(0, 3) == "id:") {
            id = std::string(trimmed(line.substr(3)));
            number = numberIn(id);
            if (number && this->lastNumber && *number <= *this->lastNumber) {
                return RelayFault::NotContinued;
            }
        }
    }
    if (!hasField) {
        this->commentBytes += size;
        return this->commentBytes > maxPendingBytes ? RelayFault::TooLong : RelayFault::None;
    }
    if (!hasStandardField) {
        return RelayFault::NoEvent;
    }
    if (this->totalCount >= this->maxCount) {
        return RelayFault::TooMany;
    }
    this->lastId = std::move(id);
    this->lastNumber = number ? number : this->lastNumber;
    this->commentBytes = 0;
    ++this->eventCount;
    ++this->totalCount;
    return RelayFault::None;
}

std::size_t EventRelay::recordEvents(std::string_view events)
{
    std::size_t begin = 0; // of the current event
    std::size_t at = 0;
    bool hasLines = false; // other than blank ones, in the current event
    while (at < events.size()) {
        const std::size_t end = std::min(events.find('\n', at), events.size() - 1) + 1;
        const bool isBlank = trimmed(events.substr(at, end - at - 1)).empty();
        at = end;
        hasLines = hasLines || !isBlank;
        if (isBlank && hasLines) {
            this->found = this->recordEvent(events.substr(begin, at - begin));
            if (this->found != RelayFault::None) {
                return begin;
            }
            begin = at;
            hasLines = false;
        }
    }
    return at;
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
    if (this->found != RelayFault::None) {
        return {};
    }
    this->pending.append(bytes);
    std::string whole;
    if (const std::size_t end = endOfLastEvent(this->pending); end != std::string_view::npos) {
        whole = this->pending.substr(0, end);
        this->pending.erase(0, end);
        whole.resize(this->recordEvents(whole));
    }
    if (this->found != RelayFault::None) {
        this->pending.clear();
    } else if (this->pending.size() > maxPendingBytes) {
        this->found = RelayFault::TooLong;
    }
    return whole;
}

} // namespace fescuesill
