#pragma once

// How many engines of a model should prefill and how many should decode.
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

// What callers ask for, as the number of engines that would be in use all the time.
struct PoolNeed {
    double prefill = 0; // engine time
    double decode = 0; // engine memory
};

struct PoolMove {
    Pool pool = Pool::Decode; // that gets the engines
    int engines = 0;
};

class PoolPlan
{
public:
    struct Options {
        // Share of the prefill engines' time up to which prompts are read within the time kept for a read.
        double prefillUse = 0.8;
        // Share of the decode memory in use on average when the forecast leaves no room for a further generation.
        double decodeUse = 0.85;
        // Share of the time that one engine of either pool is taken to be down.
        double downShare = 0.3;
        // Smallest increase of the served load that is worth a move.
        double leastGain = 0.05;
        // A pool in use below this share of what it can serve gets no engine: a doubled load still fits.
        double leastUse = 0.4;
        // How long a pool must be short. Prefill engines finish their reads within a second; a decode engine ends
        // generations of seconds before it changes, and is missed meanwhile.
        Duration sustainedDecode{1s};
        Duration sustainedPrefill{10s};
        // Between the end of one move and the next.
        Duration pause{15s};
        int leastPerPool = 2; // one may crash
    };

    explicit PoolPlan(const Options &given)
        : options(given)
    {
    }

    // `sizes`: with engines that are changing or were lost for a moment in the pool that they will be in.
    std::optional<PoolMove> observe(const PoolSizes &sizes, const PoolNeed &need, Instant now);
    // The split of as many engines that serves most.
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
