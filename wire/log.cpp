#include "wire/log.h"

#include <fmt/format.h>

#include <fmt/chrono.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <iterator>

// A line is built whole and written by one fwrite, which locks the stream, so lines of several threads never mix.

namespace fescuesill
{
namespace
{

struct LogState {
    std::string process = "fescuesill";
    LogLevel least = LogLevel::Info;
};

LogState &state()
{
    static LogState instance;
    return instance;
}

constexpr std::string_view levelNames[] = {"debug", "info", "warning", "error"};

bool needsQuotes(std::string_view text)
{
    for (const char c : text) {
        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == '\x7f') {
            return true;
        }
    }
    return text.empty();
}

// What a caller sent may end up in a log: quoting keeps one event on one line.
void appendQuoted(fmt::memory_buffer &line, std::string_view text)
{
    if (!needsQuotes(text)) {
        line.append(text);
        return;
    }
    line.push_back('"');
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            line.push_back('\\');
            line.push_back(c);
        } else if (static_cast<unsigned char>(c) < ' ' || c == '\x7f') {
            fmt::format_to(std::back_inserter(line), "\\x{:02x}", static_cast<unsigned char>(c));
        } else {
            line.push_back(c);
        }
    }
    line.push_back('"');
}

void appendTime(fmt::memory_buffer &line)
{
    const auto now = std::chrono::system_clock::now();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    fmt::format_to(std::back_inserter(line), "time={:%Y-%m-%dT%H:%M:%S}.{:03}Z", parts, millis);
}

void write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < state().least) {
        return;
    }
    fmt::memory_buffer line;
    appendTime(line);
    fmt::format_to(std::back_inserter(line), " level={} process={} event={}",
                   levelNames[static_cast<std::size_t>(level)], state().process, event);
    for (const LogField &field : fields) {
        fmt::format_to(std::back_inserter(line), " {}=", field.key);
        appendQuoted(line, field.value);
    }
    line.push_back('\n');
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace

LogField::LogField(std::string_view name, std::string_view text)
    : key(name)
    , value(text)
{
}

LogField::LogField(std::string_view name, const char *text)
    : key(name)
    , value(text)
{
}

LogField::LogField(std::string_view name, const std::string &text)
    : key(name)
    , value(text)
{
}

LogField::LogField(std::string_view name, std::int64_t number)
    : key(name)
    , value(std::to_string(number))
{
}

LogField::LogField(std::string_view name, std::uint64_t number)
    : key(name)
    , value(std::to_string(number))
{
}

LogField::LogField(std::string_view name, int number)
    : key(name)
    , value(std::to_string(number))
{
}

LogField::LogField(std::string_view name, double number)
    : key(name)
    , value(fmt::format("{:.3f}", number))
{
}

LogField::LogField(std::string_view name, bool flag)
    : key(name)
    , value(flag ? "yes" : "no")
{
}

void Log::open(std::string process, LogLevel least)
{
    state().process = std::move(process);
    state().least = least;
}

void Log::debug(std::string_view event, std::initializer_list<LogField> fields)
{
    write(LogLevel::Debug, event, fields);
}

void Log::info(std::string_view event, std::initializer_list<LogField> fields)
{
    write(LogLevel::Info, event, fields);
}

void Log::warning(std::string_view event, std::initializer_list<LogField> fields)
{
    write(LogLevel::Warning, event, fields);
}

void Log::error(std::string_view event, std::initializer_list<LogField> fields)
{
    write(LogLevel::Error, event, fields);
}

std::optional<LogLevel> Log::parseLevel(std::string_view name)
{
    for (std::size_t level = 0; level < std::size(levelNames); ++level) {
        if (levelNames[level] == name) {
            return static_cast<LogLevel>(level);
        }
    }
    return std::nullopt;
}

} // namespace fescuesill
