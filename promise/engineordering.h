#pragma once

// One order to one engine, from the wish to the engine's report that it is so.
//
//     EngineOrdering ordering(request, options);
//     OrderAction action = ordering.on(order_event::Start{}, sharedNow());
//     while (!std::holds_alternative<order_action::Finish>(action)) {
//         action = ordering.on(perform(action), sharedNow());
//     }
//
// Orders are level-triggered: whoever owns the engine compares desired with reported state again and again and starts
// one of these where they differ, so that what a late order did is repaired. Time is shared time.

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
// The engine has seen a higher number.
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
    HeldByOther, // another host's lease runs; it orders
    LeaseLost, // this host's lease ended before the engine reported the value
    StoreUnavailable,
    EngineUnavailable,
    Malformed, // the row does not parse
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
// Ask the engine for its state of this kind. Feed back Reported or ReportFailed.
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
        // Loading a model takes tens of seconds, but the order itself is one short call.
        Duration lease{10s};
        // The most that two hosts' clocks differ, and the most that an order is under way.
        Duration clockMargin{1s};
        int tableTries = 4;
        int reports = 30; // with reportWait, how long an engine may take to change
        Duration reportWait{1s};
    };

    EngineOrdering(OrderRequest request, Options options);

    // An event that does not answer the last action throws std::logic_error.
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
