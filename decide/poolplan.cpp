// A request needs time of a prefill engine and memory of a decode engine, so the load that a split serves is the lesser
// of what the two pools serve, and the best split is where both run out together. The ratio of the two needs depends on
// the mix of requests and hardly on their rate: the right split is known before a burst, and an idle prefill engine can
// be moved in time for it. Few engines make the loss of one of them dear, so a split is rated by what it serves whole
// and with one engine of its weaker pool down.
//
// The two directions are not alike. A prefill engine that is moved was idle. A decode engine runs out of work over
// seconds and serves nobody until it has changed, so it moves only where prompts are waiting and have been for longer
// than a crashed engine needs to come back.

#include "decide/poolplan.h"

#include <algorithm>

namespace fescuesill
{
namespace
{

constexpr double leastNeed = 1e-6;

} // namespace

double PoolPlan::served(const PoolSizes &sizes, const PoolNeed &need) const
{
    const double prefill = sizes.prefill * this->options.prefillUse / std::max(leastNeed, need.prefill);
    const double decode = sizes.decode * this->options.decodeUse / std::max(leastNeed, need.decode);
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
    double most = this->servedWithLosses(sizes, need);
    const int all = sizes.prefill + sizes.decode;
    const int least = this->options.leastPerPool;
    for (int prefill = least; prefill <= all - least; ++prefill) {
        const PoolSizes split{prefill, all - prefill};
        const double served = this->servedWithLosses(split, need);
        if (served > most) {
            most = served;
            best = split;
        }
    }
    return best;
}

std::optional<Pool> PoolPlan::shortPool(const PoolSizes &sizes, const PoolSizes &wanted, const PoolNeed &need) const
{
    const double gain = this->servedWithLosses(wanted, need) / this->servedWithLosses(sizes, need) - 1;
    if (gain < this->options.leastGain) {
        return std::nullopt;
    }
    if (wanted.decode > sizes.decode) {
        const double use = need.decode / (sizes.decode * this->options.decodeUse);
        return use > this->options.leastUse ? std::optional(Pool::Decode) : std::nullopt;
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
    // One at a time towards prefill: each costs answers that the engine would have written.
    return PoolMove{*pool, toDecode ? wanted.decode - sizes.decode : 1};
}

} // namespace fescuesill
