// Load: the mix of long prompts and long answers moves over the day. Harm prevented: one pool refuses work while the
// other is idle. And by the limits: engines that move to and fro, each time empty for seconds.
//
// A pool is short when it is full with work waiting and the other would still have room after giving one engine away.
// Both conditions must hold without a break for Options::sustained. With both pools full nothing moves: the load is too
// high, and a move would only change who is refused.

#include "decide/roleshift.h"

namespace fescuesill
{

// Use of a pool of `engines` after it has given one away.
static double useAfterGiving(double use, int engines)
{
    return use * engines / (engines - 1);
}

std::optional<Pool> RoleShift::shortPool(const View &view) const
{
    if (!view.waiting) {
        return std::nullopt;
    }
    const auto canGive = [this](double use, int engines) {
        return engines > this->options.leastPerPool && useAfterGiving(use, engines) < this->options.spareUse;
    };
    if (view.decodeUse > this->options.shortUse && canGive(view.prefillBusy, view.prefillEngines)) {
        return Pool::Decode;
    }
    if (view.prefillBusy > this->options.shortUse && canGive(view.decodeUse, view.decodeEngines)) {
        return Pool::Prefill;
    }
    return std::nullopt;
}

std::optional<Pool> RoleShift::observe(const View &view, Instant now)
{
    const std::optional<Pool> pool = this->shortPool(view);
    if (pool != this->wanted) {
        this->wanted = pool;
        this->wantedSince = now;
    }
    const bool paused = this->changed && now < *this->changed + this->options.pause;
    if (!pool || paused || now < this->wantedSince + this->options.sustained) {
        return std::nullopt;
    }
    this->changed = now;
    this->wanted.reset();
    return pool;
}

} // namespace fescuesill
