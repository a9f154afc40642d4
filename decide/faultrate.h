#pragma once

// The share of an endpoint's latest calls that failed, forgotten while it is not used.
//
//     FaultRate rate;
//     rate.add(1.0, now);            // a call failed; 0 for one that did not, between for one that may not be its
//     fault rate.at(now);                  // 0 to 1

#include "fescuesill/units.h"

#include <cmath>

namespace fescuesill
{

class FaultRate
{
public:
    // Weight of one call: five failures in a row bring the share over a half, one alone to 0.15.
    static constexpr double weight = 0.15;
    // An endpoint that is avoided is tried again as its record fades; a repaired one is back after some seconds.
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
