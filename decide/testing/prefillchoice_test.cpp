#include "decide/prefillchoice.h"

#include <gtest/gtest.h>
#include <map>
#include <set>

namespace fescuesill
{
namespace
{

constexpr Instant start{Duration(1'000'000)};

std::vector<PrefillCandidate> engines(int count)
{
    std::vector<PrefillCandidate> made;
    made.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        made.push_back({EngineId("p" + std::to_string(number)), false});
    }
    return made;
}

PromptKey prompt(int number)
{
    return {"part" + std::to_string(number), Tokens(5200)};
}

// A host dies while it relays answers, and their callers resume at another host. Without any shared state the second
// host must choose the engine that prefilled each prompt for the first, because it still has the prompt in its cache.
TEST(PrefillChoice, SendsAPromptToTheSameEngineFromEveryHost)
{
    PrefillChoice first(1);
    PrefillChoice second(2);
    std::map<EngineId, int> prefills;
    for (int number = 0; number < 600; ++number) {
        const auto engine = first.pick(engines(6), prompt(number), start);
        EXPECT_EQ(second.pick(engines(6), prompt(number), start), engine);
        ++prefills[*engine];
    }
    for (const auto &[engine, count] : prefills) {
        EXPECT_NEAR(count, 100, 40) << engine.value(); // four standard deviations
    }
}

TEST(PrefillChoice, MovesOnlyThePromptsOfARemovedEngine)
{
    PrefillChoice choice(1);
    int moved = 0;
    for (int number = 0; number < 300; ++number) {
        const auto before = choice.pick(engines(6), prompt(number), start);
        const auto after = choice.pick(engines(5), prompt(number), start);
        moved += before != EngineId("p5") && before != after ? 1 : 0;
    }
    EXPECT_EQ(moved, 0);
}

// The home saves at most the time of one prefill, so a prompt waits there for no longer than that.
TEST(PrefillChoice, AvoidsAHomeThatIsBehindByMoreThanThePrefill)
{
    PrefillChoice choice(1);
    const auto home = choice.pick(engines(2), prompt(0), start);
    choice.onSent(*home, Tokens(2000));
    EXPECT_EQ(choice.pick(engines(2), prompt(0), start), home);
    choice.onSent(*home, Tokens(3200));
    EXPECT_NE(choice.pick(engines(2), prompt(0), start), home);
    choice.onEnded(*home, Tokens(5200), false, start);
    EXPECT_EQ(choice.pick(engines(2), prompt(0), start), home);
}

TEST(PrefillChoice, AvoidsAnEngineThatFails)
{
    PrefillChoice choice(1);
    const auto home = choice.pick(engines(3), prompt(0), start);
    choice.onSent(*home, Tokens(5200));
    choice.onEnded(*home, Tokens(5200), true, start);
    EXPECT_FALSE(choice.isHealthy(*home, start));
    EXPECT_NE(choice.pick(engines(3), prompt(0), start), home);
    EXPECT_EQ(choice.pick(engines(3), prompt(0), start + 30s), home);
}

// Prompts without a name of their own part are distributed by load alone.
TEST(PrefillChoice, SpreadsPromptsWithoutAName)
{
    PrefillChoice choice(1);
    std::set<EngineId> chosen;
    for (int number = 0; number < 6; ++number) {
        const auto engine = choice.pick(engines(6), {{}, Tokens(5200)}, start);
        choice.onSent(*engine, Tokens(5200));
        chosen.insert(*engine);
    }
    EXPECT_EQ(chosen.size(), 6U);
    EXPECT_FALSE(choice.pick({}, prompt(0), start));
}

} // namespace
} // namespace fescuesill
