// The mix of long prompts and long answers changes over the day, so one pool may refuse work while the other is idle.
// The limits prevent engines from moving back and forth, since each is empty for seconds at every move.
//
// A pool is short if it is full with work waiting and the other would still have room after losing one engine. Both
// conditions must hold without interruption for Options::sustainedFor. If both pools are full no engine moves: the load
// is too high, and a move would only change which requests are refused.

#include "decide/roleshift.h"

namespace fescuesill
{

// Use of a pool of `engines` after one of them is removed.
static double useAfterRemovingOne(double use, int engines)
{
    return use * engines / (engines - 1);
}

std::optional<Pool> RoleShift::shortPool(const View &view) const
{
    if (!view.waiting) {
        return std::nullopt;
    }
    const auto canDonate = [this](double use, int engines) {
        return engines > this->options.minPerPool && useAfterRemovingOne(use, engines) < this->options.maxDonorUse;
    };
    if (view.decodeUse > this->options.shortageUse && canDonate(view.prefillBusy, view.prefillEngines)) {
        return Pool::Decode;
    }
    if (view.prefillBusy > this->options.shortageUse && canDonate(view.decodeUse, view.decodeEngines)) {
        return Pool::Prefill;
    }
    return std::nullopt;
}

std::optional<Pool> RoleShift::observe(const View &view, Instant now)
{
    const std::optional<Pool> pool = this->shortPool(view);
    if (pool != this->candidate) {
        this->candidate = pool;
        this->candidateSince = now;
    }
    const bool paused = this->changed && now < *this->changed + this->options.minInterval;
    if (!pool || paused || now < this->candidateSince + this->options.sustainedFor) {
        return std::nullopt;
    }
    this->changed = now;
    this->candidate.reset();
    return pool;
}

} // namespace fescuesill
