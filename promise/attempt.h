#pragma once

// State machine of one at-most-once call, from the caller's request to the answer stored in the ledger.
//
//     Attempt attempt(call, options);
//     AttemptAction action = attempt.on(attempt_event::Start{}, sharedNow());
//     while (!std::holds_alternative<attempt_action::Stop>(action)) {
//         const AttemptEvent event = perform(action, yield);      // exactly one event for each action
//         action = attempt.on(event, sharedNow());
//     }
//
// Times are shared time: Instant counted from the Unix epoch. If the caller disconnects, continue the attempt until
// Stop so that a repeat finds the answer. Reply occurs exactly once and is not the last action.

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
    AttemptId attempt; // unique, never reused
    HostId entry;
    bool resultQuery = false; // the endpoint can be queried for the result of a key
    // The caller declares that it sent this key before. "Not run" is then never reported while the ledger cannot be
    // read.
    bool repeat = false;
    Duration endpointDeadline{2s};
};

namespace attempt_event
{
struct Start {
};
// The endpoint returned a complete answer.
struct Answered {
    EndpointAnswer answer;
};
// No byte of the call reached the endpoint: there was no connection, or sendBy had passed before the first write.
struct NeverSent {
};
// Part of the call was sent and no complete answer was received.
struct AnswerLost {
};
struct ResultFound {
    EndpointAnswer answer;
};
// The endpoint has no result under the key, or not yet.
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
// Compare the clock with sendBy again immediately before the first byte. Several endpoints may be tried until one has
// received a byte. Feed back Answered, NeverSent or AnswerLost.
struct Send {
    Instant sendBy;
};
// GET /results/KEY. Feed back ResultFound, ResultAbsent or ResultUnknown.
struct QueryResult {
};
// Answer the caller. Feed back Replied, even if the caller has disconnected.
struct Reply {
    std::variant<EndpointAnswer, Refusal> with;
};
// Feed back TimerExpired after the duration.
struct Wait {
    Duration duration;
};
// The attempt is complete.
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
        // Time after the start within which the call may be sent; an entry frozen for longer does not send.
        Duration sendWindow{2s};
        // Maximum difference between two hosts' clocks; platforms with a time service stay far below it.
        Duration clockMargin{500ms};
        // How long a settled row is kept and thus how long callers may repeat a key. A row in doubt is kept until an
        // operator settles it.
        Duration retention{168h};
        // Larger answers are returned to the caller but not stored, because the table requires small rows.
        Bytes maxStoredAnswer{64 * 1024};
        // Allows insert and read back, twice. More calls would add load to an already failing table.
        int maxTableCallsBeforeReply = 4;
        // Calls that complete or release the row; with retryWait they span about 10 minutes.
        int maxTableCallsAfterReply = 120;
        Duration retryWait{5s};
        // Retry-After sent to callers during an outage of the table.
        Duration storeRetryAfter{3s};
    };

    Attempt(AttemptCall call, Options options);

    // Processes one event and returns the next action. Throws std::logic_error if the event does not fit the state.
    AttemptAction on(const AttemptEvent &event, Instant now);

    // Whether this attempt may have sent the call to an endpoint.
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
        Releasing, // before "not run" is reported to the caller
        Replying,
        Settling, // after the reply: the answer or the release is written to the row
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
    LedgerRecord record; // of this attempt, as inserted
    LedgerRecord other; // of another attempt, while the endpoint is queried for its result
    Instant sendBy;
    // Last known version of the row; the condition of the next write.
    RowVersion rowVersion = absent;
    int tableCalls = 0;
    int settlementTableCalls = 0;
    bool insertMayTakeEffect = false;
    bool sent = false;
    Refusal afterRelease;
    // Final content of the row; none if nothing is to be written.
    std::optional<LedgerRecord> settlement;
};

} // namespace fescuesill
