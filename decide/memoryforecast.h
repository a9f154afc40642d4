#pragma once

// Forecasts the peak memory of a decode engine while its generations grow and end.
//
//     std::vector<GrowingRun> runs = {{Tokens(5200), expected, started}, ...};
//     const Tokens peak = peakMemory(runs, 1ms, now);          // 1 ms per token
//     if (peak <= engine.memory) { ... admit one more ... }
//
// Guards against filling an engine by the current memory of its generations: all of them grow, memory runs out seconds
// later, and the engine preempts one in the middle of its answer and recomputes it, which stalls every other answer on
// that engine beyond the pause that its caller accepts.

#include "decide/outputestimate.h"

#include <vector>

namespace fescuesill
{

struct GrowingRun {
    Tokens prompt;
    ExpectedOutput output;
    Instant started;
};

// Returns the maximum that the runs will hold together at any moment from `now` on.
Tokens peakMemory(const std::vector<GrowingRun> &runs, Duration perToken, Instant now);

} // namespace fescuesill
