// apply, rollback and history. A rollback is an ordinary change whose text is an old one: versions only go up, so no
// process can take it for something it already left behind.

#include "commands.h"
#include "configuration.h"
#include "fleet.h"
#include "tablecall.h"
#include "teller.h"

#include "declare/difference.h"
#include "declare/values.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace fescuesill::ctl
{

namespace
{

constexpr Duration pollPause = 500ms;
constexpr Duration defaultLimit = 30s;
// 420 changes a day: a year and a half of them.
constexpr std::size_t mostVersions = 200000;

struct Change {
    std::string text;
    std::string name; // of the text, in messages
    ConfigVersion base;
};

Declaration declarationOf(const std::optional<ConfigRecord> &record)
{
    return record ? parseDeclaration(record->text, "in force") : Declaration();
}

void showWinner(const Change &change, const config_action::Finish &finish)
{
    if (!finish.other) {
        fmt::print(stderr, "another change came first\n");
        return;
    }
    const ConfigRecord &other = *finish.other;
    fmt::print(stderr, "another change came first: version {} by {}: {}\nwhat it is, seen from your text:\n{}",
               other.version.value(), other.author, other.reason,
               Difference::between(parseDeclaration(change.text, change.name), declarationOf(other)).text());
}

// Live processes that don't have the version; one that doesn't answer is among them.
std::vector<std::string> missingVersion(Session &session, ConfigVersion version)
{
    std::vector<std::string> missing;
    for (const ProcessView &process : askFleet(session, "/status")) {
        const std::optional<ProcessStatus> status = readStatus(process);
        if (process.leaving || (status && status->version >= version.value())) {
            continue;
        }
        missing.push_back(status ? fmt::format("{}: version {}", process.name(), status->version)
                                 : fmt::format("{}: no status: {}", process.name(), process.answer.error));
    }
    return missing;
}

ExitCode waitForAll(Session &session, ConfigVersion version, Duration limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    std::vector<std::string> missing = missingVersion(session, version);
    while (!missing.empty() && std::chrono::steady_clock::now() < end) {
        session.pause(pollPause);
        missing = missingVersion(session, version);
    }
    if (missing.empty()) {
        fmt::print("version {} is in force on every live process\n", version.value());
        return ExitCode::Ok;
    }
    for (const std::string &line : missing) {
        fmt::print(stderr, "not in force on {}\n", line);
    }
    return ExitCode::Failed;
}

ExitCode finishWith(Session &session, const CommandLine &line, ConfigVersion version)
{
    return line.has("wait") ? waitForAll(session, version, line.duration("limit", defaultLimit)) : ExitCode::Ok;
}

ExitCode make(Session &session, const CommandLine &line, const Change &change)
{
    const Teller teller(session, operatorKeys(line));
    const std::string changeId = line.text("change-id", newChangeId());
    const ConfigRecord record{change.base + ConfigVersion(1), line.required("author"), line.required("reason"),
                              changeId, change.text};
    const config_action::Finish finish = submit(session, record, change.base);
    switch (finish.outcome) {
    case ConfigOutcome::Accepted:
        fmt::print("version {} accepted\n", record.version.value());
        teller.tell(record);
        return finishWith(session, line, record.version);
    case ConfigOutcome::Lost:
        showWinner(change, finish);
        return ExitCode::Conflict;
    case ConfigOutcome::NotMade:
        throw CommandError(ExitCode::Failed, "the platform's table takes no writes now; nothing was changed");
    case ConfigOutcome::Unknown:
        throw CommandError(ExitCode::Failed,
                           fmt::format("the table did not answer and the change may have been made; repeat with "
                                       "--change-id {} --base {}",
                                       changeId, change.base.value()));
    case ConfigOutcome::Malformed:
        break;
    }
    throw CommandError(ExitCode::Failed, "the row config/current is missing or does not parse; nothing was changed");
}

ExitCode proposeAndMake(Session &session, const CommandLine &line, const Change &change,
                        const std::optional<ConfigRecord> &current)
{
    line.required("author");
    line.required("reason");
    const Declaration proposed = parseDeclaration(change.text, change.name);
    const Difference difference = Difference::between(declarationOf(current), proposed);
    fmt::print("{}", difference.text());
    if (current && difference.isEmpty() && !line.has("change-id")) {
        return finishWith(session, line, current->version);
    }
    if (difference.lowersCapacity() && !line.has("yes")) {
        fmt::print(stderr, "this lowers declared capacity; repeat it with --yes if that is meant\n");
        return ExitCode::NeedsConfirmation;
    }
    return make(session, line, change);
}

ConfigVersion versionNumber(const std::string &text)
{
    const auto number = parseNumber(text);
    if (!number || *number < 0) {
        throw CommandError(ExitCode::BadInput, fmt::format("version: '{}'; allowed: a whole number from 0", text));
    }
    return ConfigVersion(*number);
}

ConfigVersion baseOf(const CommandLine &line, const std::string &text, const std::optional<ConfigRecord> &current)
{
    if (line.has("base")) {
        return versionNumber(line.text("base"));
    }
    return versionOf(text).value_or(current ? current->version : ConfigVersion(0));
}

} // namespace

ExitCode runApply(const CommandLine &line)
{
    const std::string path = line.operands().front();
    const Declaration proposed = readDeclaration(path);
    Session session(platformAddress(line));
    const std::optional<ConfigRecord> current = readCurrent(session);
    const Change change{withoutVersionLine(proposed.text), path, baseOf(line, proposed.text, current)};
    return proposeAndMake(session, line, change, current);
}

ExitCode runRollback(const CommandLine &line)
{
    const ConfigVersion target = versionNumber(line.operands().front());
    Session session(platformAddress(line));
    const std::optional<ConfigRecord> current = readCurrent(session);
    const std::optional<ConfigRecord> earlier = readVersion(session, target);
    if (!current || !earlier) {
        throw CommandError(ExitCode::Failed, fmt::format("there is no version {}", target.value()));
    }
    const std::string name = fmt::format("version {}", target.value());
    return proposeAndMake(session, line, {earlier->text, name, current->version}, current);
}

ExitCode runHistory(const CommandLine &line)
{
    Session session(platformAddress(line));
    std::vector<ConfigRecord> records;
    for (const Row &row : session.rows("config/history/", mostVersions)) {
        auto record = decodeConfigRecord(row.value);
        if (!record) {
            fmt::print(stderr, "row {} does not parse: {}\n", row.key, record.error().text);
            continue;
        }
        records.push_back(std::move(*record));
    }
    std::sort(records.begin(), records.end(),
              [](const ConfigRecord &a, const ConfigRecord &b) { return a.version > b.version; });
    for (const ConfigRecord &record : records) {
        fmt::print("{}  {}  {}: {}\n", record.version.value(), record.changeId, record.author, record.reason);
    }
    return ExitCode::Ok;
}

} // namespace fescuesill::ctl
