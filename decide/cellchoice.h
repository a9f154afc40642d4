#pragma once

// Which cell a request should go to, by the summaries that the cells spread.
//
//     CellChoice choice(CellChoice::Options{}, seed);
//     choice.onSummary(cell, summary, now);                  // as often as told; what is not newer changes nothing
//     choice.onLink(dataCentre, 4ms, 0.01);                  // one way
//     choice.onReach(cell, ownerLinkIsUp);
//     std::optional<CellId> cell = choice.choose(model, prompt, now);
//     ... refused ...
//     choice.onRefused(*cell, retryAfter, now);
//     cell = choice.chooseAfterRefusal(*cell, prompt, timeLeft, now); // once; none: the refusal stands

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
        // A summary that was not renewed for this long says nothing. A cell publishes every 10 s at the latest, and the
        // slowest of 340 hosts hears of it some seconds later (docs/design/cells.md).
        Duration freshness{30s};
        // Added for a cell elsewhere: the delay of its links varies.
        Duration awayCost{20ms};
        // Time that one lost packet costs on a link (a retransmission timeout).
        Duration lossCost{200ms};
        // Packets of one request and answer that delay it when lost.
        double packets = 4;
        // Cells elsewhere that promise this much more delay than the best of them are not asked: two steps in which
        // summaries change, so that what is merely old news keeps no cell out, and a lossy link does.
        Duration close{100ms};
        // A cell elsewhere that refused is left alone for as long as it said, within these limits: shorter, and each
        // entry asks a full cell with every request that its own refuses; longer, and room that came free stands empty.
        Duration leastAvoided{500ms};
        Duration mostAvoided{2s};
    };

    CellChoice(const Options &options, std::uint64_t seed)
        : options(options)
        , random(seed)
    {
    }

    void onSummary(const CellId &cell, const CellSummary &summary, Instant now);
    void onLink(const DataCentreId &dataCentre, Duration oneWay, double lossShare);
    // Whether its owner can be asked from here.
    void onReach(const CellId &cell, bool isReachable);
    void onRefused(const CellId &cell, Duration retryAfter, Instant now);

    // Where to ask first.
    std::optional<CellId> choose(const ModelId &model, Tokens prompt, Instant now);
    // Where to ask once more after a refusal, if some cell can be expected to give the first token within `left`.
    std::optional<CellId> chooseAfterRefusal(const CellId &refusedBy, Tokens prompt, Duration left, Instant now);
    // Until the first token, as expected from here; none where the cell takes nothing or nothing recent is known of it.
    std::optional<Duration> expectedDelay(const CellId &cell, Tokens prompt, Instant now) const;

private:
    struct Known {
        CellSummary summary;
        Instant received;
        Instant avoidUntil;
        bool isReachable = true;
    };
    struct Link {
        Duration oneWay{0};
        double lossShare = 0;
    };
    struct Candidate {
        CellId cell;
        Duration delay{0};
        std::int64_t room = 0;
    };

    bool isFresh(const Known &known, Instant now) const;
    bool isHomeUsable(const CellId &home, Instant now) const;
    std::vector<Candidate> othersThan(const CellId &cell, Tokens prompt, Instant now) const;
    std::optional<CellId> draw(std::vector<Candidate> candidates);

    Options options;
    std::mt19937_64 random;
    // Cells and data centres come from the declaration: some 48 and 6.
    std::map<CellId, Known> cells;
    std::map<DataCentreId, Link> links;
};

} // namespace fescuesill
