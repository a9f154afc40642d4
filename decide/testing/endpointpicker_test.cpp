#include "decide/endpointpicker.h"

#include <array>
#include <gtest/gtest.h>
#include <map>

namespace fescuesill
{
namespace
{

constexpr Instant start{Duration(1'000'000)};

// A simulated endpoint in virtual time: its response time and the share of its calls that fail.
struct Behaviour {
    Duration takes{15ms};
    double fails = 0;
};

struct Outcome {
    int failed = 0;
    int late = 0; // over the target of 120 ms
    std::map<std::string, int> sent;
};

// Guards against a call that waits for a slot of an endpoint that it would not have chosen next.
TEST(EndpointPicker, OrdersCandidatesByTheirCost)
{
    EndpointPicker picker({}, 7);
    const std::map<std::string, Duration> times = {{"a", 40ms}, {"b", 10ms}, {"c", 80ms}};
    std::vector<EndpointCandidate> candidates;
    for (const auto &[name, takes] : times) {
        candidates.push_back({EndpointId(name), 6, true});
        picker.onSent(EndpointId(name));
        picker.onEnded(EndpointId(name), EndpointOutcome::Answered, takes, start);
    }
    EXPECT_EQ(picker.order(candidates, start),
              (std::vector<EndpointId>{EndpointId("b"), EndpointId("a"), EndpointId("c")}));
    EXPECT_EQ(picker.order({}, start), std::vector<EndpointId>());
}

// Sends calls sequentially, ten milliseconds apart, as one of several hosts does.
Outcome simulate(EndpointPicker &picker, const std::map<std::string, Behaviour> &endpoints, int calls, Instant &now)
{
    std::mt19937_64 random(11);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<EndpointCandidate> candidates;
    candidates.reserve(endpoints.size());
    for (const auto &[name, behaviour] : endpoints) {
        candidates.push_back({EndpointId(name), 6, name == "near"});
    }
    Outcome outcome;
    for (int call = 0; call < calls; ++call) {
        const EndpointId chosen = *picker.pick(candidates, now);
        const Behaviour &behaviour = endpoints.at(chosen.value());
        ++outcome.sent[chosen.value()];
        picker.onSent(chosen);
        const bool fails = uniform(random) < behaviour.fails;
        outcome.failed += fails ? 1 : 0;
        outcome.late += behaviour.takes > 120ms ? 1 : 0;
        picker.onEnded(chosen, fails ? EndpointOutcome::Failed : EndpointOutcome::Answered, behaviour.takes,
                       now + behaviour.takes);
        now += 10ms;
    }
    return outcome;
}

TEST(EndpointPicker, PrefersTheOwnDataCentreWhileItIsHealthy)
{
    EndpointPicker picker({}, 1);
    Instant now = start;
    const Outcome outcome = simulate(picker, {{"near", {15ms}}, {"far1", {24ms}}, {"far2", {24ms}}}, 500, now);
    EXPECT_GT(outcome.sent.at("near"), 450);
}

// An endpoint fails nearly half of its calls while its health check passes. Without detection a sixth of all calls
// would fail; only the few calls needed for the detection may be lost.
TEST(EndpointPicker, AvoidsAnEndpointThatFailsAShareOfItsCalls)
{
    EndpointPicker picker({}, 1);
    Instant now = start;
    simulate(picker, {{"near", {15ms}}, {"far1", {24ms}}, {"far2", {24ms}}}, 200, now);
    const Outcome outcome = simulate(picker, {{"near", {15ms, 0.45}}, {"far1", {24ms}}, {"far2", {24ms}}}, 500, now);
    EXPECT_LT(outcome.failed, 12);
}

// One endpoint becomes so slow that its responses miss the target. It is avoided after a few calls and used again once
// it has recovered.
TEST(EndpointPicker, AvoidsASlowEndpointUntilItRecovers)
{
    EndpointPicker picker({}, 1);
    Instant now = start;
    simulate(picker, {{"near", {15ms}}, {"far1", {24ms}}, {"far2", {24ms}}}, 200, now);
    const Outcome slow = simulate(picker, {{"near", {300ms}}, {"far1", {24ms}}, {"far2", {24ms}}}, 500, now);
    EXPECT_LT(slow.late, 10);
    simulate(picker, {{"near", {15ms}}, {"far1", {24ms}}, {"far2", {24ms}}}, 2000, now);
    const Outcome well = simulate(picker, {{"near", {15ms}}, {"far1", {24ms}}, {"far2", {24ms}}}, 500, now);
    EXPECT_GT(well.sent.at("near"), 400);
}

// A burst reaches one host: calls overflow to other data centres instead of queueing at the near endpoint.
TEST(EndpointPicker, OverflowsABurstToOtherDataCentres)
{
    EndpointPicker picker({}, 1);
    const std::map<std::string, Duration> times = {{"near", 15ms}, {"far1", 24ms}, {"far2", 24ms}};
    for (const auto &[name, took] : times) {
        picker.onSent(EndpointId(name));
        picker.onEnded(EndpointId(name), EndpointOutcome::Answered, took, start);
    }
    std::map<std::string, int> sent;
    for (int call = 0; call < 24; ++call) {
        const EndpointId chosen =
            *picker.pick({{EndpointId("near"), 6, true}, {EndpointId("far1"), 6}, {EndpointId("far2"), 6}}, start);
        picker.onSent(chosen);
        ++sent[chosen.value()];
    }
    EXPECT_LT(sent.at("near"), 14);
    EXPECT_GT(sent.at("far1"), 3);
    EXPECT_GT(sent.at("far2"), 3);
}

TEST(EndpointPicker, PicksNothingWithoutCandidates)
{
    EndpointPicker picker({}, 1);
    EXPECT_FALSE(picker.pick({}, start));
    picker.onEnded(EndpointId("unknown"), EndpointOutcome::Answered, 1ms, start);
}

} // namespace
} // namespace fescuesill
