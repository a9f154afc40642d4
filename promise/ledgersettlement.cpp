#include "promise/ledgersettlement.h"

// One compare-and-set on the open row as it was read. Only an open row is settled, and only past its attempt's
// deadline.
//
// What a statement can do about the attempt that wrote the row. It may be dead. It may be frozen before its last look
// at the clock: thawed, it releases, meets the settled row and stops. It may be frozen after that look, or its bytes
// may wait in its kernel or in the endpoint's: then the call runs after the statement, whatever time has passed. No
// wait, no mark in the row and no look at the entry's process excludes the last one. So:
//
//   - "ran" makes the row done. Nobody else sends under the key, as before.
//   - "not run" makes the row closed, not released: a released row would be run by the next attempt, and the frozen
//     first one would run it again. A closed row is never run, and never expires. A repeat is told what was stated and
//     by whom, and "may have run" as before, since the ledger cannot hold to more.
//   - the attempt's own answer, should it come, overrules both (attemptsettling.cpp).
//
// Rejected: reopening the key after a wait. A host that is paused as a whole wakes after any time.
// Rejected: asking the entry named in the row. That it answers shows that it is not frozen now; it does not show where
// bytes are that it sent, and most doubts come from an entry that is gone.
//
// Failure: the reply to the write is lost after it took effect. It shows as an operator who is told that another
// settled the row, or that nothing was written. The change id in the row tells whose it is. Written again with the same
// version it lands once or conflicts. After a write without reply "not made" is never said.

namespace fescuesill
{

LedgerSettlement::LedgerSettlement(std::string key, LedgerStatement statement, std::optional<EndpointAnswer> answer,
                                   Options options)
    : key(std::move(key))
    , statement(std::move(statement))
    , answer(std::move(answer))
    , options(options)
{
}

SettlementAction LedgerSettlement::start()
{
    return this->read();
}

SettlementAction LedgerSettlement::on(const SettlementEvent &event, Instant now)
{
    if (const auto *got = std::get_if<table::RowRead>(&event)) {
        return this->onRow(got->row, now);
    }
    if (std::holds_alternative<table::Written>(event)) {
        return this->finish(SettlementOutcome::Settled);
    }
    if (std::holds_alternative<table::NoReply>(event)) {
        this->mayHaveWritten = true;
    }
    // Conflict, refusal, silence: the row says where things stand.
    return this->read();
}

SettlementAction LedgerSettlement::read()
{
    if (++this->tableCalls > this->options.maxTableCalls) {
        return this->finish(this->mayHaveWritten ? SettlementOutcome::Unknown : SettlementOutcome::NotMade);
    }
    return settlement_action::Read{this->key};
}

SettlementAction LedgerSettlement::onRow(const std::optional<TableRow> &row, Instant now)
{
    this->record.reset();
    if (!row) {
        return this->finish(SettlementOutcome::NoRow);
    }
    const auto found = decodeLedgerRecord(row->value);
    if (!found) {
        return this->finish(SettlementOutcome::Malformed);
    }
    this->record = *found;
    if (found->stated && found->stated->changeId == this->statement.changeId) {
        return this->finish(SettlementOutcome::Settled);
    }
    if (found->state != LedgerState::Open) {
        return this->finish(SettlementOutcome::AlreadySettled);
    }
    return this->onOpen(*found, row->version, now);
}

SettlementAction LedgerSettlement::onOpen(const LedgerRecord &found, RowVersion version, Instant now)
{
    const Duration quiet = this->statement.ran ? Duration(0) : this->options.notRunDelay;
    const Instant earliest = found.deadline + this->options.clockMargin + quiet;
    if (now <= earliest) {
        return settlement_action::Finish{SettlementOutcome::TooEarly, found, earliest - now};
    }
    this->record->state = this->statement.ran ? LedgerState::Done : LedgerState::Closed;
    this->record->answer = this->statement.ran ? this->answer : std::nullopt;
    this->record->stated = this->statement;
    this->record->stated->at = now;
    return settlement_action::Write{{this->key, encode(*this->record), version}};
}

SettlementAction LedgerSettlement::finish(SettlementOutcome outcome)
{
    return settlement_action::Finish{outcome, this->record};
}

} // namespace fescuesill
