#include "promise/ledgersettlement.h"

#include "promise/attempt.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

const Instant start{1000s};
const std::string rowKey = "call/bookings/karamanlis/k1";

LedgerRecord openRecord()
{
    LedgerRecord record;
    record.attempt = AttemptId("a1");
    record.entry = HostId("athens-b");
    record.bodyDigest = "digest";
    record.deadline = start + 4s;
    record.expiry = start + 168h;
    return record;
}

TableRow openRow()
{
    return {encode(openRecord()), RowVersion(1)};
}

LedgerSettlement settlementOf(bool ran, const char *changeId = "c1")
{
    return {rowKey, {"eleni", "not in the booking system", changeId, Instant(), ran}, std::nullopt, {}};
}

const settlement_action::Finish &finishIn(const SettlementAction &action)
{
    return std::get<settlement_action::Finish>(action);
}

LedgerRecord settledRecord(bool ran)
{
    LedgerSettlement settlement = settlementOf(ran);
    settlement.start();
    const auto action = settlement.on(table::RowRead{openRow()}, start + 1h);
    return *decodeLedgerRecord(std::get<settlement_action::Write>(action).write.value);
}

AttemptCall callOf(const char *attempt, bool resultQuery)
{
    return {ServiceId("bookings"),
            WorkspaceId("karamanlis"),
            "k1",
            "digest",
            AttemptId(attempt),
            HostId("athens-a"),
            resultQuery,
            true,
            2s};
}

Refusal refusalIn(const AttemptAction &action)
{
    return std::get<Refusal>(std::get<attempt_action::Reply>(action).with);
}

TEST(LedgerSettlement, WritesAuthorAndReasonAtTheVersionRead)
{
    for (const bool ran : {false, true}) {
        LedgerSettlement settlement = settlementOf(ran);
        settlement.start();
        const auto action = settlement.on(table::RowRead{openRow()}, start + 1h);
        EXPECT_EQ(std::get<settlement_action::Write>(action).write.ifVersion, RowVersion(1));
        const LedgerRecord record = settledRecord(ran);
        EXPECT_EQ(record.state, ran ? LedgerState::Done : LedgerState::Closed);
        EXPECT_EQ(record.stated->author, "eleni");
        EXPECT_EQ(record.stated->reason, "not in the booking system");
        EXPECT_EQ(record.stated->ran, ran);
        EXPECT_EQ(record.stated->at, start + 1h);
        EXPECT_FALSE(mayDelete(record, start + 24h * 3650, 1h));
        EXPECT_EQ(finishIn(settlement.on(table::Written{RowVersion(2)}, start + 1h)).outcome,
                  SettlementOutcome::Settled);
    }
}

TEST(LedgerSettlement, RefusesRowsThatAreNotInDoubt)
{
    LedgerRecord done = openRecord();
    done.state = LedgerState::Done;
    struct Case {
        const char *name;
        std::optional<TableRow> row;
        Instant now;
        bool ran;
        SettlementOutcome outcome;
    };
    const Case cases[] = {
        {"no row", std::nullopt, start + 1h, true, SettlementOutcome::NoRow},
        {"malformed", TableRow{"}", RowVersion(1)}, start + 1h, true, SettlementOutcome::Malformed},
        {"done", TableRow{encode(done), RowVersion(2)}, start + 1h, false, SettlementOutcome::AlreadySettled},
        {"another operator's statement", TableRow{encode(settledRecord(false)), RowVersion(2)}, start + 1h, true,
         SettlementOutcome::AlreadySettled},
        {"before the deadline", openRow(), start + 4s, true, SettlementOutcome::TooEarly},
        {"within the margin", openRow(), start + 4500ms, true, SettlementOutcome::TooEarly},
        {"not run, before the delay has passed", openRow(), start + 4500ms + 30min, false, SettlementOutcome::TooEarly},
    };
    for (const Case &one : cases) {
        LedgerSettlement settlement = settlementOf(one.ran, "c2");
        settlement.start();
        EXPECT_EQ(finishIn(settlement.on(table::RowRead{one.row}, one.now)).outcome, one.outcome) << one.name;
    }
}

