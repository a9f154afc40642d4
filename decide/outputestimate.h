#pragma once

// How long an answer will be, from what its caller expects and from how right callers were so far.
//
//     OutputEstimate estimate;
//     const ExpectedOutput expected = estimate.expect(Tokens(3500), Tokens(6500));
//     estimate.learn(Tokens(3500), Tokens(2900));               // a generation ended
//     expected.remaining(Tokens(1000));                              // still to come, of one that has made 1,000
//
// Load: callers' estimates that are right at the median and off by a factor of two either way. Harm prevented: engines
// filled by estimates that are too small, which throw out answers midway.

#include "fescuesill/units.h"

namespace fescuesill
{

// A lognormal belief about the length of one answer.
struct ExpectedOutput {
    Tokens median;
    double spread = 0; // standard deviation of the logarithm
    Tokens most; // the caller's bound

    // The mean of what is left of an answer that has this much and has not ended.
    Tokens remaining(Tokens made) const;
};

class OutputEstimate
{
public:
    struct Options {
        // Until enough was learned: the spread of a guess that is often off by half.
        double spread = 0.5;
        // Generations until the learned line is used alone; before it counts in part.
        double enough = 30;
        // Weight of the past at each new one: the last hundred or so count, so a change of the traffic is followed.
        double keep = 0.99;
    };

    OutputEstimate() = default;
    explicit OutputEstimate(const Options &given)
        : options(given)
    {
    }

    ExpectedOutput expect(Tokens asked, Tokens most) const;
    void learn(Tokens asked, Tokens made);

private:
    Options options;
    // Sums over the past, each faded: weight, logarithms of asked and made, their squares and product.
    double weight = 0;
    double asked = 0;
    double made = 0;
    double askedSquared = 0;
    double madeSquared = 0;
    double product = 0;
};

} // namespace fescuesill
