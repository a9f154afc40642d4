#include "promise/ledgersettlement.h"

// Settles a row with one compare-and-set on the version that was read. Only an open row is settled, and only after the
// deadline of its attempt.
//
// State of the attempt that wrote the row. It may have failed. It may be frozen before its last check of the clock:
// once resumed, it releases, gets a conflict with the settled row and stops. It may be frozen after that check, or its
// bytes may be buffered in its kernel or the endpoint's: then the call runs after the statement, however much time has
// passed. No waiting period, marker in the row or check of the entry's process excludes the last case. Therefore:
//
//   - "ran" makes the row done. As before, no other attempt sends under the key.
//   - "not run" makes the row closed, not released: the next attempt would run a released row, and the frozen first
//     attempt would run it again. A closed row is never run and never expires. A repeat receives the statement and its
//     author, and still "may have run", since the ledger cannot guarantee more.
//   - an answer that the attempt itself receives later overrides both (attemptsettling.cpp).
//
// Rejected: reopening the key after a wait. A host that is paused as a whole can resume after any length of time.
// Rejected: querying the entry named in the row. An answer shows that the entry is not frozen now, but not where the
// bytes are that it sent; and most rows in doubt come from an entry that no longer exists.
//
// The reply to the write can be lost after the write took effect. Without further checks the operator would be told
// that another operator settled the row, or that nothing was written. The change ID in the row identifies the
// statement. A retry with the same version takes effect once or conflicts. After a write without a reply "not made" is
// never reported.

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
    // After a conflict, a refusal or a missing reply the row shows the current state.
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
    const Duration delay = this->statement.ran ? Duration(0) : this->options.notRunDelay;
    const Instant earliest = found.deadline + this->options.clockMargin + delay;
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