// The reply to the write of an operator's statement is lost after the write took effect. The statement must be reported
// as settled, and neither as made by another operator nor as not written.
TEST(LedgerSettlement, ALostReplyIsResolvedByTheChangeId)
{
    LedgerSettlement written = settlementOf(false);
    written.start();
    written.on(table::RowRead{openRow()}, start + 1h);
    ASSERT_TRUE(std::holds_alternative<settlement_action::Read>(written.on(table::NoReply{}, start + 1h)));
    const TableRow settled{encode(settledRecord(false)), RowVersion(2)};
    EXPECT_EQ(finishIn(written.on(table::RowRead{settled}, start + 1h)).outcome, SettlementOutcome::Settled);

    LedgerSettlement silent = settlementOf(false);
    silent.start();
    silent.on(table::RowRead{openRow()}, start + 1h);
    SettlementAction action = silent.on(table::NoReply{}, start + 1h);
    while (!std::holds_alternative<settlement_action::Finish>(action)) {
        action = silent.on(table::ReadFailed{}, start + 1h);
    }
    EXPECT_EQ(finishIn(action).outcome, SettlementOutcome::Unknown);

    LedgerSettlement refused = settlementOf(false);
    action = refused.start();
    while (!std::holds_alternative<settlement_action::Finish>(action)) {
        action = refused.on(table::ReadFailed{}, start + 1h);
    }
    EXPECT_EQ(finishIn(action).outcome, SettlementOutcome::NotMade);
}

// An operator states that a booking was not run. A repeat of its key must not run it and must not be answered with the
// run state "not run", which the ledger cannot guarantee: the first attempt may be frozen with unsent bytes.
TEST(LedgerSettlement, AClosedKeyIsNeverRunAgain)
{
    const TableRow closed{encode(settledRecord(false)), RowVersion(2)};
    Attempt repeat(callOf("a2", false), {});
    repeat.on(attempt_event::Start{}, start + 24h * 365);
    const Refusal refusal = refusalIn(repeat.on(table::Conflict{closed}, start + 24h * 365));
    EXPECT_EQ(refusal.code, RefusalCode::StatedNotRun);
    EXPECT_EQ(refusal.run, RunState::MayHaveRun);
    EXPECT_NE(refusal.text.find("eleni"), std::string::npos);

    Attempt asking(callOf("a2", true), {});
    asking.on(attempt_event::Start{}, start + 1h);
    EXPECT_TRUE(std::holds_alternative<attempt_action::QueryResult>(asking.on(table::Conflict{closed}, start + 1h)));
    EXPECT_EQ(refusalIn(asking.on(attempt_event::ResultAbsent{}, start + 1h)).code, RefusalCode::StatedNotRun);
}

// The entry was frozen after its last check of the clock, an operator states "not run", the entry resumes and the
// booking runs. The answer must override the statement, or repeats are told "not run" permanently. An attempt that was
// frozen earlier releases its row, which must not reopen the key.
TEST(LedgerSettlement, TheAttemptsOwnAnswerOverridesAStatementAndItsReleaseDoesNot)
{
    const TableRow closed{encode(settledRecord(false)), RowVersion(2)};
    Attempt late(callOf("a1", false), {});
    late.on(attempt_event::Start{}, start);
    late.on(table::Written{RowVersion(1)}, start);
    late.on(attempt_event::Answered{{201, "text/plain", "booked"}}, start + 1h);
    late.on(attempt_event::Replied{}, start + 1h);
    const auto action = late.on(table::Conflict{closed}, start + 1h);
    const TableWrite &write = std::get<attempt_action::Write>(action).write;
    EXPECT_EQ(write.ifVersion, RowVersion(2));
    const LedgerRecord record = *decodeLedgerRecord(write.value);
    EXPECT_EQ(record.state, LedgerState::Done);
    EXPECT_EQ(record.answer->body, "booked");
    EXPECT_EQ(record.stated->author, "eleni");

    Attempt resumed(callOf("a1", false), {});
    resumed.on(attempt_event::Start{}, start);
    ASSERT_TRUE(std::holds_alternative<attempt_action::Write>(resumed.on(table::Written{RowVersion(1)}, start + 1h)));
    EXPECT_EQ(refusalIn(resumed.on(table::Conflict{closed}, start + 1h)).code, RefusalCode::StatedNotRun);
    EXPECT_TRUE(std::holds_alternative<attempt_action::Stop>(resumed.on(attempt_event::Replied{}, start + 1h)));
}

} // namespace
} // namespace fescuesill
