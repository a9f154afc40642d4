#include "programs/scheduler/engineorders.h"

#include "wire/clock.h"
#include "wire/log.h"

#include <boost/asio/steady_timer.hpp>

#include <stdexcept>

namespace fescuesill
{
namespace
{

constexpr const char *roleKind = "role";

std::string roleName(Pool pool)
{
    return pool == Pool::Prefill ? "prefill" : "decode";
}

TableRow tableRow(const Row &row)
{
    return TableRow{row.value, row.version};
}

const char *outcomeName(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::InForce:
        return "in_force";
    case OrderOutcome::HeldByOther:
        return "held_by_other";
    case OrderOutcome::LeaseLost:
        return "lease_lost";
    case OrderOutcome::StoreUnavailable:
        return "store_unavailable";
    case OrderOutcome::EngineUnavailable:
        return "engine_unavailable";
    case OrderOutcome::Malformed:
        return "malformed";
    }
    return "malformed";
}

OrderEvent sendFailure(const EngineError &failed)
{
    if (const auto *stale = std::get_if<StaleFencing>(&failed.fault())) {
        return order_event::Stale{stale->seen};
    }
    return order_event::NotAccepted{};
}

OrderEvent writeFailure(const PlatformError &failed)
{
    if (const auto *conflict = std::get_if<Conflict>(&failed.fault())) {
        const bool isAbsent = conflict->current.version == absent;
        return table::Conflict{isAbsent ? std::nullopt : std::optional(tableRow(conflict->current))};
    }
    if (failed.mayHaveTakenEffect()) {
        return table::NoReply{};
    }
    return table::Refused{};
}

} // namespace

EngineOrders::EngineOrders(asio::io_context &context, EngineClient &engines, const Options &options)
    : context(context)
    , engines(engines)
    , options(options)
    , platform(context, PlatformClient::Options{options.platform})
{
}

void EngineOrders::carryOut(const OrderRole &order, const asio::yield_context &yield)
{
    if (!this->busy.insert(order.engine.id).second) {
        return;
    }
    OrderRequest request;
    request.engine = order.engine.id;
    request.checksFencing = order.engine.checksFencing;
    request.holder = this->options.host;
    request.orderId = this->options.host.value() + "/" + std::to_string(sharedNow().time_since_epoch().count()) + "/"
        + std::to_string(++this->lastOrder);
    request.kind = roleKind;
    request.value = roleName(order.pool);
    EngineOrdering ordering(request, EngineOrdering::Options());
    OrderAction action = ordering.on(order_event::Start{}, sharedNow());
    while (!std::holds_alternative<order_action::Finish>(action)) {
        const OrderEvent event =
            std::visit([&](const auto &wanted) { return this->perform(wanted, order, yield); }, action);
        action = ordering.on(event, sharedNow());
    }
    this->busy.erase(order.engine.id);
    Log::info("order_ended",
              {{"engine", order.engine.id.value()},
               {"role", request.value},
               {"outcome", outcomeName(std::get<order_action::Finish>(action).outcome)}});
}

OrderEvent EngineOrders::perform(const order_action::Read &read, const OrderRole & /*order*/,
                                 const asio::yield_context &yield)
{
    try {
        const auto row = this->platform.get(read.key, yield);
        return table::RowRead{row ? std::optional(tableRow(*row)) : std::nullopt};
    } catch (const PlatformError &) {
        return table::ReadFailed{};
    }
}

OrderEvent EngineOrders::perform(const order_action::Write &write, const OrderRole & /*order*/,
                                 const asio::yield_context &yield)
{
    try {
        const RowWrite row = RowWrite::put(write.write.key, write.write.value, write.write.ifVersion);
        return table::Written{this->platform.commit({row}, yield).at(0)};
    } catch (const PlatformError &failed) {
        return writeFailure(failed);
    }
}

OrderEvent EngineOrders::perform(const order_action::SendOrder &send, const OrderRole &order,
                                 const asio::yield_context &yield)
{
    // Failure: this process was paused between the decision and here, and another host has the lease by now. It shows
    // as two hosts that order one engine about in turn. An engine that ignores fencing numbers would obey.
    if (sharedNow() >= send.sendBy) {
        return order_event::NotAccepted{};
    }
    try {
        this->engines.order(order.engine.address, send.fencing, OrderKind::Role, roleName(order.pool), yield);
        return order_event::Accepted{};
    } catch (const EngineError &failed) {
        return sendFailure(failed);
    }
}

OrderEvent EngineOrders::perform(const order_action::ReadReported & /*read*/, const OrderRole &order,
                                 const asio::yield_context &yield)
{
    try {
        return order_event::Reported{this->engines.load(order.engine.address, yield).role};
    } catch (const EngineError &) {
        return order_event::ReportFailed{};
    }
}

OrderEvent EngineOrders::perform(const order_action::Wait &wait, const OrderRole & /*order*/,
                                 const asio::yield_context &yield)
{
    asio::steady_timer timer(this->context, wait.duration);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
    return order_event::TimerExpired{};
}

OrderEvent EngineOrders::perform(const order_action::Finish & /*finish*/, const OrderRole & /*order*/,
                                 const asio::yield_context & /*yield*/)
{
    throw std::logic_error("a finished order has nothing to perform");
}

} // namespace fescuesill
