#include "promise/attempt.h"

#include <gtest/gtest.h>

#include <vector>

namespace fescuesill
{
namespace
{

using namespace attempt_action;

const Instant start{1000s};

AttemptCall callOf(const char *attempt)
{
    return {ServiceId("bookings"),
            WorkspaceId("karamanlis"),
            "k1",
            "digest",
            AttemptId(attempt),
            HostId("athens-a"),
            false,
            false,
            2s};
}

TableRow rowOf(const char *attempt, LedgerState state, RowVersion version = RowVersion(1))
{
    LedgerRecord record;
    record.attempt = AttemptId(attempt);
    record.entry = HostId("athens-b");
    record.bodyDigest = "digest";
    record.state = state;
    record.deadline = start + 4s;
    record.expiry = start + 24h;
    if (state == LedgerState::Done) {
        record.answer = EndpointAnswer{201, "text/plain", "stored"};
    }
    return {encode(record), version};
}

Refusal refusalIn(const AttemptAction &action)
{
    const auto *reply = std::get_if<Reply>(&action);
    if (reply == nullptr || !std::holds_alternative<Refusal>(reply->with)) {
        ADD_FAILURE() << "not a refusal, action " << action.index();
        return {};
    }
    return std::get<Refusal>(reply->with);
}

std::string answerIn(const AttemptAction &action)
{
    const auto *reply = std::get_if<Reply>(&action);
    if (reply == nullptr || !std::holds_alternative<EndpointAnswer>(reply->with)) {
        ADD_FAILURE() << "not an answer, action " << action.index();
        return {};
    }
    return std::get<EndpointAnswer>(reply->with).body;
}

LedgerState stateWritten(const AttemptAction &action)
{
    return decodeLedgerRecord(std::get<Write>(action).write.value)->state;
}

TEST(Attempt, InsertsSendsAnswersAndStoresTheAnswer)
{
    Attempt attempt(callOf("a1"), {});
    AttemptAction action = attempt.on(attempt_event::Start{}, start);
    EXPECT_EQ(std::get<Write>(action).write.ifVersion, absent);
    EXPECT_EQ(stateWritten(action), LedgerState::Open);
    action = attempt.on(table::Written{RowVersion(1)}, start);
    ASSERT_TRUE(std::holds_alternative<Send>(action));
    action = attempt.on(attempt_event::Answered{{201, "text/plain", "booked"}}, start);
    EXPECT_EQ(answerIn(action), "booked");
    action = attempt.on(attempt_event::Replied{}, start);
    EXPECT_EQ(stateWritten(action), LedgerState::Done);
    EXPECT_EQ(std::get<Write>(action).write.ifVersion, RowVersion(1));
    action = attempt.on(table::Written{RowVersion(2)}, start);
    EXPECT_TRUE(std::holds_alternative<Stop>(action));
}

// The reply to a second request for each kind of row that it may find under its key.
TEST(Attempt, ARowOfAnotherAttemptIsNeverRunAgain)
{
    Attempt done(callOf("a2"), {});
    done.on(attempt_event::Start{}, start);
    EXPECT_EQ(answerIn(done.on(table::Conflict{rowOf("a1", LedgerState::Done)}, start)), "stored");

    Attempt running(callOf("a2"), {});
    running.on(attempt_event::Start{}, start);
    const Refusal inProgress = refusalIn(running.on(table::Conflict{rowOf("a1", LedgerState::Open)}, start));
    EXPECT_EQ(inProgress.code, RefusalCode::InProgress);
    EXPECT_EQ(inProgress.run, RunState::MayHaveRun);
    EXPECT_EQ(inProgress.retryAfter, Duration(4500ms));

    Attempt late(callOf("a2"), {});
    late.on(attempt_event::Start{}, start + 10s);
    const Refusal unknown = refusalIn(late.on(table::Conflict{rowOf("a1", LedgerState::Open)}, start + 10s));
    EXPECT_EQ(unknown.code, RefusalCode::OutcomeUnknown);
    EXPECT_EQ(unknown.run, RunState::MayHaveRun);

    AttemptCall otherBody = callOf("a2");
    otherBody.bodyDigest = "another";
    Attempt misuse(otherBody, {});
    misuse.on(attempt_event::Start{}, start);
    EXPECT_EQ(refusalIn(misuse.on(table::Conflict{rowOf("a1", LedgerState::Done)}, start)).code,
              RefusalCode::BadIdempotencyKey);

    Attempt garbled(callOf("a2"), {});
    garbled.on(attempt_event::Start{}, start);
    EXPECT_EQ(refusalIn(garbled.on(table::Conflict{TableRow{"}", RowVersion(1)}}, start)).run, RunState::MayHaveRun);
}

TEST(Attempt, TakesOverAReleasedRow)
{
    Attempt attempt(callOf("a2"), {});
    attempt.on(attempt_event::Start{}, start);
    const AttemptAction action = attempt.on(table::Conflict{rowOf("a1", LedgerState::Released, RowVersion(7))}, start);
    EXPECT_EQ(std::get<Write>(action).write.ifVersion, RowVersion(7));
    EXPECT_TRUE(std::holds_alternative<Send>(attempt.on(table::Written{RowVersion(8)}, start)));
}

// The insert takes effect and its reply is lost. The attempt reads its token back and continues; the caller must
// neither be refused with "in progress" for its own call nor wait indefinitely.
TEST(Attempt, ReadsItsTokenBackAfterALostReply)
{
    Attempt attempt(callOf("a1"), {});
    attempt.on(attempt_event::Start{}, start);
    EXPECT_TRUE(std::holds_alternative<Read>(attempt.on(table::NoReply{}, start)));
    const AttemptAction action = attempt.on(table::RowRead{rowOf("a1", LedgerState::Open)}, start);
    EXPECT_TRUE(std::holds_alternative<Send>(action));
}

// An entry is frozen between insert and send and resumes after the caller has given up. The booking must not be made
// late: the row is released, and "not run" is reported only after that.
TEST(Attempt, DoesNotSendAfterAFreeze)
{
    Attempt attempt(callOf("a1"), {});
    attempt.on(attempt_event::Start{}, start);
    AttemptAction action = attempt.on(table::Written{RowVersion(1)}, start + 2s);
    EXPECT_EQ(stateWritten(action), LedgerState::Released);
    action = attempt.on(table::Written{RowVersion(2)}, start + 2s);
    EXPECT_EQ(refusalIn(action).run, RunState::NotRun);
    EXPECT_TRUE(std::holds_alternative<Stop>(attempt.on(attempt_event::Replied{}, start + 2s)));
    EXPECT_FALSE(attempt.maySent());
}

// The table is unavailable. The caller is refused immediately with "not run" instead of waiting until the outage ends.
TEST(Attempt, RefusesAtOnceInAnOutage)
{
    Attempt attempt(callOf("a1"), {});
    attempt.on(attempt_event::Start{}, start);
    const Refusal refusal = refusalIn(attempt.on(table::Refused{}, start));
    EXPECT_EQ(refusal.code, RefusalCode::StoreUnavailable);
    EXPECT_EQ(refusal.run, RunState::NotRun);
    EXPECT_TRUE(refusal.retryAfter);
    EXPECT_TRUE(std::holds_alternative<Stop>(attempt.on(attempt_event::Replied{}, start)));
}

// A caller repeats a key during an outage, and another entry may have run the call. A "not run" reply would make the
// caller book a second motor.
TEST(Attempt, DoesNotReportNotRunToARepeatInAnOutage)
{
    AttemptCall call = callOf("a2");
    call.repeat = true;
    Attempt attempt(call, {});
    attempt.on(attempt_event::Start{}, start);
    EXPECT_EQ(refusalIn(attempt.on(table::Refused{}, start)).run, RunState::MayHaveRun);

    AttemptCall queried = callOf("a2");
    queried.resultQuery = true;
    Attempt asking(queried, {});
    asking.on(attempt_event::Start{}, start);
    EXPECT_TRUE(std::holds_alternative<QueryResult>(asking.on(table::Refused{}, start)));
    EXPECT_EQ(refusalIn(asking.on(attempt_event::ResultFound{{200, "", "x"}}, start)).run, RunState::MayHaveRun);
}

// The insert and all reads remain without a reply. "Not run" is correct, but the insert may take effect later and would
// block the key. After the reply the row is set to released, whether or not the insert has taken effect by then.
TEST(Attempt, ReleasesAnInsertThatMayTakeEffectLater)
{
    Attempt attempt(callOf("a1"), {});
    attempt.on(attempt_event::Start{}, start);
    attempt.on(table::NoReply{}, start);
    attempt.on(table::ReadFailed{}, start);
    attempt.on(table::ReadFailed{}, start);
    EXPECT_EQ(refusalIn(attempt.on(table::ReadFailed{}, start)).run, RunState::NotRun);
    AttemptAction action = attempt.on(attempt_event::Replied{}, start);
    EXPECT_EQ(stateWritten(action), LedgerState::Released);
    action = attempt.on(table::NoReply{}, start);
    ASSERT_TRUE(std::holds_alternative<Wait>(action));
    attempt.on(attempt_event::TimerExpired{}, start + 5s);
    action = attempt.on(table::Conflict{rowOf("a1", LedgerState::Open, RowVersion(3))}, start + 5s);
    EXPECT_EQ(std::get<Write>(action).write.ifVersion, RowVersion(3));
    EXPECT_TRUE(std::holds_alternative<Stop>(attempt.on(table::Written{RowVersion(4)}, start + 5s)));
}

TEST(Attempt, ALostAnswerIsQueriedOrReportedAsUnknown)
{
    for (const bool resultQuery : {false, true}) {
        AttemptCall call = callOf("a1");
        call.resultQuery = resultQuery;
        Attempt attempt(call, {});
        attempt.on(attempt_event::Start{}, start);
        attempt.on(table::Written{RowVersion(1)}, start);
        AttemptAction action = attempt.on(attempt_event::AnswerLost{}, start);
        if (resultQuery) {
            ASSERT_TRUE(std::holds_alternative<QueryResult>(action));
            action = attempt.on(attempt_event::ResultFound{{200, "", "found"}}, start);
            EXPECT_EQ(answerIn(action), "found");
        } else {
            EXPECT_EQ(refusalIn(action).run, RunState::MayHaveRun);
        }
    }
}

TEST(Attempt, AnAnswerTooLargeToStoreIsOnlyReturnedToItsCaller)
{
    Attempt attempt(callOf("a1"), {});
    attempt.on(attempt_event::Start{}, start);
    attempt.on(table::Written{RowVersion(1)}, start);
    const std::string large(65 * 1024, 'x');
    EXPECT_EQ(answerIn(attempt.on(attempt_event::Answered{{200, "", large}}, start)), large);
    const AttemptAction action = attempt.on(attempt_event::Replied{}, start);
    const LedgerRecord kept = *decodeLedgerRecord(std::get<Write>(action).write.value);
    EXPECT_FALSE(kept.answer);

    Attempt repeat(callOf("a2"), {});
    repeat.on(attempt_event::Start{}, start);
    EXPECT_EQ(refusalIn(repeat.on(table::Conflict{TableRow{encode(kept), RowVersion(2)}}, start)).run, RunState::Ran);
}

} // namespace
} // namespace fescuesill
