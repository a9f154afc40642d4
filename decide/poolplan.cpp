// A request needs time of a prefill engine and memory of a decode engine, so the load that a split serves is the
// minimum over the two pools, and the best split is the one at which both saturate together. The ratio of the two needs
// depends on the mix of requests and hardly on their rate, so the right split is known before a burst and idle prefill
// engines can be moved in time for it. With few engines the loss of one is significant, so a split is rated by the load
// that it serves with all engines and with one engine of its weaker pool down.
//
// The two directions differ. A prefill engine that is moved was idle. A decode engine drains over seconds and serves
// nobody until it has changed stage, so it moves only if prompts are waiting and have been for longer than a crashed
// engine needs to recover.

#include "decide/poolplan.h"

#include <algorithm>

namespace fescuesill
{
namespace
{

constexpr double minNeed = 1e-6;

} // namespace

double PoolPlan::served(const PoolSizes &sizes, const PoolNeed &need) const
{
    const double prefill = sizes.prefill * this->options.prefillUse / std::max(minNeed, need.prefill);
    const double decode = sizes.decode * this->options.decodeUse / std::max(minNeed, need.decode);
    return std::min(prefill, decode);
}

double PoolPlan::servedWithLosses(const PoolSizes &sizes, const PoolNeed &need) const
{
    const double whole = this->served(sizes, need);
    const double lessPrefill = this->served({sizes.prefill - 1, sizes.decode}, need);
    const double lessDecode = this->served({sizes.prefill, sizes.decode - 1}, need);
    const double down = this->options.downShare;
    return (1 - down) * whole + down * std::min(lessPrefill, lessDecode);
}

PoolSizes PoolPlan::best(const PoolSizes &sizes, const PoolNeed &need) const
{
    PoolSizes best = sizes;
    double highest = this->servedWithLosses(sizes, need);
    const int all = sizes.prefill + sizes.decode;
    const int minimum = this->options.minPerPool;
    for (int prefill = minimum; prefill <= all - minimum; ++prefill) {
        const PoolSizes split{prefill, all - prefill};
        const double served = this->servedWithLosses(split, need);
        if (served > highest) {
            highest = served;
            best = split;
        }
    }
    return best;
}

std::optional<Pool> PoolPlan::shortPool(const PoolSizes &sizes, const PoolSizes &wanted, const PoolNeed &need) const
{
    const double gain = this->servedWithLosses(wanted, need) / this->servedWithLosses(sizes, need) - 1;
    if (gain < this->options.minGain) {
        return std::nullopt;
    }
    if (wanted.decode > sizes.decode) {
        const double use = need.decode / (sizes.decode * this->options.decodeUse);
        return use > this->options.minUse ? std::optional(Pool::Decode) : std::nullopt;
    }
    const double use = need.prefill / (sizes.prefill * this->options.prefillUse);
    return use > 1 ? std::optional(Pool::Prefill) : std::nullopt;
}

std::optional<PoolMove> PoolPlan::observe(const PoolSizes &sizes, const PoolNeed &need, Instant now)
{
    const PoolSizes wanted = this->best(sizes, need);
    const auto pool = this->shortPool(sizes, wanted, need);
    if (pool != this->wantedPool) {
        this->wantedPool = pool;
        this->wantedSince = now;
    }
    if (!pool || (this->moved && now < *this->moved + this->options.pause)) {
        return std::nullopt;
    }
    const bool toDecode = *pool == Pool::Decode;
    const Duration sustained = toDecode ? this->options.sustainedDecode : this->options.sustainedPrefill;
    if (now < this->wantedSince + sustained) {
        return std::nullopt;
    }
    this->moved = now;
    this->wantedPool.reset();
    // Towards prefill, one engine at a time: each move costs the answers that the engine would have decoded.
    return PoolMove{*pool, toDecode ? wanted.decode - sizes.decode : 1};
}

} // namespace fescuesill
