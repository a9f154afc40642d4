#include "wire/log.h"

#include <fmt/format.h>

#include <fmt/chrono.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <iterator>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

// The logging thread formats a line and a thread of the logger writes it, so a pipe that nobody reads blocks no caller.
// A full queue drops the oldest lines, because the last lines before a fault explain it best.

namespace fescuesill
{
namespace
{

// Capacity of the queue. A line takes about 400 bytes. A busy host logs about a hundred lines a second, so the queue
// covers several seconds in which nobody reads the output.
constexpr std::size_t maxQueuedLines = 1024;

struct LogState {
    std::string process = "fescuesill";
    std::string host; // formatted for a line: " host=NAME", or empty
    LogLevel minLevel = LogLevel::Info;
    std::shared_ptr<spdlog::details::thread_pool> writer; // null until opened
    std::shared_ptr<spdlog::async_logger> logger;
    std::atomic<std::size_t> reportedDrops{0}; // number of dropped lines that the log has reported
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

// Logged values may contain bytes sent by callers. Quoting keeps each event on one line.
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

void put(std::string_view line)
{
    if (state().logger) {
        state().logger->info(spdlog::string_view_t(line.data(), line.size()));
        return;
    }
    std::fwrite(line.data(), 1, line.size(), stderr);
    std::fputc('\n', stderr);
}

void reportDroppedLines()
{
    if (!state().writer) {
        return;
    }
    const std::size_t count = state().writer->overrun_counter();
    const std::size_t before = state().reportedDrops.exchange(count);
    if (count > before) {
        fmt::memory_buffer line;
        appendTime(line);
        fmt::format_to(std::back_inserter(line), " level=warning process={}{} event=log_lines_left_out count={}",
                       state().process, state().host, count - before);
        put({line.data(), line.size()});
    }
}

void write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < state().minLevel) {
        return;
    }
    fmt::memory_buffer line;
    appendTime(line);
    fmt::format_to(std::back_inserter(line), " level={} process={}{} event={}",
                   levelNames[static_cast<std::size_t>(level)], state().process, state().host, event);
    for (const LogField &field : fields) {
        fmt::format_to(std::back_inserter(line), " {}=", field.key);
        appendQuoted(line, field.value);
    }
    put({line.data(), line.size()});
    reportDroppedLines();
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

void Log::open(std::string process, LogLevel minLevel, const std::string &host)
{
    state().process = std::move(process);
    state().host = host.empty() ? std::string() : " host=" + host;
    state().minLevel = minLevel;
    state().writer = std::make_shared<spdlog::details::thread_pool>(maxQueuedLines, 1);
    state().logger =
        std::make_shared<spdlog::async_logger>("fescuesill", std::make_shared<spdlog::sinks::stdout_sink_st>(),
                                               state().writer, spdlog::async_overflow_policy::overrun_oldest);
    state().logger->set_pattern("%v");
    state().logger->flush_on(spdlog::level::info);
}

std::size_t Log::droppedLines()
{
    return state().writer ? state().writer->overrun_counter() : 0;
}

void Log::close()
{
    state().logger.reset();
    state().writer.reset(); // its thread exits after it has written the queue
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
