#pragma once

// State machine that applies an operator's statement to a ledger row in doubt, from reading the row to the outcome.
//
//     LedgerSettlement settlement(ledgerKey(service, workspace, key), statement, answer, options);
//     SettlementAction action = settlement.start();
//     while (!std::holds_alternative<settlement_action::Finish>(action)) {
//         action = settlement.on(perform(action), sharedNow());
//     }

#include "promise/ledgerrecord.h"
#include "promise/tablerow.h"

#include <optional>
#include <string>
#include <variant>

namespace fescuesill
{

enum class SettlementOutcome {
    Settled,
    NoRow,
    Malformed, // the row does not parse
    AlreadySettled, // by its own attempt, or by another operator; the row is returned
    TooEarly, // the attempt may still be in progress
    NotMade, // the table did not accept the write; nothing was written
    Unknown, // the table did not reply; retry with the same change ID
};

namespace settlement_action
{
// Feed back RowRead or ReadFailed.
struct Read {
    std::string key;
};
// Feed back Written, Conflict, Refused or NoReply.
struct Write {
    TableWrite write;
};
struct Finish {
    SettlementOutcome outcome;
    // The row as it was read; with Settled, the row as written.
    std::optional<LedgerRecord> record;
    // With TooEarly: the time until the statement is accepted.
    Duration wait{0};
};
} // namespace settlement_action

using SettlementAction = std::variant<settlement_action::Read, settlement_action::Write, settlement_action::Finish>;
using SettlementEvent =
    std::variant<table::RowRead, table::ReadFailed, table::Written, table::Conflict, table::Refused, table::NoReply>;

class LedgerSettlement
{
public:
    struct Options {
        // Maximum difference between two clocks, added to the attempt's deadline.
        Duration clockMargin{500ms};
        // Additional delay for "not run". With usual settings a kernel stops retransmitting on a connection without
        // replies within about 15 minutes. Correctness does not depend on the delay; it makes a wrong statement
        // unlikely.
        Duration notRunDelay{30min};
        // Includes reads; the operator can repeat the command.
        int maxTableCalls = 6;
    };

    // The answer is used only with a statement that the call ran.
    LedgerSettlement(std::string key, LedgerStatement statement, std::optional<EndpointAnswer> answer, Options options);

    SettlementAction start();
    SettlementAction on(const SettlementEvent &event, Instant now);

private:
    SettlementAction read();
    SettlementAction onRow(const std::optional<TableRow> &row, Instant now);
    SettlementAction onOpen(const LedgerRecord &found, RowVersion version, Instant now);
    SettlementAction finish(SettlementOutcome outcome);

    std::string key;
    LedgerStatement statement;
    std::optional<EndpointAnswer> answer;
    Options options;
    int tableCalls = 0;
    bool mayHaveWritten = false;
    std::optional<LedgerRecord> record;
};

} // namespace fescuesill
