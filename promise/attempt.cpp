#include "promise/attempt.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

// The ledger row is the only thing that decides, and it decides by compare-and-set:
//
//     absent ──insert──▶ open ──▶ done (answer)
//        ▲                │
//        │             release by the attempt that never sent
//        │                ▼
//        └──(expiry)── released ──insert by any attempt──▶ open
//
// An operator settles a row in doubt (promise/ledgersettlement.h): open becomes done, or closed, which no attempt takes
// over. An answer that turns up later overrules what was stated.
//
// Why at most once. An attempt sends only after it knows that the row holds its own token, and sends once. The row goes
// from one token to another only through `released`, which only the attempt that wrote it may set, and only if it never
// sent and by its state never will; or through the expiry of a settled row, days after. Two attempts under one key
// therefore never both send. An open row does not expire: its caller may come back at any time. No clock is part of
// this but for the expiry of settled rows.
//
// The insert is the mark "may have been sent". A second write ("sending") between insert and send was rejected: an
// entry that dies between the second write and the send leaves the same doubt as one that dies between insert and send,
// so it costs a write out of several hundred a second and moves the window instead of closing it. What is slow
// (admission, queueing, reading the body) comes before the insert.
//
// A lost reply of the insert is resolved by reading the token back; absent means that it may still land, so the insert
// is tried again with the same condition, and a conflict with the own token is success.
//
// When the row cannot be read back, "not run" is still true of this attempt: it has not sent and its state has no way
// back to sending. But its insert may stand or still land, and would block the key for ever. So after the reply it
// writes `released` until the table takes it; where the insert has not landed yet, that row makes the insert fail when
// it does. If the entry dies first, the key stays open: doubt, not a second run.
//
// A caller that repeats a key in an outage may have run it through another entry. An entry that cannot read the ledger
// then has no right to say "not run": it asks the endpoint where it can be asked, and says "outcome unknown" to callers
// who say that they repeat.
//
// The caller is answered before the answer is stored: it waits for one write less, and a crash between costs a
// repeater the stored answer and never a second run.

