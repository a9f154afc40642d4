#pragma once

// The tries of one call that may be repeated, over the endpoints of its service.
//
//     PlainRetry retry(endpoints.size(), attempts);
//     std::optional<std::size_t> next = retry.first();
//     while (next) {
//         next = retry.on(call(endpoints[*next]), budget);
//     }
//     if (retry.isAnswered()) { ... hand on the last response ... } else { ... refuse with retry.run() ... }

#include "decide/retrybudget.h"
#include "fescuesill/errors.h"

#include <cstddef>
#include <optional>

namespace fescuesill
{

// What became of one try.
enum class TryOutcome {
    Answered, // a whole answer to hand on, also an error of the caller's
    Unavailable, // 503: another endpoint may have room
    NeverSent, // surely no byte reached the endpoint
    Lost, // some of the call was sent and no whole answer came
};

class PlainRetry
{
public:
    // Tries altogether, the first included.
    PlainRetry(std::size_t endpoints, std::size_t attempts);

    // The endpoint of the first try; none where there is no endpoint.
    std::optional<std::size_t> first() const;
    // The endpoint of the next try; none at the end.
    std::optional<std::size_t> on(TryOutcome outcome, RetryBudget &budget);

    bool isAnswered() const;
    // Of a call that was not answered.
    RunState run() const;

private:
    std::size_t endpoints;
    std::size_t attempts;
    std::size_t tries = 0; // ended
    bool answered = false;
    bool mayHaveRun = false;
};

} // namespace fescuesill
