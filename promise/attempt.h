#pragma once

// The life of one call that may run at most once, from the caller's request to the answer in the ledger.
//
//     Attempt attempt(call, options);
//     AttemptAction action = attempt.on(attempt_event::Start{}, sharedNow());
//     while (!std::holds_alternative<attempt_action::Stop>(action)) {
//         const AttemptEvent event = perform(action, yield);      // exactly one event for each action
//         action = attempt.on(event, sharedNow());
//     }
//
// Time is shared time: Instant counted from the Unix epoch. The caller's leaving does not end an attempt: run it on to
// Stop, so that a repeat finds the answer. Reply comes once and is not the last action.

#include "fescuesill/errors.h"
#include "promise/ledgerrecord.h"
#include "promise/tablerow.h"

#include <optional>
#include <string>
#include <variant>

namespace fescuesill
{

struct AttemptCall {
    ServiceId service;
    WorkspaceId workspace;
    std::string idempotencyKey;
    std::string bodyDigest;
    AttemptId attempt; // fresh and never used again
    HostId entry;
    bool resultQuery = false; // the endpoint can be asked for the result of a key
    // The caller says that it sent this key before. Then "not run" is never said while the ledger cannot be read.
    bool repeat = false;
    Duration endpointDeadline{2s};
};

namespace attempt_event
{
struct Start {
};
// The endpoint's whole answer.
struct Answered {
    EndpointAnswer answer;
};
// Surely no byte of the call reached the endpoint: no connection, or sendBy had passed before the first write.
struct NeverSent {
};
// Some of the call was sent and no whole answer came.
struct AnswerLost {
};
struct ResultFound {
    EndpointAnswer answer;
};
// The endpoint knows no result under the key (yet).
struct ResultAbsent {
};
struct ResultUnknown {
};
struct Replied {
};
struct TimerExpired {
};
} // namespace attempt_event

using AttemptEvent = std::variant<attempt_event::Start, table::Written, table::Conflict, table::Refused, table::NoReply,
                                  table::RowRead, table::ReadFailed, attempt_event::Answered, attempt_event::NeverSent,
                                  attempt_event::AnswerLost, attempt_event::ResultFound, attempt_event::ResultAbsent,
                                  attempt_event::ResultUnknown, attempt_event::Replied, attempt_event::TimerExpired>;

namespace attempt_action
{
// Feed back Written, Conflict, Refused or NoReply.
struct Write {
    TableWrite write;
};
// Feed back RowRead or ReadFailed.
struct Read {
    std::string key;
};
// Compare the clock with sendBy once more right before the first byte; several endpoints may be tried until one takes a
// byte. Feed back Answered, NeverSent or AnswerLost.
struct Send {
    Instant sendBy;
};
// GET /results/KEY. Feed back ResultFound, ResultAbsent or ResultUnknown.
struct QueryResult {
};
// Answer the caller. Feed back Replied, also when the caller has gone.
struct Reply {
    std::variant<EndpointAnswer, Refusal> with;
};
// Feed back TimerExpired after the duration.
struct Wait {
    Duration duration;
};
// Nothing is left to do.
struct Stop {
};
} // namespace attempt_action

using AttemptAction =
    std::variant<attempt_action::Write, attempt_action::Read, attempt_action::Send, attempt_action::QueryResult,
                 attempt_action::Reply, attempt_action::Wait, attempt_action::Stop>;

class Attempt
{
public:
    struct Options {
        // How long after the start the call may still be sent; an entry frozen for longer does not send.
        Duration sendWindow{2s};
        // The most that two hosts' clocks differ; platforms with time service stay far below.
        Duration clockMargin{500ms};
        // How long a settled row is kept. Callers may repeat a key this long. A row in doubt is kept until an operator
        // settles it.
        Duration retention{168h};
        // Larger answers reach the caller but are not kept: a row must stay small for the table.
        Bytes maxStoredAnswer{64 * 1024};
        // Table calls before the caller is answered: insert and read back, twice. More only add to a store in trouble.
        int maxTableCallsBeforeReply = 4;
        // Table calls after the caller was answered, to complete or release the row: with retryWait about 10 minutes.
        int maxTableCallsAfterReply = 120;
        Duration retryWait{5s};
        // When to come back in an outage of the table.
        Duration storeRetryAfter{3s};
    };

    Attempt(AttemptCall call, Options options);

    // One event in, the one next action out. An event that does not fit the state throws std::logic_error.
    AttemptAction on(const AttemptEvent &event, Instant now);

    // Whether the call may have reached an endpoint through this attempt.
    bool maySent() const;

private:
    enum class State {
        New,
        Inserting,
        ReadingBack,
        Sending,
        QueryingOwnResult,
        QueryingOtherResult,
        QueryingInOutage,
        Releasing, // before the caller is told that the call was not run
        Replying,
        Settling, // after the reply: the answer or the release goes to the row
        SettlingWait,
        Stopped,
    };

    AttemptAction insert(RowVersion ifVersion);
    AttemptAction onInserting(const AttemptEvent &event, Instant now);
    AttemptAction onReadingBack(const AttemptEvent &event, Instant now);
    AttemptAction readBack();
    AttemptAction onRow(const TableRow &row, Instant now);
    AttemptAction onOtherRecord(const LedgerRecord &other, RowVersion version, Instant now);
    AttemptAction onOtherOpen(const LedgerRecord &other, RowVersion version, Instant now);
    AttemptAction onOwnInsert(RowVersion version, Instant now);
    AttemptAction onSending(const AttemptEvent &event, Instant now);
    AttemptAction onOwnResult(const AttemptEvent &event, Instant now);
    AttemptAction onOtherResult(const AttemptEvent &event, Instant now);
    AttemptAction onOutageResult(const AttemptEvent &event, Instant now);
    AttemptAction onStoreUnavailable(Instant now);
    AttemptAction refuseForStore(Instant now);
    AttemptAction release(Refusal refusal, Instant now);
    AttemptAction onReleasing(const AttemptEvent &event);
    AttemptAction answered(const EndpointAnswer &answer, const LedgerRecord &open, Instant now);
    AttemptAction reply(std::variant<EndpointAnswer, Refusal> with);
    AttemptAction replyDone(const LedgerRecord &done);
    AttemptAction settle();
    AttemptAction onSettling(const AttemptEvent &event);
    AttemptAction replyClosed(const LedgerRecord &closed);
    AttemptAction onOtherClosed(const LedgerRecord &other, RowVersion version);
    AttemptAction replyOtherUnknown();
    AttemptAction onSettlingConflict(const std::optional<TableRow> &row);
    AttemptAction stop();

    AttemptCall call;
    Options options;
    State state = State::New;
    std::string key;
    LedgerRecord record; // this attempt's own, as inserted
    LedgerRecord other; // the open one of another attempt, while the endpoint is asked for it
    Instant sendBy;
    // The row as last known; the next write names it.
    RowVersion rowVersion = absent;
    int tableCalls = 0;
    int settlementTableCalls = 0;
    bool insertMayTakeEffect = false;
    bool sent = false;
    Refusal afterRelease;
    // What the row is to hold at the end; none when nothing is to be written.
    std::optional<LedgerRecord> settlement;
};

} // namespace fescuesill
