#pragma once

// The choice of cell under load: several cells of one model in data centres of uneven size, and many entries that each
// choose by their own late copy of the summaries. The cells are those of the single-cell scenarios.
//
//     const CellsResult result = simulateCells(makeCellsLoad(settings).value());
//     result.good / result.bound;

#include "simulation.h"

namespace fescuesill::bench
{

enum class CellPolicy {
    Home, // the cell of the entry's own data centre, whatever happens
    TwoChoices, // the own cell or one other, drawn at random: the one whose summary says less
    LeastDelay, // of all cells by their summaries, see leastdelay.h
    Ours, // CellChoice
};

struct CellsSettings {
    std::string scenario = "cells-uneven";
    CellPolicy policy = CellPolicy::Ours;
    double load = 0; // 0: the scenario's own
    std::uint64_t seed = 1;
    int cells = 6;
    int entries = 340;
    int engines = 78; // over all cells
    Duration length{180s};
    double lateness = 1; // times the measured one
};

// Data centres two by two in regions. Packets to another region take longer, and cost more.
struct WanModel {
    Duration inRegion{3ms};
    Duration acrossRegions{8ms};
    double jitter = 0.5; // of the way, more, drawn evenly
    double loss = 0.01; // of packets; each costs a retransmission
    Duration retransmission{200ms};
    double priceInRegion = 1;
    double priceAcross = 3;

    Duration least(int from, int to) const; // one way between two data centres
    Duration draw(int from, int to, int ways, std::mt19937_64 &random) const;
};

struct CellsLoad {
    CellsSettings settings;
    Workload jobs; // of all cells, with the pooled engines: what the bound is reckoned from
    std::vector<Workload> cells; // engines and faults of each
    WanModel wan;
    int stuckCell = -1; // whose summaries stay as they are from `faultFrom` on
    int cutRegion = -1; // that reaches no other, nor is reached
    Instant faultFrom;
    Instant faultUntil;

    bool isFaulty(Instant now) const
    {
        return this->faultFrom <= now && now < this->faultUntil;
    }
    bool reaches(int from, int to, Instant now) const;
};

struct CellsResult {
    Group all;
    int good = 0;
    double bound = 0;
    double boundUnknownLengths = 0;
    // Requests that were not good in the end, by the last attempt: late or refused, at home or away.
    std::map<std::string, int> lost;
    int attempts = 0;
    int away = 0;
    double price = 0; // of the ways to other data centres, for each attempt
    // Mean change of the requests that a cell got, from one five seconds to the next, as a share of its mean.
    double swing = 0;
    double published = 0; // summaries of a cell in a second
    double summaryAge = 0; // seconds, mean over what entries chose by
    std::vector<double> share; // of the attempts, by cell
};

std::vector<std::string> cellScenarioNames();
std::optional<CellPolicy> cellPolicyNamed(const std::string &name);
std::vector<std::string> cellPolicyNames();
tl::expected<CellsLoad, std::string> makeCellsLoad(const CellsSettings &settings);
CellsResult simulateCells(const CellsLoad &load);

} // namespace fescuesill::bench
