#include "promise/attempt.h"

#include <stdexcept>
#include <utility>

// The part of an attempt that writes the end into the row: the release before "not run" is said, and after the reply
// the answer or the release. Each write names the version that the row had, so one whose reply was lost does no harm
// when it is sent again, and another's row is never written over.

namespace fescuesill
{
namespace
{

[[noreturn]] void throwMisfit()
{
    throw std::logic_error("attempt: the event does not answer the action");
}

} // namespace

AttemptAction Attempt::release(Refusal refusal, Instant now)
{
    this->afterRelease = std::move(refusal);
    this->settlement = this->record;
    this->settlement->state = LedgerState::Released;
    this->settlement->expiry = now + this->options.keep;
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
        return this->reply(Refusal{RefusalCode::OutcomeUnknown, RunState::MayHaveRun,
                                   "the ledger row was changed by another", std::nullopt});
    }
    if (!std::holds_alternative<table::Refused>(event) && !std::holds_alternative<table::NoReply>(event)) {
        throwMisfit();
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
    if (++this->settleTries >= this->options.triesAfter) {
        return this->stop();
    }
    if (const auto *conflict = std::get_if<table::Conflict>(&event)) {
        return this->onSettlingConflict(conflict->row);
    }
    if (!std::holds_alternative<table::Refused>(event) && !std::holds_alternative<table::NoReply>(event)) {
        throwMisfit();
    }
    this->state = State::SettlingWait;
    return attempt_action::Wait{this->options.retryWait};
}

// Either an own write whose reply was lost has landed, or the row is another's by now.
AttemptAction Attempt::onSettlingConflict(const std::optional<TableRow> &row)
{
    if (!row) {
        return this->stop();
    }
    const auto found = decodeLedgerRecord(row->value);
    if (!found || found->attempt != this->settlement->attempt || found->state != LedgerState::Open) {
        return this->stop();
    }
    this->rowVersion = row->version;
    return this->settle();
}

} // namespace fescuesill
