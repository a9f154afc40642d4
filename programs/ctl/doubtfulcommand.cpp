// doubtful: reads the ledger page by page and shows the rows in doubt. Callers share the table, so pages come at a
// bounded rate, and one run reads a bounded number of them and says how to go on.

#include "commands.h"

#include "declare/values.h"
#include "promise/attempt.h"
#include "promise/ledgerrecord.h"
#include "wire/clock.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>

namespace fescuesill::ctl
{

namespace
{

constexpr std::size_t rowsPerPage = 50;
// 50 reads a second of the table's two thousand.
constexpr Duration pagePause = 20ms;
// Half a minute.
constexpr std::size_t mostPages = 1500;
constexpr std::int64_t mostShown = 10000;

struct Doubt {
    std::string row;
    LedgerKey key;
    LedgerRecord record;
    std::string fault; // why the row does not parse; empty: it does
};

struct Doubts {
    std::vector<Doubt> found;
    std::string next; // the row after which to go on; empty: all were read
};

std::string timeText(Instant instant)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(instant.time_since_epoch()).count();
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(static_cast<std::time_t>(seconds)));
}

std::string prefixOf(const CommandLine &line)
{
    if (!line.has("service")) {
        if (line.has("workspace")) {
            throw CommandError(ExitCode::BadInput, "--workspace needs --service");
        }
        return ledgerPrefix;
    }
    const std::string service = ledgerPrefix + line.text("service") + '/';
    return line.has("workspace") ? service + line.text("workspace") + '/' : service;
}

std::size_t mostOf(const CommandLine &line)
{
    const auto most = parseNumber(line.text("most", "100"));
    if (!most || *most < 1 || *most > mostShown) {
        throw CommandError(ExitCode::BadInput, fmt::format("--most: allowed: a whole number from 1 to {}", mostShown));
    }
    return static_cast<std::size_t>(*most);
}

std::optional<Doubt> doubtOf(const Row &row, Instant now)
{
    const LedgerKey key = parseLedgerKey(row.key).value_or(LedgerKey{{}, {}, row.key});
    const auto record = decodeLedgerRecord(row.value);
    if (!record) {
        return Doubt{row.key, key, {}, record.error().text};
    }
    if (!isInDoubt(*record, now, Attempt::Options().clockMargin)) {
        return std::nullopt;
    }
    return Doubt{row.key, key, *record, {}};
}

Doubts findDoubts(Session &session, const CommandLine &line)
{
    const std::string prefix = prefixOf(line);
    const std::size_t most = mostOf(line);
    Doubts doubts;
    std::string after = line.text("after");
    for (std::size_t pages = 0; pages < mostPages; ++pages) {
        const std::vector<Row> page = session.page(prefix, after, rowsPerPage);
        for (const Row &row : page) {
            after = row.key;
            if (auto doubt = doubtOf(row, sharedNow())) {
                doubts.found.push_back(std::move(*doubt));
            }
            if (doubts.found.size() == most) {
                doubts.next = after;
                return doubts;
            }
        }
        if (page.size() < rowsPerPage) {
            return doubts;
        }
        session.pause(pagePause);
    }
    doubts.next = after;
    return doubts;
}

std::string textOf(const Doubts &doubts)
{
    std::string text;
    for (const Doubt &doubt : doubts.found) {
        if (!doubt.fault.empty()) {
            text += fmt::format("{}  the row does not parse: {}\n", doubt.row, doubt.fault);
            continue;
        }
        text += fmt::format("{} {} {}  in doubt since {}  entry {}  request {}\n", doubt.key.service.value(),
                            doubt.key.workspace.value(), doubt.key.idempotencyKey, timeText(doubt.record.deadline),
                            doubt.record.entry.value(), doubt.record.attempt.value());
    }
    return text;
}

std::string jsonOf(const Doubts &doubts)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Doubt &doubt : doubts.found) {
        nlohmann::json one = {{"row", doubt.row},
                              {"service", doubt.key.service.value()},
                              {"workspace", doubt.key.workspace.value()},
                              {"key", doubt.key.idempotencyKey}};
        if (doubt.fault.empty()) {
            one["since"] = timeText(doubt.record.deadline);
            one["entry"] = doubt.record.entry.value();
            one["request"] = doubt.record.attempt.value();
        } else {
            one["fault"] = doubt.fault;
        }
        list.push_back(std::move(one));
    }
    const nlohmann::json all = {{"doubtful", std::move(list)}, {"next", doubts.next}};
    return all.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
}

} // namespace

ExitCode runDoubtful(const CommandLine &line)
{
    Session session(platformAddress(line));
    const Doubts doubts = findDoubts(session, line);
    fmt::print("{}", line.has("json") ? jsonOf(doubts) : textOf(doubts));
    if (doubts.found.empty() && doubts.next.empty() && !line.has("json")) {
        fmt::print(stderr, "no call in doubt\n");
    }
    if (!doubts.next.empty() && !line.has("json")) {
        fmt::print(stderr, "there may be more; go on with --after '{}'\n", doubts.next);
    }
    return ExitCode::Ok;
}

} // namespace fescuesill::ctl
