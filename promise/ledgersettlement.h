#pragma once

// An operator's statement about a ledger row in doubt, from reading the row to settled, refused or unknown.
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
    AlreadySettled, // by its own attempt, or by another operator; it is shown
    TooEarly, // the attempt may still be under way
    NotMade, // the table could not take it; surely nothing was written
    Unknown, // the table did not answer; ask again with the same change id
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
    // The row as it was found; with Settled as it is now.
    std::optional<LedgerRecord> record;
    // With TooEarly.
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
        // Past the attempt's deadline, by which two clocks may differ.
        Duration clockMargin{500ms};
        // Further past it for "not run". A kernel of usual settings gives up sending for a connection without replies
        // within some 15 minutes. Nothing rests on it; it makes a wrong statement unlikely.
        Duration notRunDelay{30min};
        // Table calls altogether; the operator is at hand to try again.
        int maxTableCalls = 6;
    };

    // The answer goes with a statement that the call ran.
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
