// Outcomes for callers under load. The limits are the targets of issue 5 with a margin for a short run;
// docs/design/decisions.md has the figures of the long runs.

#include "testing/bench/decisionbench.h"
#include "testing/bench/simulation.h"

#include <gtest/gtest.h>

namespace fescuesill::bench
{

static Result run(const std::string &scenario, PolicyKind kind = PolicyKind::Ours, double load = 0,
                  bool without = false, Duration length = 60s)
{
    Settings settings;
    settings.scenario = scenario;
    settings.load = load;
    settings.seed = 3;
    settings.without = without;
    settings.length = length;
    return simulate(makeWorkload(settings).value(), kind);
}

static double share(const Group &group)
{
    return static_cast<double>(group.good) / std::max(1, group.offered);
}

static double minShare(const Result &result, const std::string &kind)
{
    double lowest = 1;
    for (const auto &[name, group] : result.groups) {
        lowest = name.find(kind) == std::string::npos ? lowest : std::min(lowest, share(group));
    }
    return lowest;
}

struct Case {
    const char *scenario;
    double minGood; // share of the offered requests
    double minUrgent;
    double maxWasted;
};

// Bursts, one hot prompt prefix, long and short prompts together, outdated reports, narrow links, a lost data centre.
TEST(Outcomes, CallersGetTheirTargetsInEachScenario)
{
    const std::vector<Case> cases{{"bursts", 0.95, 0.999, 0.01},       {"skew", 0.9, 0.999, 0.01},
                                  {"mix", 0.92, 0.999, 0.01},          {"stale-reports", 0.9, 0.999, 0.02},
                                  {"links-narrow", 0.86, 0.999, 0.01}, {"zone-loss", 0.95, 0.95, 0.02},
                                  {"slow-endpoint", 0.95, 0.97, 0.02}, {"engine-death", 0.95, 0.999, 0.02}};
    for (const Case &one : cases) {
        const Result result = run(one.scenario);
        EXPECT_GE(share(result.all), one.minGood) << one.scenario;
        EXPECT_GE(minShare(result, "urgent"), one.minUrgent) << one.scenario;
        EXPECT_LE(result.wastedShare(), one.maxWasted) << one.scenario;
        EXPECT_LE(result.prefillSkew, 2) << one.scenario;
    }
}

// Links at nine tenths of their rate, with bursts, engine deaths and a slow engine. Guards against urgent results that
// wait for a third transfer on their link behind patient requests that wait for room at the head of the queue, and are
// refused for the delay of others. Urgent callers should not be affected, except by a slow engine, which delays what it
// already decodes.
TEST(Outcomes, NarrowLinksAndBurstsDoNotAffectUrgentCallers)
{
    const Result narrow = run("links-narrow", PolicyKind::Ours, 0, false, 300s);
    EXPECT_GE(minShare(narrow, "urgent"), 0.999);
    EXPECT_GE(share(narrow.all), 0.92);
    const Result mixed = run("mixed", PolicyKind::Ours, 0, false, 300s);
    EXPECT_GE(minShare(mixed, "urgent"), 0.996);
    EXPECT_GE(share(mixed.all), 0.91);
}

// Twice the capacity of the cell: urgent requests are all served, patient ones are not starved, few prefills are
// wasted, and callers that retry do not reduce the throughput.
TEST(Outcomes, SaturationServesUrgentWorkAndStarvesNone)
{
    const Result full = run("saturation", PolicyKind::Ours, 1.3);
    // The comparison runs for 240 s, because in the first minute the baseline still profits from its empty engines.
    const Result longer = run("saturation", PolicyKind::Ours, 1.3, false, 240s);
    const Result twice = run("saturation", PolicyKind::Ours, 2);
    const Result unreserved = run("saturation", PolicyKind::PrefillFirst, 1.3, false, 240s);
    EXPECT_GE(minShare(twice, "urgent"), 0.99);
    EXPECT_GE(minShare(twice, "patient"), 0.05);
    EXPECT_GE(twice.good, full.good);
    EXPECT_GE(longer.good, unreserved.good * 3 / 2);
    EXPECT_LE(longer.wastedShare(), 0.01);
    EXPECT_LE(full.wastedShare(), 0.01);
    EXPECT_GE(unreserved.wastedShare(), 0.1);
    EXPECT_LE(full.good, full.bound);
}

// A decode engine dies with some twenty answers on it and restarts later, and a prefill engine follows. Or engines
// become slow, or a decode engine sends nothing for 30 s with its connections open. The cost to callers should be
// little more than that of engines that left as planned.
TEST(Outcomes, ADeadSlowOrStalledEngineCostsLittleMoreThanAMissingOne)
{
    for (const char *scenario : {"engine-death", "slow-endpoint", "decode-stall"}) {
        const Result broken = run(scenario, PolicyKind::Ours, 0, false, 120s);
        const Result missing = run(scenario, PolicyKind::Ours, 0, true, 120s);
        EXPECT_GE(broken.good, missing.good * 97 / 100) << scenario;
    }
}

// Two of five callers disconnect at the same moment, and others at random times. The remaining callers should not be
// affected.
TEST(Outcomes, ACancelStormDoesNotAffectRemainingCallers)
{
    const Result result = run("cancel-storm");
    EXPECT_GE(share(result.all), 0.95);
    EXPECT_GE(minShare(result, "urgent"), 0.97);
}

TEST(Outcomes, SameSeedSameOutcome)
{
    const Result first = run("mixed", PolicyKind::Ours, 0, false, 15s);
    const Result second = run("mixed", PolicyKind::Ours, 0, false, 15s);
    EXPECT_EQ(first.good, second.good);
    EXPECT_EQ(first.waste.read, second.waste.read);
}

// Each placement examines every prefill engine once, every decode engine at most a few times, and a few prefixes.
TEST(Outcomes, StepsOfADecisionGrowNoFasterThanTheEngines)
{
    for (const DecisionCost &cost : measureDecisions({13, 50, 200}, 500, 1)) {
        EXPECT_LE(cost.steps, 30 + cost.engines);
    }
}

} // namespace fescuesill::bench
