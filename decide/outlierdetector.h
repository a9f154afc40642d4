#pragma once

// Ejects endpoints that are slower or fail more than their peers, and readmits them step by step.
//
//     OutlierDetector detector(OutlierDetector::Options{});
//     detector.onSample(slot, 1.1, now);          // duration of a unit of work, in any unit shared by the peers
//     detector.onFailure(slot, now);
//     detector.evaluate(now);                     // compares the peers; cheap to call often
//     detector.allowance(slot, now);              // maximum concurrent requests; nullopt: no limit

#include "decide/enginetable.h"
#include "fescuesill/units.h"

#include <optional>
#include <vector>

namespace fescuesill
{

class OutlierDetector
{
public:
    struct Options {
        // Ejects an endpoint slower than this many times the median of its peers. Peers under the same load differ by
        // some tens of percent.
        double ratio = 1.6;
        // Minimum samples before an endpoint can be ejected: one slow answer does not make a slow endpoint.
        int minSamples = 4;
        // Weight of one sample in an endpoint's mean.
        double weight = 0.15;
        // Consecutive failures after which an endpoint is ejected immediately.
        int failures = 3;
        // Duration of the first ejection; doubled at each further one up to the maximum.
        Duration firstEjectDuration{2s};
        Duration maxEjectDuration{60s};
        // Maximum share of endpoints that are ejected at the same time. If more look bad, the measure or the load is
        // the cause, and ejecting them would move their load to the rest.
        double maxEjectedShare = 0.34;
        // Interval between two comparisons of the peers.
        Duration interval{200ms};
    };

    explicit OutlierDetector(const Options &options)
        : options(options)
    {
    }

    void setMember(EngineSlot slot, bool member);
    void onSample(EngineSlot slot, double value, Instant now);
    void onFailure(EngineSlot slot, Instant now);
    // The endpoint was silent for so long that it is ejected without further evidence.
    void onStall(EngineSlot slot, Instant now);
    void evaluate(Instant now);

    std::optional<int> allowance(EngineSlot slot, Instant now) const;
    bool ejected(EngineSlot slot, Instant now) const;
    int ejectedCount() const;

private:
    enum class State {
        Normal,
        Ejected,
        Probing, // probed with up to `window` concurrent requests
    };
    struct Member {
        bool present = false;
        State state = State::Normal;
        double mean = 0;
        int samples = 0;
        int failuresInRow = 0;
        Instant until;
        Duration nextEjectDuration{0};
        int window = 1;
    };

    Member &member(EngineSlot slot);
    void eject(Member &member, Instant now);
    std::optional<double> medianOfPeers() const;
    int presentCount() const;

    Options options;
    std::vector<Member> members;
    Instant lastEvaluated;
    double median = 0; // at the last comparison; 0 when unknown
};

} // namespace fescuesill
