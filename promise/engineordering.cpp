#include "promise/engineordering.h"

#include <stdexcept>
#include <utility>

// The row holds the highest fencing number issued, the holder that may order under it and the end of the lease. Numbers
// come from compare-and-set on the row, so they are unique and strictly increasing.
//
// Engines that check fencing numbers: the number alone excludes an old holder, whatever the clocks show. The lease is
// still waited for: while two schedulers both act as the owner of the cell, each would revert the other's orders, and
// every change of role or model costs the engine seconds of work.
//
// Engines that ignore fencing numbers: only time separates two holders. A holder sends only while its own lease is
// valid, and a new holder claims the row only once the old lease has been over for the clock margin. One case remains:
// a holder suspended between its last check of the clock and the first byte sends a late order, which the engine
// accepts, and the engine leaves the desired state. An engine that checks nothing cannot be protected from this, so it
// is repaired: orders are level-triggered, and the holder orders again when the reported state differs from the desired
// one.
//
// An order whose reply is lost needs no case of its own: the engine's reported state decides.

namespace fescuesill
{
namespace
{

[[noreturn]] void throwUnexpectedEvent()
{
    throw std::logic_error("order: the event does not match the last action");
}

} // namespace

EngineOrdering::EngineOrdering(OrderRequest request, Options options)
    : request(std::move(request))
    , options(options)
{
}

OrderAction EngineOrdering::on(const OrderEvent &event, Instant now)
{
    const bool timerExpired = std::holds_alternative<order_event::TimerExpired>(event);
    switch (this->state) {
    case State::New:
        if (!std::holds_alternative<order_event::Start>(event)) {
            throwUnexpectedEvent();
        }
        return this->read();
    case State::Reading:
        return this->onRead(event, now);
    case State::Writing:
        return this->onWritten(event, now);
    case State::Sending:
        return this->onSent(event);
    case State::ReadingReport:
        return this->onReported(event);
    case State::WaitingOutLease:
        if (!timerExpired) {
            throwUnexpectedEvent();
        }
        this->tries = 0;
        return this->read();
    case State::WaitingForReport:
        if (!timerExpired) {
            throwUnexpectedEvent();
        }
        return this->onReportWait(now);
    case State::Finished:
        break;
    }
    throwUnexpectedEvent();
}

OrderAction EngineOrdering::read()
{
    if (++this->tries > this->options.tableTries) {
        return this->finish(OrderOutcome::StoreUnavailable);
    }
    this->state = State::Reading;
    return order_action::Read{orderKey(this->request.engine)};
}

OrderAction EngineOrdering::onRead(const OrderEvent &event, Instant now)
{
    if (const auto *got = std::get_if<table::RowRead>(&event)) {
        return got->row ? this->onRow(*got->row, now) : this->claim(FencingNumber(0), absent, now);
    }
    if (!std::holds_alternative<table::ReadFailed>(event)) {
        throwUnexpectedEvent();
    }
    return this->read();
}

OrderAction EngineOrdering::onRow(const TableRow &row, Instant now)
{
    const auto found = decodeOrderRecord(row.value);
    if (!found) {
        return this->finish(OrderOutcome::Malformed);
    }
    if (found->orderId == this->request.orderId) {
        // The write took effect but its reply was lost.
        this->own = *found;
        return this->send(now);
    }
    const Duration margin = this->request.checksFencing ? Duration(0) : this->options.clockMargin;
    const Instant free = found->leaseEnd + margin;
    const bool mustWait = found->holder != this->request.holder && now < free;
    if (!mustWait) {
        return this->claim(found->fencing, row.version, now);
    }
    if (this->waited) {
        return this->finish(OrderOutcome::HeldByOther);
    }
    if (free - now > this->options.lease + 2 * this->options.clockMargin) {
        return this->finish(OrderOutcome::HeldByOther); // longer than any lease that this program writes
    }
    this->waited = true; // waits once: if another holder claims the row meanwhile, it keeps the engine
    this->state = State::WaitingOutLease;
    return order_action::Wait{free - now};
}

OrderAction EngineOrdering::claim(FencingNumber seen, RowVersion version, Instant now)
{
    this->own = OrderRecord{seen + FencingNumber(1),   this->request.holder, this->request.orderId,
                            now + this->options.lease, this->request.kind,   this->request.value};
    this->state = State::Writing;
    return order_action::Write{{orderKey(this->request.engine), encode(this->own), version}};
}

OrderAction EngineOrdering::onWritten(const OrderEvent &event, Instant now)
{
    if (std::holds_alternative<table::Written>(event)) {
        return this->send(now);
    }
    const bool failed = std::holds_alternative<table::Conflict>(event) || std::holds_alternative<table::Refused>(event)
        || std::holds_alternative<table::NoReply>(event);
    if (!failed) {
        throwUnexpectedEvent();
    }
    return this->read();
}

OrderAction EngineOrdering::send(Instant now)
{
    // A holder that was suspended past the end of its lease must not send, or the orders of two holders would mix at
    // one engine. `now` is read after the write, so such a holder sees that its lease is over.
    if (now >= this->own.leaseEnd) {
        return this->finish(OrderOutcome::LeaseLost);
    }
    this->state = State::Sending;
    return order_action::SendOrder{this->own.fencing, this->own.leaseEnd};
}

OrderAction EngineOrdering::onSent(const OrderEvent &event)
{
    if (std::holds_alternative<order_event::Stale>(event)) {
        return this->finish(OrderOutcome::HeldByOther);
    }
    this->accepted = std::holds_alternative<order_event::Accepted>(event);
    if (!this->accepted && !std::holds_alternative<order_event::NotAccepted>(event)) {
        throwUnexpectedEvent();
    }
    this->state = State::ReadingReport;
    return order_action::ReadReported{};
}

OrderAction EngineOrdering::onReported(const OrderEvent &event)
{
    const auto *reported = std::get_if<order_event::Reported>(&event);
    if (reported == nullptr && !std::holds_alternative<order_event::ReportFailed>(event)) {
        throwUnexpectedEvent();
    }
    if (reported != nullptr && reported->value == this->request.value) {
        return this->finish(OrderOutcome::InForce);
    }
    if (++this->reports >= this->options.reports) {
        return this->finish(OrderOutcome::EngineUnavailable);
    }
    this->state = State::WaitingForReport;
    return order_action::Wait{this->options.reportWait};
}

// An accepted order may need longer than the lease to take effect, so only the reported state is read again. An order
// whose reply was lost is sent again while the lease is valid, with the same number and value, so a second delivery
// changes nothing.
OrderAction EngineOrdering::onReportWait(Instant now)
{
    if (!this->accepted) {
        return this->send(now);
    }
    this->state = State::ReadingReport;
    return order_action::ReadReported{};
}

OrderAction EngineOrdering::finish(OrderOutcome outcome)
{
    this->state = State::Finished;
    return order_action::Finish{outcome};
}

} // namespace fescuesill
