#pragma once

// Decides where the prompt of one generation is prefilled: at a prefill engine, at a second one, or at the decode
// engine itself.
//
//     PrefillPlan plan(isFirstSend);
//     PrefillStep step = plan.first(budget, isHealthy);    // of the first choice of prefill engine
//     while (step == PrefillStep::AtPrefillEngine) { ... plan.onFailed(budget) is the next step ... }
//
// Guards against an outage in which all prefill engines are down, unresponsive or full: each generation would send to
// one, then to a second and then to the decode engine, and the three sends per request would exceed the shared retry
// budget several times over, although retries do not end the outage.

#include "decide/retrybudget.h"

namespace fescuesill
{

enum class PrefillStep {
    AtPrefillEngine,
    AtDecodeEngine, // by the engine that decodes the answer: slower, and no further send
};

class PrefillPlan
{
public:
    // Maximum number of prefill engines tried for one generation. A third would be too late for the target.
    static constexpr int maxPrefillEngines = 2;

    // `isFirstSend`: nothing of this generation has been sent before.
    explicit PrefillPlan(bool isFirstSend)
        : isFree(isFirstSend)
    {
    }

    // The first prefill is free if it succeeds; a failed one costs a retry like any other. An engine that failed
    // recently is tried only if the budget covers another failure. A healthy engine is tried in any case, because the
    // decode engine prefills at half the speed and delays the answers that it decodes.
    PrefillStep first(RetryBudget &budget, bool isHealthy)
    {
        this->attempts = 1;
        const bool maySend = this->isFree ? isHealthy || budget.left() >= 1 : budget.take();
        return maySend ? PrefillStep::AtPrefillEngine : PrefillStep::AtDecodeEngine;
    }
    PrefillStep onFailed(RetryBudget &budget)
    {
        if (this->isFree && this->attempts == 1 && !budget.take()) {
            return PrefillStep::AtDecodeEngine;
        }
        if (this->attempts >= maxPrefillEngines || budget.left() < 1 || !budget.take()) {
            return PrefillStep::AtDecodeEngine;
        }
        ++this->attempts;
        return PrefillStep::AtPrefillEngine;
    }

private:
    bool isFree;
    int attempts = 0;
};

} // namespace fescuesill
