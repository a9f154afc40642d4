#pragma once

// Which cell a request should go to, by the summaries that the cells spread.
//
//     CellChoice choice(CellChoice::Options{}, seed);
//     choice.onSummary(cell, summary, now);
//     choice.onLink(dataCentre, 4ms, 0.01);                  // one way, measured by probes
//     const std::optional<CellId> cell = choice.choose(model, prompt, now);

#include "decide/cellmessages.h"

#include <map>
#include <random>

namespace fescuesill
{

class CellChoice
{
public:
    struct Options {
        DataCentreId home;
        // A summary older than this says nothing; the cell counts as unreachable. Summaries come about once a second.
        Duration freshness{10s};
        // A cell elsewhere must promise to be this much faster: its links cost more than usual and their delay varies.
        Duration awayCost{20ms};
        // Time that one lost packet costs on a link (a retransmission timeout).
        Duration lossCost{200ms};
        // Packets of one request and answer that delay it when lost.
        double packets = 4;
        // Cells within this share of the best expected delay are drawn from at random.
        double close = 0.15;
    };

    CellChoice(const Options &options, std::uint64_t seed)
        : options(options)
        , random(seed)
    {
    }

    void onSummary(const CellId &cell, const CellSummary &summary, Instant now);
    void onLink(const DataCentreId &dataCentre, Duration oneWay, double lossShare);
    // Refused or unreachable: not chosen again for this long.
    void onRefused(const CellId &cell, Duration retryAfter, Instant now);

    std::optional<CellId> choose(const ModelId &model, Tokens prompt, Instant now);
    // Until the first token, as expected from here.
    std::optional<Duration> expectedDelay(const CellId &cell, Tokens prompt, Instant now) const;

private:
    struct Known {
        CellSummary summary;
        Instant received;
        Instant avoidUntil;
        Tokens sent; // prompt tokens sent there since the summary
    };
    struct Link {
        Duration oneWay{0};
        double lossShare = 0;
    };

    Options options;
    std::mt19937_64 random;
    // Cells and data centres come from the declaration: some 48 and 6.
    std::map<CellId, Known> cells;
    std::map<DataCentreId, Link> links;
};

} // namespace fescuesill
