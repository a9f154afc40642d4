#include "promise/attempt.h"

#include <stdexcept>
#include <utility>

// The part of an attempt that writes the final state of the row: the release before "not run" is reported, and the
// answer or the release after the reply. Each write is conditional on the last known row version, so retrying after a
// lost reply is safe and another attempt's row is never overwritten.
//
// A row that an operator has settled in the meantime is overwritten in one case: this attempt has an answer from the
// endpoint and the row has none. This happens if the operator checked the booking system before the bytes of a frozen
// attempt arrived there; without the overwrite, repeats would be told "not run" for a call that ran. The answer is
// proof, the statement was a judgement; the statement is kept in the row beside the answer. A release never overrides a
// statement: a closed row stays closed.

namespace fescuesill
{
namespace
{

[[noreturn]] void throwUnexpectedEvent()
{
    throw std::logic_error("attempt: unexpected event for the current state");
}

} // namespace

AttemptAction Attempt::release(Refusal refusal, Instant now)
{
    this->afterRelease = std::move(refusal);
    this->settlement = this->record;
    this->settlement->state = LedgerState::Released;
    this->settlement->expiry = now + this->options.retention;
    this->state = State::Releasing;
    return attempt_action::Write{{this->key, encode(*this->settlement), this->rowVersion}};
}

AttemptAction Attempt::onReleasing(const AttemptEvent &event)
{
    if (std::holds_alternative<table::Written>(event)) {
        this->settlement.reset();
        return this->reply(this->afterRelease);
    }
    if (const auto *conflict = std::get_if<table::Conflict>(&event)) {
        this->settlement.reset();
        // An open row is overwritten only by its own attempt, by one that got a result from the endpoint, or by an
        // operator.
        const auto found = conflict->row ? decodeLedgerRecord(conflict->row->value)
                                         : tl::unexpected(LedgerRecordError{"the row is gone"});
        if (found && found->state == LedgerState::Done) {
            return this->replyDone(*found);
        }
        if (found && found->state == LedgerState::Closed) {
            return this->replyClosed(*found);
        }
        return this->reply(Refusal{RefusalCode::OutcomeUnknown, RunState::MayHaveRun,
                                   "the ledger row was changed by another", std::nullopt});
    }
    if (!std::holds_alternative<table::Refused>(event) && !std::holds_alternative<table::NoReply>(event)) {
        throwUnexpectedEvent();
    }
    return this->reply(this->afterRelease);
}

AttemptAction Attempt::settle()
{
    this->state = State::Settling;
    return attempt_action::Write{{this->key, encode(*this->settlement), this->rowVersion}};
}

AttemptAction Attempt::onSettling(const AttemptEvent &event)
{
    if (std::holds_alternative<table::Written>(event)) {
        return this->stop();
    }
    if (++this->settlementTableCalls >= this->options.maxTableCallsAfterReply) {
        return this->stop();
    }
    if (const auto *conflict = std::get_if<table::Conflict>(&event)) {
        return this->onSettlingConflict(conflict->row);
    }
    if (!std::holds_alternative<table::Refused>(event) && !std::holds_alternative<table::NoReply>(event)) {
        throwUnexpectedEvent();
    }
    this->state = State::SettlingWait;
    return attempt_action::Wait{this->options.retryWait};
}

// Reports "may have run" instead of "not run": the outcome of the earlier attempt was never received. The operator
// checked the booking system at one point in time, and bytes buffered in a frozen host can reach it later. The run
// state that is reported is limited to what the ledger itself can guarantee.
AttemptAction Attempt::replyClosed(const LedgerRecord &closed)
{
    const std::string author = closed.stated ? closed.stated->author : "an operator";
    return this->reply(Refusal{RefusalCode::StatedNotRun, RunState::MayHaveRun,
                               "not run, as stated by " + author + "; this key stays closed, use a new key",
                               std::nullopt});
}

// Queries the endpoint again if it supports that: its answer overrides the statement.
AttemptAction Attempt::onOtherClosed(const LedgerRecord &closed, RowVersion version)
{
    if (!this->call.resultQuery) {
        return this->replyClosed(closed);
    }
    this->other = closed;
    this->rowVersion = version;
    this->state = State::QueryingOtherResult;
    return attempt_action::QueryResult{};
}

AttemptAction Attempt::replyOtherUnknown()
{
    if (this->other.state == LedgerState::Closed) {
        return this->replyClosed(this->other);
    }
    return this->reply(Refusal{RefusalCode::OutcomeUnknown, RunState::MayHaveRun,
                               "an earlier try may have run the call and left no answer",
                               this->options.storeRetryAfter});
}

// Either an earlier write of this attempt took effect although its reply was lost, or the row was changed by another
// writer.
AttemptAction Attempt::onSettlingConflict(const std::optional<TableRow> &row)
{
    if (!row) {
        return this->stop();
    }
    const auto found = decodeLedgerRecord(row->value);
    if (!found || found->attempt != this->settlement->attempt) {
        return this->stop();
    }
    const bool isOverridden = found->stated && !found->answer && this->settlement->state == LedgerState::Done;
    if (found->state != LedgerState::Open && !isOverridden) {
        return this->stop();
    }
    this->settlement->stated = found->stated;
    this->rowVersion = row->version;
    return this->settle();
}

} // namespace fescuesill
