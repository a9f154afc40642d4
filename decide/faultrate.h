#pragma once

// Share of an endpoint's recent calls that failed, decaying while the endpoint is not used.
//
//     FaultRate rate;
//     rate.add(1.0, now);            // 1: the call failed; 0: it did not; between: it may not be the endpoint's fault
//     rate.at(now);                  // 0 to 1

#include "fescuesill/units.h"

#include <cmath>

namespace fescuesill
{

class FaultRate
{
public:
    // Weight of one call: five failures in a row raise the share above one half, a single one to 0.15.
    static constexpr double weight = 0.15;
    // An avoided endpoint is tried again as its record decays; a repaired one is in use again after some seconds.
    static constexpr Duration halfLife{3s};

    void add(double failed, Instant now)
    {
        const double faded = this->at(now);
        this->share = faded + weight * (failed - faded);
        this->updated = now;
    }
    double at(Instant now) const
    {
        const double age = std::chrono::duration<double>(now - this->updated).count();
        return this->share * std::exp2(-age / std::chrono::duration<double>(halfLife).count());
    }

private:
    double share = 0;
    Instant updated;
};

} // namespace fescuesill
