// Every run grows by one token a step until its end, then all it held is free at once. So the sum rises in a straight
// line between two ends, and its peak is just before one of them: it is enough to look there. Runs are sorted by their
// end; just before the end of one, it and all later ones are there.

#include "decide/memoryforecast.h"

#include <algorithm>

namespace fescuesill
{
namespace
{

struct Ahead {
    double held; // tokens now
    double left; // tokens until its end
};

Ahead aheadOf(const GrowingRun &run, double perTokenUs, Instant now)
{
    const double made = std::max(0.0, static_cast<double>((now - run.started).count()) / perTokenUs);
    const Tokens left = run.output.remaining(Tokens(static_cast<std::int64_t>(made)));
    return {static_cast<double>(run.prompt.value()) + made, static_cast<double>(left.value())};
}

} // namespace

Tokens peakMemory(const std::vector<GrowingRun> &runs, Duration perToken, Instant now)
{
    const double perTokenUs = std::max(1.0, static_cast<double>(perToken.count()));
    std::vector<Ahead> ahead;
    ahead.reserve(runs.size());
    double held = 0;
    for (const GrowingRun &run : runs) {
        ahead.push_back(aheadOf(run, perTokenUs, now));
        held += ahead.back().held;
    }
    std::sort(ahead.begin(), ahead.end(), [](const Ahead &a, const Ahead &b) { return a.left < b.left; });
    double peak = held;
    auto count = static_cast<double>(ahead.size());
    for (const Ahead &next : ahead) {
        peak = std::max(peak, held + count * next.left);
        held -= next.held; // free from its end on; the growth of the others is counted from now
        count -= 1;
    }
    return Tokens(static_cast<std::int64_t>(peak));
}

} // namespace fescuesill
