// The choice between data centres, by the summaries known at that moment.

#include "decide/cellchoice.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace fescuesill
{
namespace
{

const ModelId model("m");
const Instant start(1000s);

CellId cellIn(const std::string &dataCentre)
{
    return CellId{model, DataCentreId(dataCentre)};
}

CellSummary summaryOf(Duration delay, std::int64_t freePieces = 50, std::uint64_t version = 1)
{
    CellSummary summary;
    summary.version = version;
    summary.queueDelay = delay;
    summary.prefillPerToken = 75us;
    summary.freePieces = Pieces(freePieces);
    summary.decodeEngines = 4;
    summary.prefillEngines = 3;
    return summary;
}

CellChoice entryIn(const std::string &dataCentre, std::uint64_t seed = 1)
{
    CellChoice::Options options;
    options.home = DataCentreId(dataCentre);
    return {options, seed};
}

std::map<CellId, int> countSecondChoices(CellChoice &choice, int times, Instant now, Duration left = 500ms)
{
    std::map<CellId, int> asked;
    for (int i = 0; i < times; ++i) {
        if (const auto cell = choice.chooseAfterRefusal(cellIn("a"), Tokens(100), left, now)) {
            ++asked[*cell];
        }
    }
    return asked;
}

struct FirstCase {
    const char *what;
    bool isKnown;
    bool accepting;
    Duration age;
    const char *chosen; // nullptr: none
};

TEST(CellChoice, AsksTheOwnDataCentreFirst)
{
    const std::vector<FirstCase> cases{
        {"full, but it may have room by now", true, true, 1s, "a"},
        {"an old summary does not exclude it", true, true, 100s, "a"},
        {"accepts nothing", true, false, 1s, "b"},
        {"accepted nothing long ago", true, false, 100s, "a"},
        {"has published nothing yet", true, true, -1s, "a"},
        {"no engines here", false, true, 1s, "b"},
    };
    for (const FirstCase &one : cases) {
        CellChoice choice = entryIn("a");
        CellSummary own = summaryOf(20s, 0);
        own.accepting = one.accepting;
        own.version = one.age < Duration(0) ? 0 : 1;
        if (one.isKnown) {
            choice.onSummary(cellIn("a"), own, start - std::max(one.age, Duration(0)));
        }
        choice.onSummary(cellIn("b"), summaryOf(0ms), start);
        EXPECT_EQ(choice.choose(model, Tokens(100), start), cellIn(one.chosen)) << one.what;
        EXPECT_EQ(choice.choose(ModelId("other"), Tokens(100), start), std::nullopt) << one.what;
    }
}

// After the own cell refuses, the others are chosen in proportion to their room. Not chosen are a cell whose link loses
// packets, one that cannot meet the target, one that is unreachable and one that has published nothing.
TEST(CellChoice, SpreadsRefusedRequestsOverCellsWithRoom)
{
    CellChoice choice = entryIn("a");
    choice.onSummary(cellIn("a"), summaryOf(0ms), start);
    for (const char *name : {"b", "c", "d", "e", "f"}) {
        choice.onSummary(cellIn(name), summaryOf(name == std::string("e") ? 1s : 10ms), start);
        choice.onLink(DataCentreId(name), 4ms, name == std::string("d") ? 0.2 : 0.001);
    }
    choice.onReach(cellIn("f"), false);
    choice.onSummary(cellIn("g"), summaryOf(0ms, 50, 0), start);
    std::map<CellId, int> asked = countSecondChoices(choice, 40, start);
    EXPECT_GT(asked[cellIn("b")], 10);
    EXPECT_GT(asked[cellIn("c")], 10);
    EXPECT_EQ(asked[cellIn("a")] + asked[cellIn("d")] + asked[cellIn("e")] + asked[cellIn("f")] + asked[cellIn("g")],
              0);
    EXPECT_TRUE(countSecondChoices(choice, 40, start, 20ms).empty());
    EXPECT_TRUE(countSecondChoices(choice, 40, start + 100s).empty());
}

// One data centre is over its capacity, the others have room, and every entry has the same summaries. If all entries
// chose the cell that looks best, it would be full before they received a new summary, and then the next cell.
TEST(CellChoice, ManyEntriesWithTheSameSummariesDoNotHerd)
{
    constexpr int entries = 340;
    const std::map<std::string, int> room{{"b", 100}, {"c", 100}, {"d", 50}, {"e", 50}};
    std::map<CellId, int> asked;
    for (int i = 0; i < entries; ++i) {
        CellChoice choice = entryIn("a", static_cast<std::uint64_t>(i) + 1);
        choice.onSummary(cellIn("a"), summaryOf(2s, 0), start);
        for (const auto &[name, pieces] : room) {
            // The small difference between the summaries is less than their lag.
            choice.onSummary(cellIn(name), summaryOf(name == "b" ? 0ms : 5ms, pieces), start);
        }
        EXPECT_EQ(choice.choose(model, Tokens(100), start), cellIn("a"));
        ++asked[*choice.chooseAfterRefusal(cellIn("a"), Tokens(100), 500ms, start)];
    }
    for (const auto &[name, pieces] : room) {
        EXPECT_GT(asked[cellIn(name)], entries * pieces / 300 / 2) << name;
        EXPECT_LT(asked[cellIn(name)], entries * pieces / 300 * 2) << name;
    }
}

// The owner of a cell stops publishing while the cell is empty, then the cell fills, and its last summary is repeated
// to the entries. An entry tries it once in two seconds, gets a refusal, and after half a minute does not try it any
// more.
TEST(CellChoice, AnOutdatedSummaryAttractsFewRequests)
{
    CellChoice choice = entryIn("a");
    int asked = 0;
    for (int tenth = 0; tenth < 600; ++tenth) {
        const Instant now = start + 100ms * tenth;
        choice.onSummary(cellIn("a"), summaryOf(2s, 0, 1 + static_cast<std::uint64_t>(tenth)), now);
        choice.onSummary(cellIn("b"), summaryOf(0ms, 100, 1), now);
        if (choice.chooseAfterRefusal(cellIn("a"), Tokens(100), 500ms, now)) {
            ++asked;
            choice.onRefused(cellIn("b"), 5s, now);
        }
    }
    EXPECT_GE(asked, 10);
    EXPECT_LE(asked, 16);
}

// A region is partitioned for an hour: the links to its owners fail and its summaries stay as they were. No request is
// sent there until the links work again.
TEST(CellChoice, NothingIsSentToAPartitionedRegion)
{
    CellChoice choice = entryIn("a");
    std::map<CellId, int> asked;
    constexpr int minutes = 60;
    for (int minute = 0; minute <= minutes; ++minute) {
        const Instant now = start + 60s * minute;
        const bool isPartitioned = minute < minutes;
        choice.onSummary(cellIn("b"), summaryOf(0ms, 100, isPartitioned ? 1 : 2), now);
        choice.onReach(cellIn("b"), !isPartitioned);
        for (const auto &[cell, count] : countSecondChoices(choice, 10, now)) {
            asked[cell] += count;
            EXPECT_FALSE(isPartitioned);
        }
    }
    EXPECT_EQ(asked[cellIn("b")], 10);
}

// Compared with the rule evaluated by lists: a second choice meets every condition, and there is one whenever some cell
// meets them.
RC_GTEST_PROP(CellChoice, ASecondChoiceIsAlwaysACandidate, (std::uint64_t seed))
{
    CellChoice choice = entryIn("a", seed);
    std::map<CellId, bool> isCandidate;
    const std::vector<std::string> names{"a", "b", "c", "d", "e"};
    for (const std::string &name : names) {
        CellSummary summary = summaryOf(1ms * *rc::gen::inRange(0, 40), *rc::gen::inRange(0, 30));
        summary.accepting = *rc::gen::inRange(0, 4) != 0;
        const Duration age = 1s * *rc::gen::inRange(0, 45);
        summary.version = static_cast<std::uint64_t>(*rc::gen::inRange(0, 3));
        const bool isReachable = *rc::gen::inRange(0, 4) != 0;
        const bool hasRefused = *rc::gen::inRange(0, 4) == 0;
        const Duration retryAfter = 100ms * *rc::gen::inRange(0, 50);
        const Duration since = 100ms * *rc::gen::inRange(0, 30);
        const Instant now = start + 60s;
        choice.onSummary(cellIn(name), summary, now - age);
        choice.onReach(cellIn(name), isReachable);
        if (hasRefused) {
            choice.onRefused(cellIn(name), retryAfter, now - since);
        }
        const bool isAvoided = hasRefused && since < std::min(std::max(retryAfter, Duration(500ms)), Duration(2s));
        isCandidate[cellIn(name)] =
            name != "a" && summary.version > 0 && summary.accepting && age <= 30s && isReachable && !isAvoided;
    }
    const auto chosen = choice.chooseAfterRefusal(cellIn("a"), Tokens(100), 500ms, start + 60s);
    const bool any = std::any_of(isCandidate.begin(), isCandidate.end(), [](const auto &one) { return one.second; });
    RC_ASSERT(chosen.has_value() == any);
    // Outside the macro, which evaluates both sides of an or.
    const bool isAllowed = !chosen || isCandidate[*chosen];
    RC_ASSERT(isAllowed);
}

} // namespace
} // namespace fescuesill
