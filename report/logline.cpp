#include "report/logline.h"

#include <fmt/format.h>

#include <algorithm>

namespace fescuesill
{

namespace
{

constexpr std::string_view firstKey = "time=";

std::string readValue(std::string_view &line)
{
    std::string value;
    if (line.empty() || line.front() != '"') {
        const auto end = std::min(line.find(' '), line.size());
        value = line.substr(0, end);
        line.remove_prefix(end);
        return value;
    }
    line.remove_prefix(1);
    while (!line.empty() && line.front() != '"') {
        if (line.front() == '\\' && line.size() > 1) {
            line.remove_prefix(1);
        }
        value += line.front();
        line.remove_prefix(1);
    }
    line.remove_prefix(std::min<std::size_t>(1, line.size()));
    return value;
}

// Where the line of the process itself begins.
std::size_t beginOf(std::string_view text)
{
    std::size_t at = text.find(firstKey);
    while (at != std::string_view::npos && at > 0 && text[at - 1] != ' ') {
        at = text.find(firstKey, at + 1);
    }
    return at;
}

void put(LogLine &line, LogValue value)
{
    if (value.key == "time") {
        line.time = std::move(value.text);
    } else if (value.key == "process") {
        line.process = std::move(value.text);
    } else if (value.key == "host" && line.event.empty()) {
        line.host = std::move(value.text); // after the event it is a value of the event's own
    } else if (value.key == "event" && line.event.empty()) {
        line.event = std::move(value.text);
    } else if (value.key != "level") {
        line.values.push_back(std::move(value));
    }
}

} // namespace

std::optional<LogLine> LogLine::parse(std::string_view text)
{
    const std::size_t begin = beginOf(text);
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    text.remove_prefix(begin);
    LogLine line;
    while (!text.empty()) {
        const auto equals = text.find('=');
        if (equals == std::string_view::npos) {
            break;
        }
        std::string key(text.substr(0, equals));
        text.remove_prefix(equals + 1);
        put(line, {std::move(key), readValue(text)});
        text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    }
    return line.event.empty() ? std::nullopt : std::optional(std::move(line));
}

std::string_view LogLine::value(std::string_view key) const
{
    const auto found = std::find_if(this->values.begin(), this->values.end(),
                                    [key](const LogValue &value) { return value.key == key; });
    return found == this->values.end() ? std::string_view() : std::string_view(found->text);
}

std::string LogLine::text() const
{
    std::string out = fmt::format("{}  {:<10} {:<18}", this->time, this->process, this->event);
    if (!this->host.empty()) {
        out += fmt::format(" host={}", this->host);
    }
    for (const LogValue &value : this->values) {
        out += fmt::format(" {}={}", value.key, value.text);
    }
    return out;
}

std::vector<LogLine> inOrderOfTime(std::vector<LogLine> lines)
{
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine &a, const LogLine &b) { return a.time < b.time; });
    return lines;
}

} // namespace fescuesill
