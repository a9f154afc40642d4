#pragma once

// A planned stop in virtual time: requests that arrive before, during and after it, a balancer that notices late,
// ledger rows that are still to be settled, and the process that exits when it may.
//
//     StopWorld world(run);
//     world.runToEnd();
//     HistoryChecker({}).check(world.history); world.exited();

#include "promise/draining.h"
#include "testing/history.h"
#include "testing/simulation.h"

#include <set>

namespace fescuesill
{

class StopWorld
{
public:
    explicit StopWorld(FaultRun &run);

    void runToEnd();
    bool exited() const;
    std::string outcome() const;

    History history;

private:
    struct Work {
        Duration length{1s};
        bool movable = true;
        Duration duty{0}; // a ledger row that is settled this long after the answer
    };

    void arrive(int number);
    Work workUnder(Fault fault);
    void end(int number, Duration duty);
    void pollExit();
    void report();
    RequestId requestOf(int number) const;
    bool balancerSendsHere() const;

    FaultRun &run;
    Simulation simulation;
    Draining draining{{}};
    std::set<int> running;
    std::set<int> movable;
    int duties = 0;
    int moved = 0;
    Duration balancerLag{2s};
    bool gone = false;
};

} // namespace fescuesill