namespace fescuesill
{
namespace
{

constexpr Duration maxRetryAfter = 60s;

template<typename T>
const T *get(const AttemptEvent &event)
{
    return std::get_if<T>(&event);
}

template<typename T>
bool is(const AttemptEvent &event)
{
    return std::holds_alternative<T>(event);
}

[[noreturn]] void throwUnexpectedEvent()
{
    throw std::logic_error("attempt: the event does not answer the action");
}

Refusal unknownOutcome(std::string text, std::optional<Duration> retryAfter)
{
    return Refusal{RefusalCode::OutcomeUnknown, RunState::MayHaveRun, std::move(text), retryAfter};
}

} // namespace

Attempt::Attempt(AttemptCall call, Options options)
    : call(std::move(call))
    , options(options)
{
    this->key = ledgerKey(this->call.service, this->call.workspace, this->call.idempotencyKey);
}

AttemptAction Attempt::on(const AttemptEvent &event, Instant now)
{
    switch (this->state) {
    case State::New:
        if (!is<attempt_event::Start>(event)) {
            throwUnexpectedEvent();
        }
        this->sendBy = now + this->options.sendWindow;
        this->record.attempt = this->call.attempt;
        this->record.entry = this->call.entry;
        this->record.bodyDigest = this->call.bodyDigest;
        this->record.deadline = this->sendBy + this->call.endpointDeadline;
        this->record.expiry = now + this->options.retention;
        return this->insert(absent);
    case State::Inserting:
        return this->onInserting(event, now);
    case State::ReadingBack:
        return this->onReadingBack(event, now);
    case State::Sending:
        return this->onSending(event, now);
    case State::QueryingOwnResult:
        return this->onOwnResult(event, now);
    case State::QueryingOtherResult:
        return this->onOtherResult(event, now);
    case State::QueryingInOutage:
        return this->onOutageResult(event, now);
    case State::Releasing:
        return this->onReleasing(event);
    case State::Replying:
        if (!is<attempt_event::Replied>(event)) {
            throwUnexpectedEvent();
        }
        return this->settlement ? this->settle() : this->stop();
    case State::Settling:
        return this->onSettling(event);
    case State::SettlingWait:
        if (!is<attempt_event::TimerExpired>(event)) {
            throwUnexpectedEvent();
        }
        return this->settle();
    case State::Stopped:
        break;
    }
    throwUnexpectedEvent();
}

bool Attempt::maySent() const
{
    return this->sent || this->state == State::Sending;
}

AttemptAction Attempt::insert(RowVersion ifVersion)
{
    this->state = State::Inserting;
    this->rowVersion = ifVersion;
    ++this->tableCalls;
    return attempt_action::Write{{this->key, encode(this->record), ifVersion}};
}

AttemptAction Attempt::readBack()
{
    this->state = State::ReadingBack;
    ++this->tableCalls;
    return attempt_action::Read{this->key};
}

AttemptAction Attempt::onInserting(const AttemptEvent &event, Instant now)
{
    if (const auto *written = get<table::Written>(event)) {
        return this->onOwnInsert(written->version, now);
    }
    if (const auto *conflict = get<table::Conflict>(event)) {
        if (conflict->row) {
            return this->onRow(*conflict->row, now);
        }
        return this->tableCalls < this->options.maxTableCallsBeforeReply ? this->insert(absent)
                                                                         : this->onStoreUnavailable(now);
    }
    if (is<table::Refused>(event)) {
        return this->onStoreUnavailable(now);
    }
    if (!is<table::NoReply>(event)) {
        throwUnexpectedEvent();
    }
    // Failure: the write took effect and its reply was lost. It shows as silence. Only the row itself tells.
    this->insertMayTakeEffect = true;
    return this->tableCalls < this->options.maxTableCallsBeforeReply ? this->readBack() : this->onStoreUnavailable(now);
}

AttemptAction Attempt::onReadingBack(const AttemptEvent &event, Instant now)
{
    const bool triesLeft = this->tableCalls < this->options.maxTableCallsBeforeReply;
    if (const auto *read = get<table::RowRead>(event)) {
        if (read->row) {
            return this->onRow(*read->row, now);
        }
        return triesLeft ? this->insert(absent) : this->onStoreUnavailable(now);
    }
    if (!is<table::ReadFailed>(event)) {
        throwUnexpectedEvent();
    }
    return triesLeft ? this->readBack() : this->onStoreUnavailable(now);
}

AttemptAction Attempt::onRow(const TableRow &row, Instant now)
{
    const auto found = decodeLedgerRecord(row.value);
    if (!found) {
        // Never taken for an absent row: what it stood for may have run.
        return this->reply(unknownOutcome("the ledger row does not parse: " + found.error().text, std::nullopt));
    }
    if (found->attempt != this->call.attempt) {
        return this->onOtherRecord(*found, row.version, now);
    }
    if (found->state == LedgerState::Open) {
        return this->onOwnInsert(row.version, now);
    }
    return found->state == LedgerState::Closed ? this->replyClosed(*found) : this->replyDone(*found);
}

AttemptAction Attempt::onOtherRecord(const LedgerRecord &found, RowVersion version, Instant now)
{
    const bool expired = mayDelete(found, now, this->options.clockMargin);
    if (!expired && found.bodyDigest != this->call.bodyDigest) {
        return this->reply(Refusal{RefusalCode::BadIdempotencyKey, RunState::NotRun,
                                   "the key was used before with another body", std::nullopt});
    }
    if (expired || found.state == LedgerState::Released) {
        return this->tableCalls < this->options.maxTableCallsBeforeReply ? this->insert(version)
                                                                         : this->onStoreUnavailable(now);
    }
    if (found.state == LedgerState::Done) {
        return this->replyDone(found);
    }
    if (found.state == LedgerState::Closed) {
        return this->onOtherClosed(found, version);
    }
    return this->onOtherOpen(found, version, now);
}

// Another attempt may have sent, may be about to, or may have died. None of these can be told apart from here, also not
// by the clock: a frozen entry's bytes can wait in its kernel. So the call is not run here, whatever the time.
AttemptAction Attempt::onOtherOpen(const LedgerRecord &found, RowVersion version, Instant now)
{
    const Instant settledBy = found.deadline + this->options.clockMargin;
    if (now < settledBy) {
        return this->reply(Refusal{RefusalCode::InProgress, RunState::MayHaveRun, "the same key is being run now",
                                   std::min(settledBy - now, maxRetryAfter)});
    }
    if (!this->call.resultQuery) {
        return this->reply(unknownOutcome("an earlier try may have run the call and left no answer", std::nullopt));
    }
    this->other = found;
    this->rowVersion = version;
    this->state = State::QueryingOtherResult;
    return attempt_action::QueryResult{};
}

AttemptAction Attempt::onOwnInsert(RowVersion version, Instant now)
{
    this->rowVersion = version;
    // Failure: the entry is frozen between insert and send and thaws when the caller has long asked elsewhere. It shows
    // as a booking that appears hours late. The time is taken after the insert, so a frozen entry sees that it was.
    if (now >= this->sendBy) {
        return this->release(
            Refusal{RefusalCode::Overloaded, RunState::NotRun, "the call could not be sent in time", 1s}, now);
    }
    this->state = State::Sending;
    return attempt_action::Send{this->sendBy};
}

AttemptAction Attempt::onSending(const AttemptEvent &event, Instant now)
{
    if (is<attempt_event::NeverSent>(event)) {
        return this->release(Refusal{RefusalCode::EndpointFailed, RunState::NotRun, "no endpoint could be reached", 1s},
                             now);
    }
    this->sent = true;
    if (const auto *got = get<attempt_event::Answered>(event)) {
        return this->answered(got->answer, this->record, now);
    }
    if (!is<attempt_event::AnswerLost>(event)) {
        throwUnexpectedEvent();
    }
    if (!this->call.resultQuery) {
        return this->reply(unknownOutcome("the endpoint took the call and gave no answer", std::nullopt));
    }
    this->state = State::QueryingOwnResult;
    return attempt_action::QueryResult{};
}

AttemptAction Attempt::onOwnResult(const AttemptEvent &event, Instant now)
{
    if (const auto *found = get<attempt_event::ResultFound>(event)) {
        return this->answered(found->answer, this->record, now);
    }
    return this->reply(unknownOutcome("the endpoint took the call and gave no answer", this->options.storeRetryAfter));
}

AttemptAction Attempt::onOtherResult(const AttemptEvent &event, Instant now)
{
    if (const auto *found = get<attempt_event::ResultFound>(event)) {
        return this->answered(found->answer, this->other, now);
    }
    return this->replyOtherUnknown();
}

// The digest in the ledger cannot be read, so a result may be that of another body under the key: it is evidence that
// something ran and not this caller's answer.
AttemptAction Attempt::onOutageResult(const AttemptEvent &event, Instant now)
{
    if (is<attempt_event::ResultFound>(event)) {
        this->call.repeat = true;
    }
    return this->refuseForStore(now);
}

AttemptAction Attempt::onStoreUnavailable(Instant now)
{
    if (this->call.resultQuery) {
        this->state = State::QueryingInOutage;
        return attempt_action::QueryResult{};
    }
    return this->refuseForStore(now);
}

AttemptAction Attempt::refuseForStore(Instant now)
{
    if (this->insertMayTakeEffect) {
        this->settlement = this->record;
        this->settlement->state = LedgerState::Released;
        this->settlement->expiry = now + this->options.retention;
    }
    if (this->call.repeat) {
        return this->reply(unknownOutcome("the ledger cannot be read, and an earlier try may have run the call",
                                          this->options.storeRetryAfter));
    }
    return this->reply(Refusal{RefusalCode::StoreUnavailable, RunState::NotRun, "the ledger cannot take the call",
                               this->options.storeRetryAfter});
}

AttemptAction Attempt::answered(const EndpointAnswer &answer, const LedgerRecord &open, Instant now)
{
    this->settlement = open;
    this->settlement->state = LedgerState::Done;
    this->settlement->expiry = now + this->options.retention;
    const std::size_t size = answer.body.size() + answer.contentType.size();
    if (size <= static_cast<std::size_t>(this->options.maxStoredAnswer.value())) {
        this->settlement->answer = answer;
    }
    return this->reply(answer);
}

AttemptAction Attempt::reply(std::variant<EndpointAnswer, Refusal> with)
{
    this->state = State::Replying;
    return attempt_action::Reply{std::move(with)};
}

AttemptAction Attempt::replyDone(const LedgerRecord &done)
{
    if (done.answer) {
        return this->reply(*done.answer);
    }
    const char *const text =
        done.stated ? "the call ran; its answer is not known" : "the call ran; its answer was too large to be kept";
    return this->reply(Refusal{RefusalCode::OutcomeUnknown, RunState::Ran, text, std::nullopt});
}

AttemptAction Attempt::stop()
{
    this->state = State::Stopped;
    return attempt_action::Stop{};
}

} // namespace fescuesill
