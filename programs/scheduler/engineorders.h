#pragma once

// Carries out orders to engines under their fencing numbers: EngineOrdering with its I/O.
//
//     EngineOrders orders(io, engines, options);
//     orders.carryOut(order, yield);          // returns when the engine reports it, or it cannot be done now
//
// The decider proposes again what is not yet so: nothing is kept here between two orders.

#include "programs/scheduler/directormessages.h"
#include "promise/engineordering.h"
#include "wire/engineclient.h"
#include "wire/platformclient.h"

#include <set>

namespace fescuesill
{

class EngineOrders
{
public:
    struct Options {
        HostId host;
        std::string platform;
    };

    EngineOrders(asio::io_context &context, EngineClient &engines, const Options &options);

    void carryOut(const OrderRole &order, const asio::yield_context &yield);

private:
    OrderEvent perform(const order_action::Read &read, const OrderRole &order, const asio::yield_context &yield);
    OrderEvent perform(const order_action::Write &write, const OrderRole &order, const asio::yield_context &yield);
    OrderEvent perform(const order_action::SendOrder &send, const OrderRole &order, const asio::yield_context &yield);
    OrderEvent perform(const order_action::ReadReported &read, const OrderRole &order,
                       const asio::yield_context &yield);
    OrderEvent perform(const order_action::Wait &wait, const OrderRole &order, const asio::yield_context &yield);
    OrderEvent perform(const order_action::Finish &finish, const OrderRole &order, const asio::yield_context &yield);

    asio::io_context &context;
    EngineClient &engines;
    Options options;
    PlatformClient platform;
    std::set<EngineId> busy; // at most one order to an engine at a time
    std::uint64_t lastOrder = 0;
};

} // namespace fescuesill
