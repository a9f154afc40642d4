#pragma once

// Retries allowed as a share of recent successes.
//
//     RetryBudget budget(RetryBudget::Options{});
//     budget.onSuccess();
//     if (budget.take()) { ... send again ... }

#include <algorithm>

namespace fescuesill
{

// Load: an outage in which every request fails and would be sent again. Harm prevented: the retries double the load on
// what is left, so that it fails as well. With a budget retries are at most a share of what succeeds, and end when
// nothing does.
class RetryBudget
{
public:
    struct Options {
        // Retries for each success.
        double share = 0.1;
        // Saved up at most: covers the death of one engine with twenty requests.
        double most = 20;
        // At the start, before there were successes.
        double initial = 5;
    };

    explicit RetryBudget(const Options &options)
        : options(options)
        , balance(std::min(options.initial, options.most))
    {
    }

    void onSuccess()
    {
        this->balance = std::min(this->options.most, this->balance + this->options.share);
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
