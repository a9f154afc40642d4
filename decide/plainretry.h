#pragma once

// The attempts of one repeatable call over the endpoints of its service.
//
//     PlainRetry retry(endpoints.size(), attempts);
//     std::optional<std::size_t> next = retry.first();
//     while (next) {
//         next = retry.on(call(endpoints[*next]), budget);
//     }
//     if (retry.isAnswered()) { ... forward the last response ... } else { ... refuse with retry.run() ... }

#include "decide/retrybudget.h"
#include "fescuesill/errors.h"

#include <cstddef>
#include <optional>

namespace fescuesill
{

// Outcome of one attempt.
enum class TryOutcome {
    Answered, // a complete response to forward, including errors that the caller caused
    Unavailable, // 503: another endpoint may have capacity
    NeverSent, // no byte reached the endpoint
    Lost, // part of the call was sent and no complete response arrived
};

class PlainRetry
{
public:
    // `attempts`: maximum number of attempts, including the first.
    PlainRetry(std::size_t endpoints, std::size_t attempts);

    // Endpoint of the first attempt; empty if there is no endpoint.
    std::optional<std::size_t> first() const;
    // Endpoint of the next attempt; empty at the end.
    std::optional<std::size_t> on(TryOutcome outcome, RetryBudget &budget);

    bool isAnswered() const;
    // Run state of a call that was not answered.
    RunState run() const;

private:
    std::size_t endpoints;
    std::size_t attempts;
    std::size_t tries = 0; // completed attempts
    bool answered = false;
    bool mayHaveRun = false;
};

} // namespace fescuesill
