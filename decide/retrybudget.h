#pragma once

// Limits retries to a share of recent successes.
//
//     RetryBudget budget(RetryBudget::Options{});
//     budget.onSuccess();
//     if (budget.take()) { ... send again ... }

#include <algorithm>

namespace fescuesill
{

// Guards against an outage in which every request fails and is retried: the retries would double the load on the
// remaining endpoints, so that they fail as well. With a budget, retries are at most a share of the successes and stop
// when nothing succeeds.
class RetryBudget
{
public:
    struct Options {
        // Retries earned per success.
        double share = 0.1;
        // Maximum balance: covers the death of one engine with twenty requests.
        double maxBalance = 20;
        // Balance before the first success.
        double initial = 5;
    };

    explicit RetryBudget(const Options &options)
        : options(options)
        , balance(std::min(options.initial, options.maxBalance))
    {
    }

    void onSuccess()
    {
        this->balance = std::min(this->options.maxBalance, this->balance + this->options.share);
    }
    bool take()
    {
        if (this->balance < 1) {
            return false;
        }
        this->balance -= 1;
        return true;
    }
    double left() const
    {
        return this->balance;
    }

private:
    Options options;
    double balance;
};

} // namespace fescuesill
