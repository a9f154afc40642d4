#pragma once

// Predicts the length of an answer from its caller's estimate and from the accuracy of earlier estimates.
//
//     OutputEstimate estimate;
//     const ExpectedOutput expected = estimate.expect(Tokens(3500), Tokens(6500));
//     estimate.learn(Tokens(3500), Tokens(2900));               // a generation ended
//     expected.remaining(Tokens(1000));                         // expected rest of an answer of 1,000 tokens so far
//
// Callers' estimates are right at the median and wrong by a factor of two either way. Engines filled by estimates that
// are too small have to evict answers midway.

#include "fescuesill/units.h"

namespace fescuesill
{

// A lognormal distribution of the length of one answer.
struct ExpectedOutput {
    Tokens median;
    double spread = 0; // standard deviation of the logarithm
    Tokens maxTokens; // the caller's bound

    // Mean number of tokens still to come of an answer that has this many and has not ended.
    Tokens remaining(Tokens generated) const;
};

class OutputEstimate
{
public:
    struct Options {
        // Standard deviation of the logarithm used until enough generations were learned: estimates are often wrong by
        // half.
        double spread = 0.5;
        // Weight at which the learned line is used alone; below it the line and the caller's estimate are combined.
        double fullWeight = 30;
        // Factor applied to the past at each new generation. About the last hundred count, so changes of the traffic
        // are followed.
        double decay = 0.99;
    };

    OutputEstimate() = default;
    explicit OutputEstimate(const Options &given)
        : options(given)
    {
    }

    ExpectedOutput expect(Tokens estimate, Tokens maxTokens) const;
    void learn(Tokens estimate, Tokens actual);

private:
    Options options;
    // Exponentially decayed sums: weight, logarithms of estimated and generated lengths, their squares and product.
    double weight = 0;
    double estimated = 0;
    double generated = 0;
    double estimatedSquared = 0;
    double generatedSquared = 0;
    double product = 0;
};

} // namespace fescuesill
