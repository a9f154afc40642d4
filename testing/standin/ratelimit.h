#pragma once

// A rate with a short burst, as the platform keeps towards its customers.
//
//     RateLimit writes(400);             // a second
//     if (!writes.take(now)) { ... 429 ... }

#include <algorithm>
#include <chrono>

namespace fescuesill::standin
{

class RateLimit
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit RateLimit(double perSecond)
        : rate(perSecond)
        , most(std::max(1.0, perSecond * burstSeconds))
        , saved(most)
    {
    }

    // Counts one call; false when it is over the rate.
    bool take(TimePoint now)
    {
        const double passed = std::chrono::duration<double>(now - this->last).count();
        this->saved = std::min(this->saved + passed * this->rate, this->most);
        this->last = now;
        if (this->saved < 1) {
            return false;
        }
        this->saved -= 1;
        return true;
    }

private:
    static constexpr double burstSeconds = 0.25;

    double rate;
    double most;
    double saved;
    TimePoint last = std::chrono::steady_clock::now();
};

} // namespace fescuesill::standin
