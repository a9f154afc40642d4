// Decode memory, link schedule and prefix index, the first and last also with random operations against simple
// reference implementations.

#include "decide/decodememory.h"
#include "decide/linkschedule.h"
#include "decide/prefixindex.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace fescuesill
{

constexpr int engineCount = 4;

// The incrementally maintained sums equal the sums computed anew after every step.
RC_GTEST_PROP(DecodeMemoryProperty, SumsMatch, (const std::vector<std::uint16_t> &script))
{
    DecodeMemory memory(DecodeMemory::Options{});
    std::map<int, int> held;
    std::map<int, bool> usable;
    Instant now;
    for (int engine = 0; engine < engineCount; ++engine) {
        memory.setEngine(engine, Pieces(20), true);
        usable[engine] = true;
    }
    for (const std::uint16_t step : script) {
        const int engine = step % engineCount;
        const int pieces = 1 + step / 4 % 3;
        now += 7ms;
        switch (step / 16 % 5) {
        case 0:
        case 1:
            memory.hold(engine, Pieces(pieces), now);
            held[engine] += pieces;
            break;
        case 2:
            memory.release(engine, Pieces(pieces), 1s, now);
            held[engine] = std::max(0, held[engine] - pieces);
            break;
        case 3:
            usable[engine] = !usable[engine];
            memory.setEngine(engine, Pieces(20), usable[engine]);
            break;
        case 4:
            // Late reports of the own work change nothing.
            memory.onReport(engine, Pieces(held[engine]), now);
            break;
        }
        int free = 0;
        int total = 0;
        for (int other = 0; other < engineCount; ++other) {
            free += usable[other] ? std::max(0, 20 - held[other]) : 0;
            total += usable[other] ? 20 : 0;
        }
        RC_ASSERT(memory.totalFree() == Pieces(free));
        RC_ASSERT(memory.total() == Pieces(total));
        RC_ASSERT(memory.held(engine) == Pieces(held[engine]));
    }
}

// Two owners place on one engine for a while. What the other one holds shows in the reports and is not given out again.
TEST(DecodeMemory, CountsWhatAnotherOwnerHolds)
{
    DecodeMemory memory(DecodeMemory::Options{});
    memory.setEngine(0, Pieces(20), true);
    memory.hold(0, Pieces(5), Instant(1s));
    memory.onReport(0, Pieces(12), Instant(2s));
    EXPECT_EQ(memory.free(0), Pieces(8));
    memory.release(0, Pieces(5), 1s, Instant(3s));
    // The report shows a time when the own pieces were still held.
    memory.onReport(0, Pieces(12), Instant(3100ms));
    EXPECT_EQ(memory.free(0), Pieces(13));
}

TEST(DecodeMemory, ForecastFollowsLittlesLaw)
{
    DecodeMemory memory(DecodeMemory::Options{});
    memory.setEngine(0, Pieces(100), true);
    Instant now;
    for (int i = 0; i < 500; ++i) {
        now += 20ms;
        memory.hold(0, Pieces(1), now);
        if (i >= 100) {
            memory.release(0, Pieces(1), 2s, now);
        }
    }
    EXPECT_NEAR(memory.expectedReleases(1s), 50, 2);
}

TEST(LinkSchedule, TransfersOfOneLinkFollowOneAnother)
{
    LinkSchedule links;
    const std::size_t rack = links.linkOf("rack");
    EXPECT_EQ(links.linkOf("rack"), rack);
    const Instant now(1s);
    links.reserve(rack, 80ms);
    links.reserve(rack, 60ms);
    EXPECT_EQ(links.waitIn(rack, 30ms, now), 110ms);
    EXPECT_EQ(links.waitIn(rack, 200ms, now), 0ms);
    EXPECT_EQ(links.waitIn(links.linkOf("other"), 0ms, now), 0ms);
    links.begin(rack, 80ms, now);
    EXPECT_EQ(links.active(rack, now), 1);
    EXPECT_EQ(links.count(rack, now), 2);
    EXPECT_EQ(links.waitIn(rack, 0ms, now), 140ms);
    links.end(rack);
    links.cancelReservation(rack, 60ms);
    EXPECT_EQ(links.active(rack, now), 0);
    EXPECT_EQ(links.waitIn(rack, 0ms, now), 0ms);
}

// The end of a transfer is reported late, so the link counts as idle when its work should be done.
TEST(LinkSchedule, TransfersInProgressEndByTheClock)
{
    LinkSchedule links;
    const std::size_t rack = links.linkOf("rack");
    const Instant now(1s);
    for (int i = 0; i < 2; ++i) {
        links.reserve(rack, 80ms);
        links.begin(rack, 80ms, now);
    }
    EXPECT_EQ(links.overlaps(rack), 1U);
    EXPECT_EQ(links.waitIn(rack, 0ms, now + 100ms), 60ms);
    EXPECT_EQ(links.active(rack, now + 100ms), 2);
    EXPECT_EQ(links.active(rack, now + 160ms), 0);
    links.reserve(rack, 80ms);
    links.begin(rack, 80ms, now + 200ms);
    EXPECT_EQ(links.overlaps(rack), 1U);
    EXPECT_EQ(links.waitIn(rack, 0ms, now + 200ms), 80ms);
}

// A prompt of `depth` blocks of one of a few families. All prompts of a family share their leading blocks.
static std::vector<PrefixHash> prompt(int family, int shared, int depth, int tail)
{
    std::vector<PrefixHash> hashes;
    for (int i = 0; i < depth; ++i) {
        const int own = i < shared ? 0 : tail + 1;
        hashes.push_back(PrefixHash{static_cast<std::uint64_t>((family * 1000 + own) * 100 + i)});
    }
    return hashes;
}

// For any sequence of operations the matches equal those of a plain set of (hash, engine) pairs.
RC_GTEST_PROP(PrefixIndexProperty, SameMatchesAsASetOfPairs, (const std::vector<std::uint16_t> &script))
{
    PrefixIndex index(PrefixIndex::Options{});
    std::set<std::pair<std::uint64_t, EngineSlot>> pairs;
    std::vector<PrefixIndex::Match> matches;
    for (const std::uint16_t step : script) {
        const auto slot = static_cast<EngineSlot>(step % engineCount);
        const auto prefix = prompt(step / 4 % 3, 3, 1 + step / 12 % 6, step / 72 % 4);
        const std::size_t kept = step / 300 % 4;
        switch (step / 1200 % 4) {
        case 0:
        case 1:
            index.learn(prefix, slot);
            for (const PrefixHash hash : prefix) {
                pairs.insert({hash.value, slot});
            }
            break;
        case 2:
            index.correct(prefix, slot, kept);
            for (std::size_t i = kept; i < prefix.size(); ++i) {
                pairs.erase({prefix[i].value, slot});
            }
            break;
        case 3:
            index.removeEngine(slot);
            for (auto pair = pairs.begin(); pair != pairs.end();) {
                pair = pair->second == slot ? pairs.erase(pair) : std::next(pair);
            }
            break;
        }
        index.match(prefix, matches);
        for (EngineSlot engine = 0; engine < engineCount; ++engine) {
            std::size_t expected = 0;
            while (expected < prefix.size() && pairs.count({prefix[expected].value, engine}) != 0) {
                ++expected;
            }
            const auto found = std::find_if(matches.begin(), matches.end(),
                                            [engine](const auto &match) { return match.slot == engine; });
            RC_ASSERT((found == matches.end() ? 0 : found->blocks) == expected);
        }
    }
}

TEST(PrefixIndex, EvictsTheOldestAtItsLimit)
{
    PrefixIndex::Options options;
    options.maxBlocks = 10;
    PrefixIndex index(options);
    for (int family = 0; family < 20; ++family) {
        index.learn(prompt(family, 2, 2, 0), 0);
        EXPECT_LE(index.size(), 10U);
    }
    std::vector<PrefixIndex::Match> matches;
    index.match(prompt(0, 2, 2, 0), matches);
    EXPECT_TRUE(matches.empty());
    index.match(prompt(19, 2, 2, 0), matches);
    EXPECT_EQ(matches.size(), 1U);
}

} // namespace fescuesill
