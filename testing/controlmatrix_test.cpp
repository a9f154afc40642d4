#include "testing/configworld.h"
#include "testing/historychecker.h"
#include "testing/orderworld.h"
#include "testing/stopworld.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace fescuesill
{
namespace
{

void enumerateConfigChanges(const char *name, TableReaders readers)
{
    FaultMatrix matrix(name);
    matrix.enumerate([readers](FaultRun &run) {
        ConfigWorld world(run, readers);
        world.runToEnd();
        run.outcome = world.outcome();
        if (const auto violation = HistoryChecker({}).check(world.history)) {
            ADD_FAILURE() << run.planText() << '\n' << violation->text();
        }
        if (const std::string falsehood = world.falsehood(); !falsehood.empty()) {
            ADD_FAILURE() << run.planText() << '\n' << falsehood;
        }
    });
    std::fputs(matrix.table().c_str(), stdout);
}

// Two operators change one text at the same moment while the table loses replies and fails, and a host is cut off,
// frozen or replaced. One change is accepted; both operators are told the truth; every host that takes work has the
// change within twenty seconds and never goes back.
TEST(FaultMatrix, AnAcceptedConfigurationIsInForceAndKept)
{
    enumerateConfigChanges("configuration change", TableReaders::All);
}

// The same with two hosts that read the table for all; faults strike both at once, so that nobody looks any more while
// the others rely on them. A change must be in force all the same: the others read themselves once they hear of no
// young read, or, where they cannot reach the table at all, have the change from the readers or take no new work.
TEST(FaultMatrix, AnAcceptedConfigurationIsInForceWhereAFewReadForAll)
{
    enumerateConfigChanges("configuration change, two readers", TableReaders::Two);
    enumerateConfigChanges("configuration change, only the readers reach the table", TableReaders::OnlyTwo);
}

// The owner of a cell orders an engine to another role and is replaced meanwhile; it freezes, dies, loses replies at
// every step, and so does its successor. In the end the engine is as the successor wishes.
TEST(FaultMatrix, AnEngineEndsAsItsLastOwnerWishes)
{
    for (const bool checksFencing : {true, false}) {
        FaultMatrix matrix(checksFencing ? "order, engine checks numbers" : "order, engine ignores numbers");
        matrix.enumerate([checksFencing](FaultRun &run) {
            OrderWorld world(run, checksFencing);
            world.runToEnd();
            run.outcome = world.outcome();
            if (const std::string broken = world.broken(); !broken.empty()) {
                ADD_FAILURE() << run.planText() << '\n' << broken;
            }
        });
        std::fputs(matrix.table().c_str(), stdout);
    }
}

// Hosts are replaced one after the other while clerks and mechanics work. Long answers run, the balancer notices late,
// a ledger row waits for the table. No request is cut off, and the process ends all the same.
TEST(FaultMatrix, APlannedStopCutsNothingOff)
{
    FaultMatrix matrix("planned stop");
    matrix.enumerate([](FaultRun &run) {
        StopWorld world(run);
        world.runToEnd();
        run.outcome = world.outcome();
        if (const auto violation = HistoryChecker({}).check(world.history)) {
            ADD_FAILURE() << run.planText() << '\n' << violation->text();
        }
        if (!world.exited()) {
            ADD_FAILURE() << "the process never exits: " << run.planText();
        }
    });
    std::fputs(matrix.table().c_str(), stdout);
}

} // namespace
} // namespace fescuesill
