#pragma once

// Runs one scenario under one policy and says what callers got.
//
//     const Result result = simulate(makeWorkload(settings).value(), PolicyKind::Ours);
//     result.goodput / result.bound;

#include "cell.h"

#include <array>

namespace fescuesill::bench
{

// Of the jobs that arrive at least `settleTime` before the end; later ones may still be running then, for no fault of
// the policy.
constexpr Duration settleTime = 10s;

struct Group {
    int offered = 0;
    int good = 0; // complete within both targets
    int late = 0; // complete, but not within both
    int refused = 0; // gave up after refusals
    int unfinished = 0; // still running or waiting to come back at the end
    int refusals = 0; // answers, several for a caller that comes back
    std::vector<double> firstToken; // milliseconds, of complete ones
    std::vector<double> perToken;
    // Of late ones, milliseconds in each part of the way: queue, read, place, move and first step.
    std::vector<std::array<double, 4>> latePhases;
};

// A request that was not answered within its targets, with its last answer; empty when it got none.
struct Miss {
    const Job *job = nullptr;
    int attempts = 0;
    bool gaveUp = false;
    std::optional<Outcome> answer;
    std::array<double, 4> phases{}; // milliseconds, see Group::latePhases
};

struct Result {
    std::vector<Miss> misses;
    std::map<std::string, Group> groups; // by class
    std::map<std::string, Group> customers;
    Group all;
    int good = 0; // of all jobs, also those too late to be in a group
    Waste waste;
    double bound = 0;
    double boundUnknownLengths = 0; // in expectation, for policies that do not know how long an answer will be
    // Least cost of the good requests against what the pools have: what the policy made of them.
    double goodPrefill = 0;
    double goodDecode = 0;
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
enum class Lengths {
    Known,
    Unknown,
};
double goodputBound(const Workload &workload, Lengths lengths);

} // namespace fescuesill::bench
