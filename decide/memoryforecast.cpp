// Every run grows by one token per step until its end and then releases all of its memory at once. The sum therefore
// rises linearly between two ends, and its peak is just before one of the ends, so only these points need to be
// examined. Runs are sorted by their end; just before the end of one run, it and all later ones are present.

#include "decide/memoryforecast.h"

#include <algorithm>

namespace fescuesill
{
namespace
{

struct Remaining {
    double held; // tokens now
    double left; // tokens until the end
};

Remaining remainingOf(const GrowingRun &run, double perTokenUs, Instant now)
{
    const double generated = std::max(0.0, static_cast<double>((now - run.started).count()) / perTokenUs);
    const Tokens left = run.output.remaining(Tokens(static_cast<std::int64_t>(generated)));
    return {static_cast<double>(run.prompt.value()) + generated, static_cast<double>(left.value())};
}

} // namespace

Tokens peakMemory(const std::vector<GrowingRun> &runs, Duration perToken, Instant now)
{
    const double perTokenUs = std::max(1.0, static_cast<double>(perToken.count()));
    std::vector<Remaining> remaining;
    remaining.reserve(runs.size());
    double held = 0;
    for (const GrowingRun &run : runs) {
        remaining.push_back(remainingOf(run, perTokenUs, now));
        held += remaining.back().held;
    }
    std::sort(remaining.begin(), remaining.end(),
              [](const Remaining &a, const Remaining &b) { return a.left < b.left; });
    double peak = held;
    auto count = static_cast<double>(remaining.size());
    for (const Remaining &next : remaining) {
        peak = std::max(peak, held + count * next.left);
        held -= next.held; // released at its end; the growth of the others is counted from now
        count -= 1;
    }
    return Tokens(static_cast<std::int64_t>(peak));
}

} // namespace fescuesill
