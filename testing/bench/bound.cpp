// Upper bound on goodput. Whatever a policy does, a completed request costs at least its own unshared reading on a
// prefill engine, its move on that engine's link, and its steps on a decode engine, and the pools have only so many
// seconds. So the goodput is at most the optimum of
//
//     maximise the number of chosen requests, with sum of cost[r] <= capacity[r] for r in prefill, link, decode
//
// and by Lagrangian duality at most, for any prices p[r] >= 0,
//
//     sum over requests of max(0, 1 - sum over r of p[r] * cost[r]) + sum over r of p[r] * capacity[r].
//
// The prices are searched for the lowest value; a search that stops early only makes the bound looser, never wrong.
// docs/design/decisions.md has the derivation of the least costs.

#include "simulation.h"

#include <array>

namespace fescuesill::bench
{

constexpr std::size_t resources = 3;
using Vector = std::array<double, resources>;

static double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Seconds of a pool that a fault takes away.
static double takenAway(const Workload &workload, const Fault &fault)
{
    const bool prefill = fault.pool == Pool::Prefill;
    const int engines = fault.index >= 0 ? 1 : (prefill ? workload.prefillPerCell : workload.decodePerCell);
    const double kept = fault.kind == Fault::Kind::Slow ? 1 / fault.slowness : 0;
    return engines * seconds(fault.until - fault.from) * (1 - kept);
}

static Vector capacities(const Workload &workload)
{
    const double time = seconds(workload.end.time_since_epoch()) * workload.settings.cells;
    Vector capacity{workload.prefillPerCell * time, workload.prefillPerCell * time, workload.decodePerCell * time};
    for (const Fault &fault : workload.faults) {
        capacity[fault.pool == Pool::Prefill ? 0 : 2] -= takenAway(workload, fault);
    }
    if (workload.settings.shiftRoles) {
        // Engines may change pools: each pool could have nearly all, and only the sum is bounded (see below).
        capacity[0] = capacity[1] = capacity[2] = (workload.prefillPerCell + workload.decodePerCell) * time;
    }
    return capacity;
}

static double dual(const std::vector<Vector> &costs, const Vector &capacity, const Vector &prices, bool shared)
{
    // Engines that can change pools are worth the dearer of the two uses.
    double value = shared ? std::max(prices[0], prices[2]) * capacity[0] + prices[1] * capacity[1]
                          : prices[0] * capacity[0] + prices[1] * capacity[1] + prices[2] * capacity[2];
    for (const Vector &cost : costs) {
        value += std::max(0.0, 1 - prices[0] * cost[0] - prices[1] * cost[1] - prices[2] * cost[2]);
    }
    return value;
}

double goodputBound(const Workload &workload, Lengths lengths)
{
    std::map<std::string, std::pair<double, int>> outputs; // sum and count by class
    for (const Job &job : workload.jobs) {
        auto &[sum, count] = outputs[job.targets.name];
        sum += static_cast<double>(job.output.value());
        ++count;
    }
    std::vector<Vector> costs;
    for (const Job &job : workload.jobs) {
        Job priced = job;
        if (lengths == Lengths::Unknown) {
            const auto &[sum, count] = outputs[job.targets.name];
            priced.output = Tokens(static_cast<std::int64_t>(sum / count));
        }
        const Vector cost{leastPrefillSeconds(workload.model, job), leastLinkSeconds(workload.model, job),
                          leastDecodeSeconds(workload.model, priced)};
        const double firstToken = cost[0] + cost[1] + seconds(workload.model.stepBase);
        const double alone = seconds(workload.model.stepBase) * static_cast<double>(job.output.value());
        const bool inTime = seconds(job.arrival.time_since_epoch()) + cost[0] + cost[1] + alone
            <= seconds(workload.end.time_since_epoch());
        const bool leaves = job.cancelAfter && seconds(*job.cancelAfter) < cost[0] + cost[1] + alone;
        if (inTime && !leaves && firstToken <= seconds(job.targets.firstToken)) {
            costs.push_back(cost);
        }
    }
    const Vector capacity = capacities(workload);
    const bool shared = workload.settings.shiftRoles;
    Vector prices{0, 0, 0};
    double best = dual(costs, capacity, prices, shared);
    // Pattern search along each price, along pairs, with steps that shrink.
    for (double step = 4; step > 0.002;) {
        bool better = false;
        for (int direction = 0; direction < 27; ++direction) {
            Vector next = prices;
            int code = direction;
            for (double &price : next) {
                price = std::max(0.0, price + step * (code % 3 - 1));
                code /= 3;
            }
            const double value = dual(costs, capacity, next, shared);
            if (value < best - 1e-9) {
                best = value;
                prices = next;
                better = true;
            }
        }
        step = better ? step : step / 2;
    }
    return best;
}

} // namespace fescuesill::bench
