#pragma once

// Baseline for the choice of cell: least expected delay by the summaries, what this entry sent since it was fed, and
// the link; cells nearly as good are drawn from at random. Nothing else is remembered, and a refusal is final.
//
//     LeastDelay choice(home, seed);
//     choice.onSummary(cell, summary, oneWay, lossShare, now);
//     const int cell = choice.choose(prompt, now);

#include "decide/cellmessages.h"

#include <map>
#include <random>

namespace fescuesill::bench
{

class LeastDelay
{
public:
    LeastDelay(int home, std::uint64_t seed)
        : home(home)
        , random(seed)
    {
    }

    void onSummary(int cell, const CellSummary &summary, Duration oneWay, double loss, Instant now)
    {
        this->cells[cell] = Known{summary, now, oneWay, loss, Tokens(0)};
    }

    int choose(Tokens prompt, Instant now);

private:
    struct Known {
        CellSummary summary;
        Instant received;
        Duration oneWay{0};
        double loss = 0;
        Tokens sent;
    };

    std::optional<Duration> delay(int cell, const Known &known, Tokens prompt, Instant now) const;

    int home;
    std::mt19937_64 random;
    std::map<int, Known> cells;
};

} // namespace fescuesill::bench
