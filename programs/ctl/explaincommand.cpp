#include "commands.h"

#include "report/logtime.h"
#include "report/requestlife.h"
#include "report/spanreport.h"

#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace fescuesill::ctl
{

namespace
{

std::string readLog(const std::string &path)
{
    std::ifstream file;
    if (path != "-") {
        file.open(path);
        if (!file) {
            throw CommandError(ExitCode::BadInput, path + ": can't be read");
        }
    }
    std::ostringstream text;
    text << (path == "-" ? std::cin.rdbuf() : file.rdbuf());
    return text.str();
}

// Reads the logs that stand from that operand on.
template<typename Report>
void readLogs(const CommandLine &line, std::size_t first, Report &report)
{
    for (std::size_t i = first; i < line.operands().size(); ++i) {
        report.read(readLog(line.operands()[i]));
    }
}

std::optional<Duration> timeOption(const CommandLine &line, const std::string &name)
{
    if (!line.has(name)) {
        return std::nullopt;
    }
    const auto at = parseLogTime(line.text(name));
    if (!at) {
        throw CommandError(ExitCode::BadInput,
                           fmt::format("--{} '{}': allowed: a time as in a log line, such as "
                                       "2026-01-02T03:04:05.678Z",
                                       name, line.text(name)));
    }
    return at;
}

SpanReport::Of kindOf(const std::string &name)
{
    if (name == "host") {
        return SpanReport::Of::Host;
    }
    if (name == "engine" || name == "endpoint") {
        return SpanReport::Of::Partner;
    }
    throw CommandError(ExitCode::BadInput, fmt::format("'{}': allowed: host, engine, endpoint", name));
}

} // namespace

ExitCode runExplain(const CommandLine &line)
{
    const std::string request = line.operands().front();
    RequestLife life(request);
    readLogs(line, 1, life);
    if (life.isEmpty()) {
        throw CommandError(ExitCode::Failed, fmt::format("no line about {} in these logs", request));
    }
    fmt::print("{}", life.text());
    return ExitCode::Ok;
}

ExitCode runTimeline(const CommandLine &line)
{
    const std::string name = line.operands()[1];
    SpanReport report({kindOf(line.operands().front()), name, timeOption(line, "from"), timeOption(line, "to")});
    readLogs(line, 2, report);
    if (report.isEmpty()) {
        throw CommandError(ExitCode::Failed, fmt::format("no line about {} in that span of these logs", name));
    }
    fmt::print("{}", report.text());
    return ExitCode::Ok;
}

} // namespace fescuesill::ctl
