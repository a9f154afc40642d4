#pragma once

// One order to one engine, from the desired state until the engine reports it.
//
//     EngineOrdering ordering(request, options);
//     OrderAction action = ordering.on(order_event::Start{}, sharedNow());
//     while (!std::holds_alternative<order_action::Finish>(action)) {
//         action = ordering.on(perform(action), sharedNow());
//     }
//
// Orders are level-triggered: the owner of the engine periodically compares the desired with the reported state and
// starts an EngineOrdering where they differ, which also repairs the effect of a late order. Time is shared time.

#include "fescuesill/ids.h"
#include "promise/orderrecord.h"
#include "promise/tablerow.h"

#include <string>
#include <variant>

namespace fescuesill
{

struct OrderRequest {
    EngineId engine;
    bool checksFencing = false;
    HostId holder;
    std::string orderId;
    std::string kind; // role or model
    std::string value;
};

namespace order_event
{
struct Start {
};
struct Accepted {
};
// The engine has seen a higher fencing number.
struct Stale {
    FencingNumber seen;
};
struct NotAccepted {
};
struct Reported {
    std::string value;
};
struct ReportFailed {
};
struct TimerExpired {
};
} // namespace order_event

using OrderEvent =
    std::variant<order_event::Start, table::Written, table::Conflict, table::Refused, table::NoReply, table::RowRead,
                 table::ReadFailed, order_event::Accepted, order_event::Stale, order_event::NotAccepted,
                 order_event::Reported, order_event::ReportFailed, order_event::TimerExpired>;

enum class OrderOutcome {
    InForce, // the engine reports the value
    HeldByOther, // another host holds the lease and gives the orders
    LeaseLost, // this host's lease ended before the engine reported the value
    StoreUnavailable,
    EngineUnavailable,
    Malformed, // the row cannot be parsed
};

namespace order_action
{
struct Read {
    std::string key;
};
struct Write {
    TableWrite write;
};
// Compare the clock with sendBy once more right before the first byte. Feed back Accepted, Stale or NotAccepted (also:
// unknown).
struct SendOrder {
    FencingNumber fencing;
    Instant sendBy;
};
// Read the engine's state of this kind. Feed back Reported or ReportFailed.
struct ReadReported {
};
struct Wait {
    Duration duration;
};
struct Finish {
    OrderOutcome outcome;
};
} // namespace order_action

using OrderAction = std::variant<order_action::Read, order_action::Write, order_action::SendOrder,
                                 order_action::ReadReported, order_action::Wait, order_action::Finish>;

class EngineOrdering
{
public:
    struct Options {
        // Covers one short call. Loading a model takes tens of seconds, but needs no lease.
        Duration lease{10s};
        // Upper bound of the difference between two hosts' clocks and of the time that an order is in transit.
        Duration clockMargin{1s};
        int tableTries = 4;
        int reports = 30; // with reportWait, bounds how long an engine may take to change
        Duration reportWait{1s};
    };

    EngineOrdering(OrderRequest request, Options options);

    // Throws std::logic_error on an event that does not match the last action.
    OrderAction on(const OrderEvent &event, Instant now);

private:
    enum class State {
        New,
        Reading,
        Writing,
        WaitingOutLease,
        Sending,
        ReadingReport,
        WaitingForReport,
        Finished,
    };

    OrderAction read();
    OrderAction onRead(const OrderEvent &event, Instant now);
    OrderAction onRow(const TableRow &row, Instant now);
    OrderAction claim(FencingNumber seen, RowVersion version, Instant now);
    OrderAction onWritten(const OrderEvent &event, Instant now);
    OrderAction send(Instant now);
    OrderAction onSent(const OrderEvent &event);
    OrderAction onReported(const OrderEvent &event);
    OrderAction onReportWait(Instant now);
    OrderAction finish(OrderOutcome outcome);

    OrderRequest request;
    Options options;
    State state = State::New;
    OrderRecord own;
    bool waited = false;
    bool accepted = false;
    int tries = 0;
    int reports = 0;
};

} // namespace fescuesill
