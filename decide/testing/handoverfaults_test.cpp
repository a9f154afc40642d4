#include "decide/handoverfaults.h"

#include <gtest/gtest.h>
#include <random>
#include <string>
#include <vector>

namespace fescuesill
{
namespace
{

constexpr Instant start{Duration(1'000'000)};

EngineId engine(const char *pool, std::size_t number)
{
    return EngineId(pool + std::to_string(number));
}

// Pools of engines of which the first ones of each fail at these rates.
struct Case {
    const char *name;
    std::size_t prefills;
    std::size_t decodes;
    std::size_t losing; // prefill engines that lose results
    double lossRate;
    std::size_t shedding; // decode engines that refuse
    double shedRate;
    double minRight; // share of the refusals that are blamed on an engine at fault
};

TEST(HandoverFaults, BlamesTheEngineAtFault)
{
    const Case cases[] = {
        {"a large pool with a few shedding decode engines", 26, 68, 0, 0, 8, 0.5, 0.8},
        {"a large pool with many shedding decode engines", 26, 68, 0, 0, 20, 0.5, 0.65},
        {"a third of the prefill engines lose all results", 26, 68, 9, 1, 0, 0, 0.95},
        {"a third of the prefill engines lose half of the results", 26, 68, 9, 0.5, 0, 0, 0.9},
        {"a small pool with one shedding decode engine", 4, 8, 0, 0, 1, 0.5, 0.9},
        {"a small pool with one losing prefill engine", 4, 8, 1, 1, 0, 0, 0.95},
        {"a single prefill engine and one shedding decode engine", 1, 6, 0, 0, 1, 0.5, 0.9},
        {"a single decode engine and one losing prefill engine", 6, 1, 1, 0.5, 0, 0, 0.95},
    };
    for (const Case &each : cases) {
        HandoverFaults faults(HandoverFaults::Options{});
        std::mt19937_64 random(7);
        std::uniform_real_distribution<double> chance(0, 1);
        int refused = 0;
        int right = 0;
        for (Duration at{0}; at < 20s; at += 10ms) { // a hundred handovers a second
            const std::size_t prefill = random() % each.prefills;
            const std::size_t decode = random() % each.decodes;
            const bool isLost = prefill < each.losing && chance(random) < each.lossRate;
            const bool isShed = decode < each.shedding && chance(random) < each.shedRate;
            const EngineId source = engine("p", prefill);
            const EngineId target = engine("d", decode);
            if (!isLost && !isShed) {
                faults.onTaken(source, target, start + at);
                continue;
            }
            const Pool blamed = faults.onRefused(source, target, start + at);
            ++refused;
            right += (blamed == Pool::Prefill && isLost) || (blamed == Pool::Decode && isShed) ? 1 : 0;
        }
        EXPECT_GT(refused, 20) << each.name;
        EXPECT_GE(right, each.minRight * refused) << each.name;
    }
}

TEST(HandoverFaults, BlamesThePrefillEngineForTheFirstRefusal)
{
    HandoverFaults faults(HandoverFaults::Options{});
    EXPECT_EQ(faults.onRefused(engine("p", 0), engine("d", 0), start), Pool::Prefill);
}

TEST(HandoverFaults, ForgetsRefusalsInSeconds)
{
    HandoverFaults faults(HandoverFaults::Options{});
    for (std::size_t number = 0; number < 5; ++number) {
        faults.onRefused(engine("p", number), engine("d", 0), start);
    }
    EXPECT_EQ(faults.onRefused(engine("p", 5), engine("d", 0), start), Pool::Decode);
    EXPECT_EQ(faults.onRefused(engine("p", 6), engine("d", 0), start + 30s), Pool::Prefill);
}

TEST(HandoverFaults, KeepsNoRecordOfUnusedEngines)
{
    HandoverFaults faults(HandoverFaults::Options{});
    for (std::size_t number = 0; number < 5; ++number) {
        faults.onRefused(engine("p", number), engine("d", number), start);
    }
    EXPECT_EQ(faults.size(), 10U);
    faults.removeOld(start + 59s);
    EXPECT_EQ(faults.size(), 10U);
    faults.removeOld(start + 60s);
    EXPECT_EQ(faults.size(), 0U);
}

} // namespace
} // namespace fescuesill
