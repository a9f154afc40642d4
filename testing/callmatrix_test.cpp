#include "testing/callworld.h"
#include "testing/historychecker.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace fescuesill
{
namespace
{

// The only faults after which nobody can know whether a booking ran: its entry died or froze with the call open, or the
// endpoint's answer was lost.
bool mayStayUnknown(const FaultRun &run)
{
    for (const FaultRun::Step &step : run.steps) {
        const bool silentSend = step.kind == "send"
            && (step.fault == Fault::Cut || step.fault == Fault::LostReply || step.fault == Fault::LateEffect);
        const bool stopped = step.fault == Fault::KillBefore || step.fault == Fault::KillAfter
            || step.fault == Fault::FreezeBefore || step.fault == Fault::FreezeAfter
            || step.fault == Fault::FreezeForDays;
        if (silentSend || stopped) {
            return true;
        }
    }
    return false;
}

void runBooking(FaultRun &run, bool resultQuery)
{
    CallWorld::Options options;
    options.resultQuery = resultQuery;
    CallWorld world(run, options);
    world.runToEnd();
    run.outcome = world.outcome();
    if (const auto violation = HistoryChecker({}).check(world.history)) {
        ADD_FAILURE() << run.planText() << '\n' << violation->text();
    }
    if (run.outcome == "unknown" && !mayStayUnknown(run)) {
        ADD_FAILURE() << "the caller never learns: " << run.planText();
    }
}

// A mechanic books a replacement motor. At every step of the booking every fault strikes, alone and with a second one
// at every later step; the client library repeats the key at other entries. The customer must get one motor at most,
// and must never be told that a booking that was made was not.
TEST(FaultMatrix, ABookingIsMadeAtMostOnceAndNotRunIsTrue)
{
    for (const bool resultQuery : {false, true}) {
        FaultMatrix matrix(resultQuery ? "booking, endpoint answers result queries" : "booking");
        matrix.enumerate([resultQuery](FaultRun &run) { runBooking(run, resultQuery); });
        std::fputs(matrix.table().c_str(), stdout);
    }
}

} // namespace
} // namespace fescuesill
