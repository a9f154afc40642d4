#pragma once

// Structured logs on standard output, one key=value line for each event.
//
//     Log::open("entry", LogLevel::Info);      // without it, as in command-line tools, lines go to standard error
//     Log::info("placed", {{"request", id.value()}, {"engine", engine.value()}, {"waited_ms", 12}});
//     // time=2026-01-02T03:04:05.678Z level=info process=entry event=placed request=r1 engine=a-p1 waited_ms=12

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace fescuesill
{

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

// A key and its value. Values that are empty or contain spaces, quotes, backslashes, '=' or control characters are
// quoted.
struct LogField {
    LogField(std::string_view name, std::string_view text);
    LogField(std::string_view name, const char *text);
    LogField(std::string_view name, const std::string &text);
    LogField(std::string_view name, std::int64_t number);
    LogField(std::string_view name, std::uint64_t number);
    LogField(std::string_view name, int number);
    LogField(std::string_view name, double number);
    LogField(std::string_view name, bool flag);

    std::string_view key;
    std::string value;
};

class Log
{
public:
    // Called once, before any threads start. From then on logging never blocks: lines go into a bounded queue, which a
    // separate thread writes out. If the reader of the output is too slow, the oldest lines are dropped, and a line
    // reports how many. Each line names `host` if it is not empty.
    static void open(std::string process, LogLevel minLevel, const std::string &host = {});
    // The number of lines dropped since the start.
    static std::size_t droppedLines();
    // Writes out the queued lines. Called at the end of a process.
    static void close();

    static void debug(std::string_view event, std::initializer_list<LogField> fields = {});
    static void info(std::string_view event, std::initializer_list<LogField> fields = {});
    static void warning(std::string_view event, std::initializer_list<LogField> fields = {});
    static void error(std::string_view event, std::initializer_list<LogField> fields = {});

    static std::optional<LogLevel> parseLevel(std::string_view name);
};

} // namespace fescuesill
