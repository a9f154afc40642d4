#include "decide/summarypacer.h"

#include <gtest/gtest.h>

namespace fescuesill
{

struct PacerCase {
    const char *what;
    Duration since;
    CellSummary now;
    bool isDue;
};

static CellSummary summaryWith(Duration delay, double memory, bool accepting)
{
    CellSummary summary;
    summary.queueDelay = delay;
    summary.memoryUse = memory;
    summary.accepting = accepting;
    return summary;
}

TEST(SummaryPacer, PublishesSoonerWhenAChoiceMayChange)
{
    const std::vector<PacerCase> cases{
        {"nothing new", 9999ms, summaryWith(100ms, 0.5, true), false},
        {"nothing new for long", 10s, summaryWith(100ms, 0.5, true), true},
        {"a little more delay", 5s, summaryWith(149ms, 0.5, true), false},
        {"more delay", 1s, summaryWith(150ms, 0.5, true), true},
        {"less delay", 1s, summaryWith(50ms, 0.5, true), true},
        {"more delay, too soon", 999ms, summaryWith(5s, 0.5, true), false},
        {"memory", 1s, summaryWith(100ms, 0.61, true), true},
        {"stops accepting", 1s, summaryWith(100ms, 0.5, false), true},
    };
    for (const PacerCase &one : cases) {
        SummaryPacer pacer(SummaryPacer::Options{});
        pacer.onPublished(summaryWith(100ms, 0.5, true), Instant(100s));
        EXPECT_EQ(pacer.isDue(one.now, Instant(100s) + one.since), one.isDue) << one.what;
    }
}

} // namespace fescuesill
