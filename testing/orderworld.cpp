#include "testing/orderworld.h"

#include <fmt/format.h>

// The old owner starts; three seconds later the new one does, and the old one learns two seconds after that that it no
// longer owns the cell. A frozen owner learns nothing. At the end the engine must be as the new owner wishes, whatever
// a late order did in between.

namespace fescuesill
{
namespace
{

constexpr Duration horizon = 200s;
constexpr Duration pause = 2s;
constexpr Duration longestQuiet = 15s; // waiting out a lease and its margin
const EngineId engine("athens-d1");

} // namespace

OrderWorld::Owner::Owner(Simulation &simulation, FaultRun &run, int number, std::string wish)
    : process(simulation, run, number)
    , id(fmt::format("host-{}", number))
    , wish(std::move(wish))
    , number(number)
{
}

OrderWorld::OrderWorld(FaultRun &run, bool checksFencing)
    : run(run)
    , checksFencing(checksFencing)
{
}

void OrderWorld::runToEnd()
{
    this->owners.push_back(std::make_unique<Owner>(this->simulation, this->run, 1, "prefill"));
    this->reconcile(*this->owners[0]);
    this->simulation.after(3s, [this] {
        this->owners.push_back(std::make_unique<Owner>(this->simulation, this->run, 2, "both"));
        this->reconcile(*this->owners[1]);
    });
    this->simulation.after(5s, [this] { this->owners[0]->owns = false; });
    this->simulation.after(20s, [this] { this->replaceQuietOwner(); });
    this->simulation.runUntilIdle();
}

// A new owner that dies or freezes is replaced by another with the same wish.
void OrderWorld::replaceQuietOwner()
{
    const Owner &last = *this->owners.back();
    if (this->simulation.now > Instant(1000s) + horizon) {
        return;
    }
    if (!last.process.alive || this->simulation.now - last.lastActive > longestQuiet) {
        const int number = static_cast<int>(this->owners.size()) + 1;
        this->owners.push_back(std::make_unique<Owner>(this->simulation, this->run, number, "both"));
        this->reconcile(*this->owners.back());
    }
    this->simulation.after(10s, [this] { this->replaceQuietOwner(); });
}

std::string OrderWorld::broken() const
{
    if (this->value != "both") {
        return "the engine ended as " + this->value;
    }
    // Only a freeze or a delay between the last look at the clock and the engine excuses an order after the
    // successor's.
    bool excused = false;
    for (const FaultRun::Step &step : this->run.steps) {
        excused =
            excused || (step.kind == "order" && (step.fault == Fault::FreezeBefore || step.fault == Fault::LateEffect));
    }
    return this->lateOrders > 0 && !excused ? "the old owner ordered after the new one" : "";
}

std::string OrderWorld::outcome() const
{
    return this->lateOrders > 0 ? "late order repaired" : "in force";
}

void OrderWorld::reconcile(Owner &owner)
{
    const bool over = this->simulation.now > Instant(1000s) + horizon || !owner.owns || !owner.process.alive;
    if (over) {
        return;
    }
    if (this->value == owner.wish) {
        owner.lastActive = this->simulation.now;
        this->simulation.after(pause, [this, &owner] { this->reconcile(owner); });
        return;
    }
    owner.lastActive = this->simulation.now;
    ++owner.orders;
    OrderRequest request{engine, this->checksFencing, owner.id, fmt::format("order-{}-{}", owner.number, owner.orders),
                         "role", owner.wish};
    owner.ordering = std::make_unique<EngineOrdering>(std::move(request), EngineOrdering::Options{});
    this->step(owner, order_event::Start{});
}

void OrderWorld::step(Owner &owner, const OrderEvent &event)
{
    if (!owner.owns) {
        return; // the program drops an ordering when the cell is another's
    }
    owner.lastActive = this->simulation.now;
    this->perform(owner, owner.ordering->on(event, this->simulation.now));
}

void OrderWorld::perform(Owner &owner, const OrderAction &action)
{
    const auto next = [this, &owner](const OrderEvent &event) {
        this->step(owner, event);
    };
    SimProcess &process = owner.process;
    if (const auto *read = std::get_if<order_action::Read>(&action)) {
        process.act<OrderEvent>(
            {"read the order row", true},
            [this, key = read->key]() -> OrderEvent { return table::RowRead{this->table.read(key)}; },
            table::ReadFailed{}, table::ReadFailed{}, next);
    } else if (const auto *write = std::get_if<order_action::Write>(&action)) {
        const auto effect = [this, single = write->write]() -> OrderEvent {
            return std::visit([](const auto &written) -> OrderEvent { return written; }, this->table.commit({single}));
        };
        process.act<OrderEvent>({"take number and lease", true}, effect, table::NoReply{}, table::Refused{}, next);
    } else if (const auto *order = std::get_if<order_action::SendOrder>(&action)) {
        const auto effect = [this, &owner, fencing = order->fencing] {
            return this->engineTakes(owner, fencing);
        };
        process.act<OrderEvent>({"order", false}, effect, order_event::NotAccepted{}, order_event::NotAccepted{}, next);
    } else if (std::holds_alternative<order_action::ReadReported>(action)) {
        process.act<OrderEvent>(
            {"read the report", false}, [this]() -> OrderEvent { return order_event::Reported{this->value}; },
            order_event::ReportFailed{}, order_event::ReportFailed{}, next);
    } else if (const auto *wait = std::get_if<order_action::Wait>(&action)) {
        this->simulation.after(wait->duration, [next, &process] {
            if (process.alive) {
                next(order_event::TimerExpired{});
            }
        });
    } else {
        this->simulation.after(pause, [this, &owner] { this->reconcile(owner); });
    }
}

OrderEvent OrderWorld::engineTakes(const Owner &owner, FencingNumber fencing)
{
    if (this->checksFencing && fencing < this->highestSeen) {
        return order_event::Stale{this->highestSeen};
    }
    this->highestSeen = std::max(this->highestSeen, fencing);
    this->newOwnerOrdered = this->newOwnerOrdered || owner.number > 1;
    if (owner.number == 1 && this->newOwnerOrdered) {
        ++this->lateOrders;
    }
    this->value = owner.wish;
    return order_event::Accepted{};
}

} // namespace fescuesill
