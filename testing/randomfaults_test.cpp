#include "testing/callworld.h"
#include "testing/configworld.h"
#include "testing/historychecker.h"
#include "testing/orderworld.h"
#include "testing/streamworld.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

// Up to six faults at any steps of any actor: what the exhaustive pairs do not reach. CI fixes the seed; `make soak`
// takes new ones.
rc::Gen<std::vector<FaultAt>> somePlan(const std::vector<int> &actors, int steps)
{
    const auto one = rc::gen::apply(
        [](int actor, int step, Fault fault) {
            return FaultAt{actor, step, fault};
        },
        rc::gen::elementOf(actors), rc::gen::inRange(0, steps), rc::gen::elementOf(allFaults()));
    return rc::gen::mapcat(rc::gen::inRange(1, 7), [one](int count) {
        return rc::gen::container<std::vector<FaultAt>>(static_cast<std::size_t>(count), one);
    });
}

void requireNoViolation(const FaultRun &run, const History &history)
{
    if (const auto violation = HistoryChecker({}).check(history)) {
        RC_FAIL(run.planText() + '\n' + violation->text());
    }
}

RC_GTEST_PROP(RandomFaults, BookingKeepsItsPromises, ())
{
    FaultRun run(*somePlan({1, 2, 3, 100}, 8));
    CallWorld::Options options;
    options.resultQuery = *rc::gen::arbitrary<bool>();
    options.operatorSettles = *rc::gen::arbitrary<bool>();
    CallWorld world(run, options);
    world.runToEnd();
    requireNoViolation(run, world.history);
}

RC_GTEST_PROP(RandomFaults, ConfigurationKeepsItsPromises, ())
{
    FaultRun run(*somePlan({1, 2, 10}, 5));
    const auto readers = *rc::gen::element(TableReaders::All, TableReaders::Two, TableReaders::OnlyTwo);
    ConfigWorld world(run, readers);
    world.runToEnd();
    requireNoViolation(run, world.history);
    RC_ASSERT(world.falsehood() == "");
}

RC_GTEST_PROP(RandomFaults, StreamKeepsItsPromises, ())
{
    FaultRun run(*somePlan({1, 2, 3, 100}, 14));
    StreamWorld::Options options;
    options.callerLeaves = *rc::gen::arbitrary<bool>();
    options.length = options.callerLeaves ? 2000 : 8;
    StreamWorld world(run, options);
    world.runToEnd();
    requireNoViolation(run, world.history);
}

RC_GTEST_PROP(RandomFaults, AnEngineEndsAsItsLastOwnerWishes, ())
{
    FaultRun run(*somePlan({1, 2, 3}, 8));
    OrderWorld world(run, *rc::gen::arbitrary<bool>());
    world.runToEnd();
    if (!world.broken().empty()) {
        RC_FAIL(run.planText() + '\n' + world.broken());
    }
}

} // namespace
} // namespace fescuesill
