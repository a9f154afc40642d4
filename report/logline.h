#pragma once

// One line of a log of key=value, as the processes write it.
//
//     const auto line = LogLine::parse("time=2026-01-02T03:04:05.678Z level=info process=entry event=placed
//     request=r1"); if (line && line->event == "placed") { ... line->value("request") ... }

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuesill
{

struct LogValue {
    std::string key;
    std::string text;
};

struct LogLine {
    std::string time; // UTC in one form, so times sort as text
    std::string process;
    std::string host; // empty where the process did not say
    std::string event;
    std::vector<LogValue> values; // the others, as they stand

    // None where it is no such line. What a collector of logs put before it is passed over.
    static std::optional<LogLine> parse(std::string_view text);
    // Empty where it has none.
    std::string_view value(std::string_view key) const;
    // As one line of a report.
    std::string text() const;
};

std::vector<LogLine> inOrderOfTime(std::vector<LogLine> lines);

// Hands each line of a log to `take`, without its end.
template<typename Take>
void forEachLine(std::string_view log, Take take)
{
    while (!log.empty()) {
        const auto end = std::min(log.find('\n'), log.size());
        take(log.substr(0, end));
        log.remove_prefix(std::min(end + 1, log.size()));
    }
}

} // namespace fescuesill
