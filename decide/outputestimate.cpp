// Callers' estimates have errors, so a large estimate is on average too large and a small one too small. The best
// prediction lies between the estimate and the usual length. It is learned as the least-squares line between the
// logarithms of estimated and generated lengths. For lengths and errors that both have a spread of 0.5, it reduces the
// spread of the prediction from 0.5 to 0.35, which needs a third less memory kept free as a margin.
//
// The rest of an answer is the mean of the lognormal beyond what was generated, not the first prediction less what was
// generated: an answer that is long already will be a long one.

#include "decide/outputestimate.h"

#include <algorithm>
#include <cmath>

namespace fescuesill
{
namespace
{

constexpr double minSpread = 0.05; // answers of a fixed length still differ by a few tokens
// Below this the tail of the distribution is negligible: the answer is longer than anything learned.
constexpr double minTail = 1e-6;
constexpr double remainingShareBeyondTail = 0.25; // of the tokens generated so far

double normalTail(double x) // probability that a standard normal exceeds x
{
    return 0.5 * std::erfc(x / std::sqrt(2.0));
}

double logOf(Tokens tokens)
{
    return std::log(static_cast<double>(std::max<std::int64_t>(1, tokens.value())));
}

} // namespace

Tokens ExpectedOutput::remaining(Tokens generated) const
{
    const auto done = static_cast<double>(std::max<std::int64_t>(1, generated.value()));
    const double s = std::max(minSpread, this->spread);
    const double z = (std::log(done) - logOf(this->median)) / s;
    const double tail = normalTail(z);
    double whole = done * (1 + remainingShareBeyondTail);
    if (tail > minTail) {
        whole = static_cast<double>(this->median.value()) * std::exp(s * s / 2) * normalTail(z - s) / tail;
    }
    const auto bound = static_cast<double>(std::max(this->maxTokens.value(), generated.value()));
    return Tokens(static_cast<std::int64_t>(std::max(0.0, std::min(whole, bound) - done)));
}

void OutputEstimate::learn(Tokens estimate, Tokens actual)
{
    const double x = logOf(estimate);
    const double y = logOf(actual);
    const double decay = this->options.decay;
    this->weight = this->weight * decay + 1;
    this->estimated = this->estimated * decay + x;
    this->generated = this->generated * decay + y;
    this->estimatedSquared = this->estimatedSquared * decay + x * x;
    this->generatedSquared = this->generatedSquared * decay + y * y;
    this->product = this->product * decay + x * y;
}

ExpectedOutput OutputEstimate::expect(Tokens estimate, Tokens maxTokens) const
{
    const double x = logOf(estimate);
    if (this->weight < 2) {
        return {estimate, this->options.spread, maxTokens};
    }
    const double meanEstimated = this->estimated / this->weight;
    const double meanGenerated = this->generated / this->weight;
    const double estimatedVariance =
        std::max(0.0, this->estimatedSquared / this->weight - meanEstimated * meanEstimated);
    const double generatedVariance =
        std::max(0.0, this->generatedSquared / this->weight - meanGenerated * meanGenerated);
    const double shared = this->product / this->weight - meanEstimated * meanGenerated;
    const double slope = estimatedVariance > 1e-9 ? std::clamp(shared / estimatedVariance, 0.0, 1.0) : 0.0;
    const double learned = meanGenerated + slope * (x - meanEstimated);
    const double residual = std::sqrt(std::max(0.0, generatedVariance - slope * shared));
    const double learnedShare = std::min(1.0, this->weight / this->options.fullWeight);
    const double guess = std::exp(learnedShare * learned + (1 - learnedShare) * x);
    const Tokens median(std::min(maxTokens.value(), std::max<std::int64_t>(1, std::llround(guess))));
    return {median, learnedShare * residual + (1 - learnedShare) * this->options.spread, maxTokens};
}

} // namespace fescuesill
