#pragma once

// Runs one scenario under one policy and says what callers got.
//
//     const Result result = simulate(makeWorkload(settings).value(), PolicyKind::Ours);
//     result.goodput / result.bound;

#include "cell.h"

namespace fescuesill::bench
{

struct Group {
    int offered = 0;
    int good = 0; // complete within both targets
    int late = 0; // complete, but not within both
    int refused = 0; // gave up after refusals
    int unfinished = 0; // still running or waiting to come back at the end
    int refusals = 0; // answers, several for a caller that comes back
    std::vector<double> firstToken; // milliseconds, of complete ones
    std::vector<double> perToken;
};

struct Result {
    std::map<std::string, Group> groups; // by class
    std::map<std::string, Group> customers;
    Group all;
    Waste waste;
    double bound = 0;
    double memoryUse = 0;
    double prefillSkew = 0; // the busiest prefill engine against the mean
    double decisionsPerSecond = 0;
    std::uint64_t calls = 0;

    double wastedShare() const;
};

Result simulate(const Workload &workload, PolicyKind kind);

// Nearest rank: the smallest value that at least this share of all values does not exceed.
double percentile(std::vector<double> values, double share);

// No policy can complete more requests of this workload within their targets.
double goodputBound(const Workload &workload);

} // namespace fescuesill::bench
