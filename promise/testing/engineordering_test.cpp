#include "promise/engineordering.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

using namespace order_action;

const Instant start{1000s};

OrderRequest requestOf(bool checksFencing)
{
    return {EngineId("athens-d1"), checksFencing, HostId("a"), "mine", "role", "prefill"};
}

TableRow rowOf(Instant leaseEnd, const char *orderId = "theirs")
{
    return {encode(OrderRecord{FencingNumber(7), HostId("b"), orderId, leaseEnd, "role", "decode"}), RowVersion(3)};
}

OrderOutcome outcomeOf(const OrderAction &action)
{
    const auto *finish = std::get_if<Finish>(&action);
    EXPECT_NE(finish, nullptr);
    return finish == nullptr ? OrderOutcome::Malformed : finish->outcome;
}

TEST(EngineOrdering, UsesTheNextNumberAndWaitsForTheReport)
{
    EngineOrdering ordering(requestOf(true), {});
    ordering.on(order_event::Start{}, start);
    OrderAction action = ordering.on(table::RowRead{rowOf(start + 5s)}, start);
    EXPECT_EQ(std::get<Wait>(action).duration, Duration(5s)); // no clock margin: the engine checks numbers
    ordering.on(order_event::TimerExpired{}, start);
    action = ordering.on(table::RowRead{rowOf(start)}, start);
    EXPECT_EQ(decodeOrderRecord(std::get<Write>(action).write.value)->fencing, FencingNumber(8));
    action = ordering.on(table::Written{RowVersion(4)}, start);
    EXPECT_EQ(std::get<SendOrder>(action).fencing, FencingNumber(8));
    EXPECT_TRUE(std::holds_alternative<ReadReported>(ordering.on(order_event::Accepted{}, start)));
    EXPECT_TRUE(std::holds_alternative<Wait>(ordering.on(order_event::Reported{"decode"}, start)));
    // Loading takes longer than the lease: the order is not sent again, but the report is read again.
    EXPECT_TRUE(std::holds_alternative<ReadReported>(ordering.on(order_event::TimerExpired{}, start + 40s)));
    EXPECT_EQ(outcomeOf(ordering.on(order_event::Reported{"prefill"}, start + 40s)), OrderOutcome::InForce);
}

// An engine that ignores fencing numbers accepts orders of any host. Until the holder's lease and the clock margin are
// over, no other host may order.
TEST(EngineOrdering, WaitsOutTheLeaseOfAnEngineThatIgnoresNumbers)
{
    EngineOrdering ordering(requestOf(false), {});
    ordering.on(order_event::Start{}, start);
    OrderAction action = ordering.on(table::RowRead{rowOf(start + 5s)}, start);
    EXPECT_EQ(std::get<Wait>(action).duration, Duration(6s));
    ordering.on(order_event::TimerExpired{}, start + 6s);
    action = ordering.on(table::RowRead{rowOf(start + 5s)}, start + 6s);
    EXPECT_TRUE(std::holds_alternative<Write>(action));

    EngineOrdering overtaken(requestOf(false), {});
    overtaken.on(order_event::Start{}, start);
    overtaken.on(table::RowRead{rowOf(start + 5s)}, start);
    overtaken.on(order_event::TimerExpired{}, start + 6s);
    EXPECT_EQ(outcomeOf(overtaken.on(table::RowRead{rowOf(start + 15s)}, start + 6s)), OrderOutcome::HeldByOther);
}

// The holder is suspended between claiming the lease and sending, and resumes when its lease is over and another host
// may hold it.
TEST(EngineOrdering, DoesNotOrderAfterItsLease)
{
    EngineOrdering ordering(requestOf(false), {});
    ordering.on(order_event::Start{}, start);
    ordering.on(table::RowRead{std::nullopt}, start);
    EXPECT_EQ(outcomeOf(ordering.on(table::Written{RowVersion(1)}, start + 10s)), OrderOutcome::LeaseLost);
}

TEST(EngineOrdering, ALostReplyOfTheTableIsResolvedByTheOrderId)
{
    EngineOrdering ordering(requestOf(false), {});
    ordering.on(order_event::Start{}, start);
    ordering.on(table::RowRead{std::nullopt}, start);
    ordering.on(table::NoReply{}, start);
    const OrderAction action = ordering.on(table::RowRead{rowOf(start + 10s, "mine")}, start);
    EXPECT_EQ(std::get<SendOrder>(action).fencing, FencingNumber(7));
}

TEST(EngineOrdering, AStaleNumberAndAnOutageEndIt)
{
    EngineOrdering stale(requestOf(true), {});
    stale.on(order_event::Start{}, start);
    stale.on(table::RowRead{std::nullopt}, start);
    stale.on(table::Written{RowVersion(1)}, start);
    EXPECT_EQ(outcomeOf(stale.on(order_event::Stale{FencingNumber(9)}, start)), OrderOutcome::HeldByOther);

    EngineOrdering outage(requestOf(true), {});
    OrderAction action = outage.on(order_event::Start{}, start);
    while (!std::holds_alternative<Finish>(action)) {
        action = outage.on(table::ReadFailed{}, start);
    }
    EXPECT_EQ(outcomeOf(action), OrderOutcome::StoreUnavailable);
}

} // namespace
} // namespace fescuesill
