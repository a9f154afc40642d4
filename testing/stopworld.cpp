#include "testing/stopworld.h"

#include <fmt/format.h>

// One request a second from two seconds before the stop to five after it. What strikes a request makes it long,
// impossible to move, or leave a row to settle; what strikes the balancer makes it late. A process that exits cuts off
// what still runs.

namespace fescuesill
{
namespace
{

const HostId host("entry-1");
constexpr int arrivals = 8;
constexpr Duration stopAt = 2s;
constexpr Duration poll = 250ms;
constexpr Duration horizon = 300s;
constexpr Duration longRequest = 100s;
constexpr Duration lateBalancer = 6s;

} // namespace

StopWorld::StopWorld(FaultRun &run)
    : run(run)
{
}

void StopWorld::runToEnd()
{
    for (int number = 1; number <= arrivals; ++number) {
        this->simulation.after(1s * number - 500ms, [this, number] { this->arrive(number); });
    }
    this->simulation.after(stopAt, [this] {
        this->draining.start(this->simulation.now);
        this->history.add(this->simulation.now, history::StopBegan{host});
        this->pollExit();
    });
    this->simulation.runUntilIdle();
}

bool StopWorld::exited() const
{
    return this->gone;
}

std::string StopWorld::outcome() const
{
    return this->moved > 0 ? "exited, streams moved" : "exited";
}

RequestId StopWorld::requestOf(int number) const
{
    return RequestId(fmt::format("r{}", number));
}

bool StopWorld::balancerSendsHere() const
{
    return this->draining.isReady() || this->simulation.now < Instant(1000s) + stopAt + this->balancerLag;
}

void StopWorld::arrive(int number)
{
    const Work work = this->workUnder(this->run.strike(1, "request arrives"));
    const RequestId request = this->requestOf(number);
    if (!this->balancerSendsHere() || this->gone) {
        return; // another host has it
    }
    this->history.add(this->simulation.now, history::Sent{request, ""});
    if (!this->draining.admits(this->simulation.now)) {
        this->history.add(this->simulation.now, history::Refused{request, drainingRefusal().run});
        return;
    }
    this->history.add(this->simulation.now, history::Executed{request, "", "done"});
    this->running.insert(number);
    if (work.movable) {
        this->movable.insert(number);
    }
    this->report();
    this->simulation.after(work.length, [this, number, duty = work.duty] { this->end(number, duty); });
}

StopWorld::Work StopWorld::workUnder(Fault fault)
{
    switch (fault) {
    case Fault::Slow:
    case Fault::FreezeAfter:
        return {longRequest, true, 0s};
    case Fault::LateEffect:
    case Fault::FreezeBefore:
        return {longRequest, false, 0s};
    case Fault::LostReply:
        return {1s, true, 30s};
    case Fault::OutageShort:
        return {1s, true, 2s};
    case Fault::OutageLong:
        return {1s, true, 60s};
    case Fault::Cut:
        this->balancerLag = lateBalancer;
        return {};
    case Fault::Cancel:
        return {10ms, true, 0s};
    default:
        return {};
    }
}

void StopWorld::end(int number, Duration duty)
{
    if (this->running.erase(number) == 0) {
        return; // cut off or moved
    }
    this->movable.erase(number);
    this->history.add(this->simulation.now, history::Answered{this->requestOf(number), "done"});
    if (duty > Duration(0)) {
        ++this->duties;
        this->simulation.after(duty, [this] {
            --this->duties;
            this->report();
        });
    }
    this->report();
}

void StopWorld::report()
{
    this->draining.onWork({static_cast<int>(this->running.size()), 0, this->duties});
}

void StopWorld::pollExit()
{
    const Instant now = this->simulation.now;
    if (this->draining.moves(now)) {
        for (const int number : std::set<int>(this->movable)) {
            ++this->moved;
            this->end(number, 0s); // read on at another entry
        }
    }
    if (this->draining.mayExit(now)) {
        this->gone = true;
        for (const int number : this->running) {
            this->history.add(now, history::Cut{this->requestOf(number), host});
        }
        this->running.clear();
        return;
    }
    if (now < Instant(1000s) + horizon) {
        this->simulation.after(poll, [this] { this->pollExit(); });
    }
}

} // namespace fescuesill
