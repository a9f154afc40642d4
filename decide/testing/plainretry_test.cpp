#include "decide/plainretry.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <vector>

namespace fescuesill
{
namespace
{

constexpr TryOutcome allOutcomes[] = {TryOutcome::Answered, TryOutcome::Unavailable, TryOutcome::NeverSent,
                                      TryOutcome::Lost};
constexpr std::size_t maxAttempts = 4;

RetryBudget budgetOf(double retries)
{
    RetryBudget::Options options;
    options.initial = retries;
    return RetryBudget(options);
}

struct Run {
    std::vector<std::size_t> tried;
    std::vector<TryOutcome> seen;
    PlainRetry retry;
};

// Gives each attempt the outcome that the script lists for it.
Run runScript(std::size_t endpoints, std::size_t attempts, const std::vector<TryOutcome> &script, RetryBudget &budget)
{
    Run run{{}, {}, PlainRetry(endpoints, attempts)};
    std::optional<std::size_t> next = run.retry.first();
    while (next && run.tried.size() < script.size()) {
        run.tried.push_back(*next);
        run.seen.push_back(script[run.tried.size() - 1]);
        next = run.retry.on(run.seen.back(), budget);
    }
    EXPECT_FALSE(next) << "more attempts than allowed";
    return run;
}

std::vector<TryOutcome> scriptOf(std::size_t number)
{
    std::vector<TryOutcome> script;
    for (std::size_t i = 0; i < maxAttempts; ++i) {
        script.push_back(allOutcomes[number % std::size(allOutcomes)]);
        number /= std::size(allOutcomes);
    }
    return script;
}

void check(const Run &run, std::size_t endpoints, std::size_t attempts, std::size_t paid)
{
    const auto firstAnswer = std::find(run.seen.begin(), run.seen.end(), TryOutcome::Answered);
    const bool isSent = std::any_of(run.seen.begin(), run.seen.end(),
                                    [](TryOutcome outcome) { return outcome != TryOutcome::NeverSent; });
    const std::size_t allowed = endpoints == 0 ? 0 : std::min(attempts, 1 + paid);
    EXPECT_EQ(run.retry.isAnswered(), firstAnswer != run.seen.end());
    if (run.retry.isAnswered()) {
        EXPECT_EQ(firstAnswer + 1, run.seen.end()) << "tried again after an answer";
        EXPECT_LE(run.seen.size(), allowed);
    } else {
        EXPECT_EQ(run.seen.size(), allowed);
        EXPECT_EQ(run.retry.run() == RunState::NotRun, !isSent);
    }
    const std::set<std::size_t> different(run.tried.begin(), run.tried.end());
    EXPECT_EQ(different.size(), std::min(endpoints, run.tried.size())) << "an endpoint was tried again before another";
}

// Every outcome at every attempt, for every number of endpoints and allowed attempts, with and without budget. A caller
// must get the first answer, receive "not run" only if nothing was sent, and cause no more attempts than the bounds
// allow.
TEST(PlainRetry, EveryOutcomeAtEveryAttempt)
{
    int runs = 0;
    for (std::size_t script = 0; script < 256; ++script) {
        for (std::size_t endpoints = 0; endpoints <= 3; ++endpoints) {
            for (std::size_t attempts = 1; attempts <= maxAttempts; ++attempts) {
                for (const std::size_t paid : {0, 1, 2, 5}) {
                    RetryBudget budget = budgetOf(static_cast<double>(paid));
                    check(runScript(endpoints, attempts, scriptOf(script), budget), endpoints, attempts, paid);
                    ++runs;
                }
            }
        }
    }
    EXPECT_EQ(runs, 256 * 4 * 4 * 4);
}

// All endpoints of a service are down for a thousand calls and then recover. Retries during the outage must not double
// its load, and afterwards the failure of one endpoint must not reach callers.
TEST(PlainRetry, AnOutageIsNotDoubledAndTheBudgetRefills)
{
    RetryBudget budget{RetryBudget::Options()};
    std::size_t sends = 0;
    for (int call = 0; call < 1000; ++call) {
        sends += runScript(3, 3, {TryOutcome::Lost, TryOutcome::Lost, TryOutcome::Lost}, budget).seen.size();
    }
    EXPECT_EQ(sends, 1000 + static_cast<std::size_t>(RetryBudget::Options().initial));
    for (int call = 0; call < 200; ++call) {
        runScript(3, 3, {TryOutcome::Answered}, budget);
    }
    int answered = 0;
    for (int call = 0; call < 20; ++call) {
        answered += runScript(3, 3, {TryOutcome::Lost, TryOutcome::Answered}, budget).retry.isAnswered() ? 1 : 0;
    }
    EXPECT_EQ(answered, 20);
}

} // namespace
} // namespace fescuesill
