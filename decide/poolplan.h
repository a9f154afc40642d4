#pragma once

// Plans how many engines of a model should prefill and how many should decode.
//
//     PoolPlan plan(PoolPlan::Options{});
//     if (const auto move = plan.observe({4, 8}, {1.2, 3.9}, now)) {
//         ... order move->engines engines into move->pool ...
//     }

#include "decide/cellmessages.h"

#include <optional>

namespace fescuesill
{

struct PoolSizes {
    int prefill = 0;
    int decode = 0;
};

// Demand of the callers, as the number of engines that would be in use all the time.
struct PoolNeed {
    double prefill = 0; // engine time
    double decode = 0; // engine memory
};

struct PoolMove {
    Pool pool = Pool::Decode; // receives the engines
    int engines = 0;
};

class PoolPlan
{
public:
    struct Options {
        // Maximum utilisation of the prefill engines at which prompts are prefilled within the time budget of a
        // prefill.
        double prefillUse = 0.8;
        // Mean utilisation of the decode memory at which the forecast leaves no room for another generation.
        double decodeUse = 0.85;
        // Assumed share of the time in which one engine of either pool is down.
        double downShare = 0.3;
        // Minimum relative increase of the served load for a move.
        double minGain = 0.05;
        // A pool whose utilisation is below this share of its capacity gets no engine, because twice its load still
        // fits.
        double minUse = 0.4;
        // How long a pool must be short of engines before a move. Prefill engines finish their prefills within a
        // second; a decode engine first completes generations of several seconds and is unavailable meanwhile.
        Duration sustainedDecode{1s};
        Duration sustainedPrefill{10s};
        // Minimum time between two moves.
        Duration pause{15s};
        int minPerPool = 2; // tolerates the crash of one
    };

    explicit PoolPlan(const Options &given)
        : options(given)
    {
    }

    // `sizes`: engines that are changing stage or were lost for a moment count in the pool that they will be in.
    std::optional<PoolMove> observe(const PoolSizes &sizes, const PoolNeed &need, Instant now);
    // The split of the same number of engines that serves the highest load.
    PoolSizes best(const PoolSizes &sizes, const PoolNeed &need) const;
    // The multiple of the need that a split serves.
    double served(const PoolSizes &sizes, const PoolNeed &need) const;

private:
    std::optional<Pool> shortPool(const PoolSizes &sizes, const PoolSizes &wanted, const PoolNeed &need) const;
    double servedWithLosses(const PoolSizes &sizes, const PoolNeed &need) const;

    Options options;
    std::optional<Pool> wantedPool;
    Instant wantedSince;
    std::optional<Instant> moved;
};

} // namespace fescuesill
