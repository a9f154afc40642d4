#include "promise/attempt.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

// The ledger row alone decides which attempt may send. All writes to it are compare-and-set:
//
//     absent ──insert──▶ open ──▶ done (answer)
//        ▲                │
//        │             released by the attempt that never sent
//        │                ▼
//        └──(expiry)── released ──insert by any attempt──▶ open
//
// An operator settles a row whose outcome is in doubt (promise/ledgersettlement.h): the row becomes done, or closed, in
// which case no attempt takes it over. An answer that arrives later overrides the operator's statement.
//
// At-most-once guarantee. An attempt sends only after it has confirmed that the row holds its own token, and sends
// once. The row passes from one token to another in two ways only. The attempt that wrote the row sets `released`, and
// only if it has not sent and its state no longer permits sending. Or a settled row expires, days later. Two attempts
// under one key therefore never both send. An open row does not expire, because its caller may retry at any time. The
// guarantee depends on clocks only for the expiry of settled rows.
//
// The insert marks the call as possibly sent. A second write ("sending") between insert and send was rejected: an entry
// that fails between the second write and the send leaves the same uncertainty as one that fails between insert and
// send. It would cost one of the several hundred writes a second and only move the window. Slow steps (admission,
// queueing, reading the body) precede the insert.
//
// A lost reply to the insert is resolved by reading the token back. If the row is absent, the insert may still take
// effect, so it is retried with the same condition; a conflict with the attempt's own token counts as success.
//
// If the row cannot be read back, "not run" is still correct for this attempt: it has not sent, and its state no longer
// permits sending. But its insert may have taken effect or may do so later, and would block the key permanently.
// Therefore the attempt writes `released` after the reply until the table accepts it. If the insert has not taken
// effect by then, the released row makes it fail. If the entry fails first, the key stays open: the outcome is unknown,
// but the call does not run twice.
//
// A caller that repeats a key during an outage may have run the call through another entry. An entry that cannot read
// the ledger must then not report "not run": it queries the endpoint if the endpoint supports that, and reports
// "outcome unknown" to callers that declare a repeat.
//
// The reply precedes storing the answer, which saves the caller one write of latency. A crash in between loses the
// stored answer for repeats but never causes a second run.

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
    throw std::logic_error("attempt: unexpected event for the current state");
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
    // The write may have taken effect although its reply was lost; only reading the row resolves this.
    this->insertMayTakeEffect = true;
    return this->tableCalls < this->options.maxTableCallsBeforeReply ? this->readBack() : this->onStoreUnavailable(now);
}

AttemptAction Attempt::onReadingBack(const AttemptEvent &event, Instant now)
{
    const bool hasCallsLeft = this->tableCalls < this->options.maxTableCallsBeforeReply;
    if (const auto *read = get<table::RowRead>(event)) {
        if (read->row) {
            return this->onRow(*read->row, now);
        }
        return hasCallsLeft ? this->insert(absent) : this->onStoreUnavailable(now);
    }
    if (!is<table::ReadFailed>(event)) {
        throwUnexpectedEvent();
    }
    return hasCallsLeft ? this->readBack() : this->onStoreUnavailable(now);
}

AttemptAction Attempt::onRow(const TableRow &row, Instant now)
{
    const auto found = decodeLedgerRecord(row.value);
    if (!found) {
        // Must not be treated as an absent row: the call that it recorded may have run.
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

// Another attempt may have sent, may be about to send, or may have failed. These cases cannot be distinguished here,
// not even by the clock, because the bytes of a frozen entry can remain in its kernel. So the call is never run here,
// however much time has passed.
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
    // An entry that is frozen between insert and send and resumes after its caller has retried elsewhere would make a
    // booking hours late. The time is read after the insert, so the entry detects that it was frozen.
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

// The digest in the ledger cannot be read, so the result may belong to another body under the same key. It proves that
// a call ran but is not returned as this caller's answer.
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
