#include "promise/attempt.h"

#include <stdexcept>
#include <utility>

// The part of an attempt that writes the end into the row: the release before "not run" is said, and after the reply
// the answer or the release. Each write names the version that the row had, so one whose reply was lost does no harm
// when it is sent again, and another's row is never written over.
//
// A row that an operator settled meanwhile is written over in one case: this attempt has an answer of the endpoint and
// the row has none. It shows an operator who looked in the booking system before a frozen attempt's bytes arrived
// there, and a repeat that hears "not run" of a call that ran. The answer is proof and the statement was a judgement;
// the statement stays in the row beside it. A release never overrules: a closed row stays closed.

namespace fescuesill
{
namespace
{

[[noreturn]] void throwUnexpectedEvent()
{
    throw std::logic_error("attempt: the event does not answer the action");
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
        // Nobody but this attempt and one that got a result from the endpoint writes over an open row.
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

// "May have run" and not "not run": the earlier attempt was never heard of. Whoever stated this looked in the booking
// system at one moment, and bytes that wait in a frozen host reach it later. What is said about running is only what
// the ledger itself can hold to.
AttemptAction Attempt::replyClosed(const LedgerRecord &closed)
{
    const std::string author = closed.stated ? closed.stated->author : "an operator";
    return this->reply(Refusal{RefusalCode::StatedNotRun, RunState::MayHaveRun,
                               "not run, as stated by " + author + "; this key stays closed, use a new key",
                               std::nullopt});
}

// The endpoint is asked once more where it can be: its answer overrules the statement.
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

// Either an own write whose reply was lost has landed, or the row is another's by now.
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
