#pragma once

// Time for one decision against the number of engines.
//
//     for (const DecisionCost &cost : measureDecisions({13, 600}, seed)) { ... }

#include <cstdint>
#include <vector>

namespace fescuesill::bench
{

struct DecisionCost {
    int engines = 0;
    double microseconds = 0; // of real time, for the whole life of one request: submitted, placed, read, decoded, ended
    double perDecision = 0; // submit and the poll that places it
    double steps = 0; // engines and prefixes looked at for each placing; does not depend on the machine
};

std::vector<DecisionCost> measureDecisions(const std::vector<int> &engineCounts, int requests, std::uint64_t seed);
// Least-squares slope of microseconds for each decision over engines.
double slopeOf(const std::vector<DecisionCost> &costs);

} // namespace fescuesill::bench
