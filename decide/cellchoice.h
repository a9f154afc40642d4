#pragma once

// Chooses the cell for a request from the summaries that the cells publish.
//
//     CellChoice choice(CellChoice::Options{}, seed);
//     choice.onSummary(cell, summary, now);                  // any number of times; only a newer version has an effect
//     choice.onLink(dataCentre, 4ms, 0.01);                  // one-way delay and share of lost packets
//     choice.onReach(cell, ownerLinkIsUp);
//     std::optional<CellId> cell = choice.choose(model, prompt, now);
//     ... the cell refuses the request ...
//     choice.onRefused(*cell, retryAfter, now);
//     cell = choice.chooseAfterRefusal(*cell, prompt, timeLeft, now); // at most once; empty: the refusal is final

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
        // A summary that was not renewed for this long is ignored. A cell publishes at least every 10 s, and the
        // slowest of 340 hosts receives a summary some seconds later (docs/design/cells.md).
        Duration freshness{30s};
        // Added to the delay of a cell in another data centre, for the variation of link delays.
        Duration remoteCost{20ms};
        // Time that one lost packet costs on a link (a retransmission timeout).
        Duration lossCost{200ms};
        // Packets of one request and its answer whose loss delays the request.
        double packetsPerRequest = 4;
        // Remote cells whose expected delay exceeds the smallest one by more than this are not candidates. It is two of
        // the steps by which a published summary may lag behind, so that an outdated summary excludes no cell but a
        // lossy link does.
        Duration maxExtraDelay{100ms};
        // A remote cell that refused is avoided for the time that it stated, within these limits. With a shorter
        // minimum each entry would send a full cell one request for each that its own cell refuses; with a longer
        // maximum, memory that becomes free would stay unused.
        Duration minAvoidance{500ms};
        Duration maxAvoidance{2s};
    };

    CellChoice(const Options &options, std::uint64_t seed)
        : options(options)
        , random(seed)
    {
    }

    void onSummary(const CellId &cell, const CellSummary &summary, Instant now);
    void onLink(const DataCentreId &dataCentre, Duration oneWay, double lossShare);
    // Whether the owner of the cell can be reached from this host.
    void onReach(const CellId &cell, bool isReachable);
    void onRefused(const CellId &cell, Duration retryAfter, Instant now);

    // The cell that receives the request first.
    std::optional<CellId> choose(const ModelId &model, Tokens prompt, Instant now);
    // The cell that receives the request after a refusal, if one is expected to give the first token within `left`.
    std::optional<CellId> chooseAfterRefusal(const CellId &refusedBy, Tokens prompt, Duration left, Instant now);
    // Expected time to the first token, seen from this host. Empty if the cell takes no work or has no recent summary.
    std::optional<Duration> expectedDelay(const CellId &cell, Tokens prompt, Instant now) const;

private:
    struct CellRecord {
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

    bool isFresh(const CellRecord &record, Instant now) const;
    bool isHomeUsable(const CellId &home, Instant now) const;
    std::vector<Candidate> candidatesExcept(const CellId &cell, Tokens prompt, Instant now) const;
    std::optional<CellId> draw(std::vector<Candidate> candidates);

    Options options;
    std::mt19937_64 random;
    // Both come from the declaration, which has some 48 cells in 6 data centres.
    std::map<CellId, CellRecord> cells;
    std::map<DataCentreId, Link> links;
};

} // namespace fescuesill
