// settle: an operator's statement about one call in doubt. What may be stated when, and what becomes of a lost reply,
// is the core's (promise/ledgersettlement.h).

#include "commands.h"
#include "tablecall.h"

#include "declare/values.h"
#include "promise/attempt.h"
#include "promise/ledgersettlement.h"
#include "wire/clock.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <sstream>

namespace fescuesill::ctl
{

namespace
{

// The author's name reaches callers; both stay in a row that is never deleted.
constexpr std::size_t mostAuthor = 64;
constexpr std::size_t mostReason = 500;
constexpr int answerStatus = 200;

std::string bounded(const CommandLine &line, const std::string &option, std::size_t most)
{
    std::string text = line.required(option);
    const bool isPrintable =
        std::all_of(text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) >= 0x20; });
    if (text.size() > most || !isPrintable) {
        throw CommandError(ExitCode::BadInput,
                           fmt::format("--{}: allowed: one line of at most {} bytes", option, most));
    }
    return text;
}

LedgerStatement statementOf(const CommandLine &line)
{
    if (line.has("ran") == line.has("not-run")) {
        throw CommandError(ExitCode::BadInput, "one of --ran and --not-run is needed");
    }
    LedgerStatement statement;
    statement.author = bounded(line, "author", mostAuthor);
    statement.reason = bounded(line, "reason", mostReason);
    statement.changeId = line.text("change-id", newChangeId());
    statement.ran = line.has("ran");
    return statement;
}

std::optional<EndpointAnswer> answerOf(const CommandLine &line)
{
    if (!line.has("answer")) {
        return std::nullopt;
    }
    if (!line.has("ran")) {
        throw CommandError(ExitCode::BadInput, "--answer goes with --ran");
    }
    const std::string path = line.text("answer");
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    const auto most = static_cast<std::size_t>(Attempt::Options().maxStoredAnswer.value());
    if (!file || text.str().empty() || text.str().size() > most) {
        throw CommandError(ExitCode::BadInput, fmt::format("{}: allowed: a file of 1 to {} bytes", path, most));
    }
    const bool isJson = nlohmann::json::accept(text.str());
    return EndpointAnswer{answerStatus, isJson ? "application/json" : "text/plain", text.str()};
}

std::string keyOf(const CommandLine &line)
{
    const std::vector<std::string> &given = line.operands();
    if (!isName(given[0]) || given[1].empty() || given[1].find('/') != std::string::npos || given[2].empty()) {
        throw CommandError(ExitCode::BadInput, "SERVICE WORKSPACE KEY: as fescuesillctl doubtful lists them");
    }
    return ledgerKey(ServiceId(given[0]), WorkspaceId(given[1]), given[2]);
}

settlement_action::Finish submit(Session &session, LedgerSettlement settlement)
{
    SettlementAction action = settlement.start();
    for (;;) {
        if (const auto *finish = std::get_if<settlement_action::Finish>(&action)) {
            return *finish;
        }
        if (const auto *read = std::get_if<settlement_action::Read>(&action)) {
            action = settlement.on(tryRead(session, read->key), sharedNow());
        } else {
            action = settlement.on(tryWrite(session, {std::get<settlement_action::Write>(action).write}), sharedNow());
        }
    }
}

std::string stateText(const LedgerRecord &record)
{
    const char *const state = record.state == LedgerState::Done ? "it ran"
        : record.state == LedgerState::Closed                   ? "it was not run"
                                                                : "it was not sent, and the key may be used again";
    if (!record.stated) {
        return fmt::format("{}, as its own entry {} wrote", state, record.entry.value());
    }
    const LedgerStatement &stated = *record.stated;
    if (stated.ran != (record.state == LedgerState::Done)) {
        return fmt::format("{}; its answer came after {} had stated otherwise ({})", state, stated.author,
                           stated.reason);
    }
    return fmt::format("{}, as stated by {} ({})", state, stated.author, stated.reason);
}

ExitCode show(const settlement_action::Finish &finish, const LedgerStatement &statement)
{
    switch (finish.outcome) {
    case SettlementOutcome::Settled:
        fmt::print("settled: {}\n", stateText(*finish.record));
        return ExitCode::Ok;
    case SettlementOutcome::NoRow:
        throw CommandError(ExitCode::Failed, "no such row; nothing was changed");
    case SettlementOutcome::AlreadySettled:
        fmt::print(stderr, "not in doubt: {}; nothing was changed\n", stateText(*finish.record));
        return ExitCode::Conflict;
    case SettlementOutcome::TooEarly:
        throw CommandError(
            ExitCode::Failed,
            fmt::format("its attempt may still be under way; state it again in {} s; nothing was changed",
                        std::chrono::duration_cast<std::chrono::seconds>(finish.wait).count() + 1));
    case SettlementOutcome::NotMade:
        throw CommandError(ExitCode::Failed, "the platform's table takes no writes now; nothing was changed");
    case SettlementOutcome::Unknown:
        throw CommandError(ExitCode::Failed,
                           fmt::format("the table did not answer and the row may have been settled; repeat with "
                                       "--change-id {}",
                                       statement.changeId));
    case SettlementOutcome::Malformed:
        break;
    }
    throw CommandError(ExitCode::Failed, "the row does not parse; nothing was changed");
}

} // namespace

ExitCode runSettle(const CommandLine &line)
{
    const LedgerStatement statement = statementOf(line);
    const std::optional<EndpointAnswer> answer = answerOf(line);
    const std::string key = keyOf(line);
    Session session(platformAddress(line));
    return show(submit(session, LedgerSettlement(key, statement, answer, {})), statement);
}

} // namespace fescuesill::ctl
