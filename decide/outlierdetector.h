#pragma once

// Finds the endpoints that are slower or fail more than their peers, and lets them back step by step.
//
//     OutlierDetector detector(OutlierDetector::Options{});
//     detector.onSample(slot, 1.1, now);          // how long a piece of work took, in any unit shared by the peers
//     detector.onFailure(slot, now);
//     detector.evaluate(now);                     // compares; cheap to call often
//     detector.allowance(slot, now);              // how many requests it may have at once; nullopt: no limit

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
        // Slower than this many times the median of its peers. Peers under one load differ by some tens of percent.
        double ratio = 1.6;
        // Samples before an endpoint is judged: one slow answer is not a slow endpoint.
        int leastSamples = 4;
        // Weight of one sample in an endpoint's mean.
        double weight = 0.15;
        // Failures in a row that eject at once.
        int failures = 3;
        // First time out; doubled at each further ejection up to the longest.
        Duration ejectFor{2s};
        Duration longestEject{60s};
        // Endpoints out at once, as a share. When more look bad the measure or the load is at fault, and taking them
        // out would put their load on the rest.
        double mostEjected = 0.34;
        // How often peers are compared.
        Duration interval{200ms};
    };

    explicit OutlierDetector(const Options &options)
        : options(options)
    {
    }

    void setMember(EngineSlot slot, bool member);
    void onSample(EngineSlot slot, double value, Instant now);
    void onFailure(EngineSlot slot, Instant now);
    // Silent for so long that no second sign is needed.
    void onStall(EngineSlot slot, Instant now);
    void evaluate(Instant now);

    std::optional<int> allowance(EngineSlot slot, Instant now) const;
    bool ejected(EngineSlot slot, Instant now) const;
    int ejectedCount() const;

private:
    enum class Standing {
        Normal,
        Ejected,
        Returning, // probed with `window` requests at once
    };
    struct Member {
        bool present = false;
        Standing standing = Standing::Normal;
        double mean = 0;
        int samples = 0;
        int failuresInRow = 0;
        Instant until;
        Duration nextEject{0};
        int window = 1;
    };

    Member &member(EngineSlot slot);
    void eject(Member &member, Instant now);
    std::optional<double> medianOfPeers() const;
    int presentCount() const;

    Options options;
    std::vector<Member> members;
    Instant evaluated;
    double median = 0; // at the last comparison; 0 when unknown
};

} // namespace fescuesill
