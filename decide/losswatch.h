#pragma once

// Decides from the counts of all hosts whether packets between engines and hosts are being lost.
//
//     LossWatch watch(LossWatch::Options{});
//     if (!watch.report(host, events, stalls, now)) { ... invalid counts: log them ... }
//     watch.isSeen(now);             // ask again at least once a second: it also ends without a report
//
// A stall is a pause before events that arrive together, as EventBatch counts them.

#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace fescuesill
{

class LossWatch
{
public:
    struct Options {
        // Time constant of the decay. At a steady rate, a count is that of the last 30 s.
        Duration window{30s};
        // One host with little processor time, or one engine that pauses, must not pass for loss.
        double minStalls = 4;
        std::size_t minHosts = 3;
        // Stalls per event above which over 1% of streams of 70 events would be late. Loss ends below half of it.
        double minRate = 0.0002;
        std::int64_t maxEvents = 100'000; // of one report
    };
    struct Counts {
        double events = 0;
        double stalls = 0;
    };

    explicit LossWatch(const Options &options)
        : options(options)
    {
    }

    // What `host` has counted since its last report. Returns false, and ignores the report, if it is invalid.
    bool report(const HostId &host, std::int64_t events, std::int64_t stalls, Instant now);
    bool isSeen(Instant now) const;
    // The decayed counts.
    Counts counts(Instant now) const;

private:
    void recordStall(const HostId &host, Instant now);
    std::size_t stalledHosts(Instant now) const;

    Options options;
    Counts decayed; // as of `updated`
    bool isLossy = false; // as of `updated`
    Instant updated; // by the last report with events
    // The hosts whose last stalls are the latest, with these. At most minHosts: more are not asked about.
    std::vector<std::pair<HostId, Instant>> latestStalls;
};

} // namespace fescuesill
