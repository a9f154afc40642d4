// Callers estimate with an error of their own, so a large estimate is on average too large and a small one too small.
// The best guess lies between the estimate and the usual length; how far is learned as the least-squares line between
// the logarithms of what was asked and what was made. On lengths and errors that both spread by half, it cuts the
// spread of the guess from 0.5 to 0.35, which is a third less memory kept free for surprises.
//
// An answer that has come far is a long one: what is left of it is the mean of the lognormal beyond what was made, not
// the first guess less that.

#include "decide/outputestimate.h"

#include <algorithm>
#include <cmath>

namespace fescuesill
{
namespace
{

constexpr double leastSpread = 0.05; // answers of a fixed length still differ by a few tokens
// Below this the tail of the belief is empty for our purposes: the answer is longer than anything learned.
constexpr double leastTail = 1e-6;
constexpr double leftWhenSurprised = 0.25; // of what was made

double normalTail(double x) // share of a standard normal above x
{
    return 0.5 * std::erfc(x / std::sqrt(2.0));
}

double logOf(Tokens tokens)
{
    return std::log(static_cast<double>(std::max<std::int64_t>(1, tokens.value())));
}

} // namespace

Tokens ExpectedOutput::remaining(Tokens made) const
{
    const auto done = static_cast<double>(std::max<std::int64_t>(1, made.value()));
    const double s = std::max(leastSpread, this->spread);
    const double z = (std::log(done) - logOf(this->median)) / s;
    const double tail = normalTail(z);
    double whole = done * (1 + leftWhenSurprised);
    if (tail > leastTail) {
        whole = static_cast<double>(this->median.value()) * std::exp(s * s / 2) * normalTail(z - s) / tail;
    }
    const auto bound = static_cast<double>(std::max(this->most.value(), made.value()));
    return Tokens(static_cast<std::int64_t>(std::max(0.0, std::min(whole, bound) - done)));
}

void OutputEstimate::learn(Tokens askedFor, Tokens came)
{
    const double x = logOf(askedFor);
    const double y = logOf(came);
    const double keep = this->options.keep;
    this->weight = this->weight * keep + 1;
    this->asked = this->asked * keep + x;
    this->made = this->made * keep + y;
    this->askedSquared = this->askedSquared * keep + x * x;
    this->madeSquared = this->madeSquared * keep + y * y;
    this->product = this->product * keep + x * y;
}

ExpectedOutput OutputEstimate::expect(Tokens askedFor, Tokens most) const
{
    const double x = logOf(askedFor);
    if (this->weight < 2) {
        return {askedFor, this->options.spread, most};
    }
    const double meanAsked = this->asked / this->weight;
    const double meanMade = this->made / this->weight;
    const double askedVariance = std::max(0.0, this->askedSquared / this->weight - meanAsked * meanAsked);
    const double madeVariance = std::max(0.0, this->madeSquared / this->weight - meanMade * meanMade);
    const double shared = this->product / this->weight - meanAsked * meanMade;
    const double slope = askedVariance > 1e-9 ? std::clamp(shared / askedVariance, 0.0, 1.0) : 0.0;
    const double learned = meanMade + slope * (x - meanAsked);
    const double residual = std::sqrt(std::max(0.0, madeVariance - slope * shared));
    const double trust = std::min(1.0, this->weight / this->options.enough);
    const double guess = std::exp(trust * learned + (1 - trust) * x);
    const Tokens median(std::min(most.value(), std::max<std::int64_t>(1, std::llround(guess))));
    return {median, trust * residual + (1 - trust) * this->options.spread, most};
}

} // namespace fescuesill
