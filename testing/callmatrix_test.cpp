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

void runBooking(FaultRun &run, const CallWorld::Options &options)
{
    CallWorld world(run, options);
    world.runToEnd();
    run.outcome = world.outcome();
    if (const auto violation = HistoryChecker({}).check(world.history)) {
        ADD_FAILURE() << run.planText() << '\n' << violation->text();
    }
    if (!world.falsehood().empty()) {
        ADD_FAILURE() << world.falsehood() << ": " << run.planText();
    }
    const bool isDoubt = run.outcome == "unknown" || run.outcome == "ran" || run.outcome.rfind("stated", 0) == 0;
    if (isDoubt && !mayStayUnknown(run)) {
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
        CallWorld::Options options;
        options.resultQuery = resultQuery;
        matrix.enumerate([&options](FaultRun &run) { runBooking(run, options); });
        std::fputs(matrix.table().c_str(), stdout);
    }
}

// The same with an operator who looks for the booking at the endpoint eight seconds later and settles the row by what
// he finds. The first entry may be frozen just then and book afterwards. There must still be one motor at most, nobody
// may be told "not run" of one that was made, and the operator must not be told wrongly whether the statement stands.
TEST(FaultMatrix, AnOperatorWhoSettlesADoubtOpensNoWayToASecondRun)
{
    for (const bool resultQuery : {false, true}) {
        FaultMatrix matrix(resultQuery ? "booking settled by an operator, endpoint answers result queries"
                                       : "booking settled by an operator");
        CallWorld::Options options;
        options.resultQuery = resultQuery;
        options.operatorSettles = true;
        matrix.enumerate([&options](FaultRun &run) { runBooking(run, options); });
        std::fputs(matrix.table().c_str(), stdout);
    }
}

} // namespace
} // namespace fescuesill
