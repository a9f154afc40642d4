#pragma once

// How full a decode engine's memory will get while the generations on it grow and end.
//
//     std::vector<GrowingRun> runs = {{Tokens(5200), expected, started}, ...};
//     const Tokens peak = peakMemory(runs, 1ms, now);          // 1 ms for each token
//     if (peak <= engine.memory) { ... one more fits ... }
//
// Load: an engine is filled by what its generations take now. Harm prevented: all of them grow, memory runs out seconds
// later, and the engine throws one out in the middle of its answer and reads it in again, which stalls every other
// answer on that engine past the pause that its caller bears.

#include "decide/outputestimate.h"

#include <vector>

namespace fescuesill
{

struct GrowingRun {
    Tokens prompt;
    ExpectedOutput output;
    Instant started;
};

// The most that the runs will hold together at any moment from now on.
Tokens peakMemory(const std::vector<GrowingRun> &runs, Duration perToken, Instant now);

} // namespace fescuesill
