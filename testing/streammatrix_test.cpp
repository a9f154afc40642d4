#include "testing/historychecker.h"
#include "testing/streamworld.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

namespace fescuesill
{
namespace
{

Duration runStream(FaultRun &run, StreamWorld::Options options)
{
    StreamWorld world(run, options);
    world.runToEnd();
    run.outcome = world.outcome();
    if (const auto violation = HistoryChecker({}).check(world.history)) {
        ADD_FAILURE() << run.planText() << '\n' << violation->text();
    }
    if (run.outcome == "cut off") {
        ADD_FAILURE() << "the caller never got the whole answer: " << run.planText();
    }
    return world.heldAfterGone();
}

// A clerk reads a long summary as it is written. Entries die, freeze and thaw, connections break, go silent, repeat or
// lose lines, at every line, twice. The clerk must have the whole text, once.
TEST(FaultMatrix, AStreamedAnswerArrivesWholeAndOnce)
{
    FaultMatrix matrix("streamed answer");
    matrix.enumerate([](FaultRun &run) { runStream(run, {}); });
    std::fputs(matrix.table().c_str(), stdout);
}

// The same with an answer that is longer than the grace after which streams that nobody holds are removed.
TEST(FaultMatrix, ALongStreamIsNotTakenForAnOrphan)
{
    FaultMatrix matrix("long streamed answer");
    StreamWorld::Options options;
    options.length = 600;
    matrix.enumerateSingles([&](FaultRun &run) { runStream(run, options); });
    std::fputs(matrix.table().c_str(), stdout);
}

// The clerk closes the page in the middle of an answer of 100 seconds, while entries and the owner of the cell die,
// freeze and lose replies. The engine's memory must be free again within a minute.
TEST(FaultMatrix, TheMemoryOfACallerThatHasGoneIsFreed)
{
    FaultMatrix matrix("caller leaves a stream");
    Duration longest{0};
    StreamWorld::Options options;
    options.length = 2000;
    options.callerLeaves = true;
    matrix.enumerate([&](FaultRun &run) { longest = std::max(longest, runStream(run, options)); });
    std::fputs(matrix.table().c_str(), stdout);
    std::printf("longest time held after the caller had gone: %lld ms\n\n", static_cast<long long>(longest / 1ms));
}

} // namespace
} // namespace fescuesill
