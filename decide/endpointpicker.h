#pragma once

// Which endpoint of a plain service takes a call.
//
//     EndpointPicker picker(EndpointPicker::Options{}, seed);
//     const auto endpoint = picker.pick({{EndpointId("b1"), 6, true}, {EndpointId("b2"), 6, false}}, now);
//     picker.onSent(*endpoint);
//     picker.onEnded(*endpoint, EndpointOutcome::Answered, 15ms, now);      // once for each onSent
//
// Load: one endpoint of three that is slow, full or fails a share of its calls while its health check is good. Harm
// prevented: a third of the callers miss their target until somebody notices.

#include "decide/faultrate.h"
#include "fescuesill/ids.h"

#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace fescuesill
{

enum class EndpointOutcome {
    Answered,
    ErrorAnswer, // an error of its own: may be the call's fault as well
    Full, // it said that it did not run the call
    Failed, // no whole answer
    Abandoned, // the caller went first; says nothing of the endpoint
};

struct EndpointCandidate {
    EndpointId id;
    int slots = 1; // calls at once
    bool isNear = false; // in the data centre of this host
};

class EndpointPicker
{
public:
    struct Options {
        // What a failed call costs in time of answers: a lost call outweighs any wait that still meets a target of some
        // hundred milliseconds.
        Duration faultCost{400ms};
        // How much an error answer counts beside a call that got none: some share of all calls is answered so by
        // every endpoint, and such errors cancel out between peers only on average.
        double errorWeight = 0.15;
        // Weight of one answer in the mean time. Work times vary by half their mean; a tenth brings that to a tenth.
        double weight = 0.1;
        // Time after which an unused endpoint's mean has gone halfway back to what an unknown one is taken to need. One
        // that was twenty times slower is tried again after some 17 s, and costs one call if it still is.
        Duration forget{3s};
        // An endpoint that was not measured lately is taken for a little faster than the best, or it would never be
        // tried again beside one that is well.
        double trialShare = 0.8;
        // Until anything was measured.
        Duration unknownTime{15ms};
        // Weight of one answer in the usual time of all endpoints, which an endpoint that was not measured is taken to
        // need: slow enough that one endpoint that turns slow does not make its unknown peers look slow as well.
        double usualWeight = 0.01;
        // A far endpoint is asked for what its own answers take; until then it is taken for this much slower.
        Duration farExtra{10ms};
    };

    EndpointPicker(const Options &options, std::uint64_t seed);

    // None where there is no candidate.
    std::optional<EndpointId> pick(const std::vector<EndpointCandidate> &candidates, Instant now);
    void onSent(const EndpointId &endpoint);
    void onEnded(const EndpointId &endpoint, EndpointOutcome outcome, Duration took, Instant now);
    // Its state is dropped; it may come back as another start.
    void forget(const EndpointId &endpoint);

private:
    struct Load {
        int inFlight = 0;
        std::optional<double> meanUs;
        Instant measured;
        FaultRate faults;
    };

    double kept(const Load &load, Instant now) const;
    double costUs(const EndpointCandidate &candidate, double bestUs, Instant now) const;
    double bestMeanUs(const std::vector<EndpointCandidate> &candidates) const;

    Options options;
    std::mt19937_64 random;
    std::unordered_map<EndpointId, Load> loads;
    double usualUs; // of all endpoints
};

} // namespace fescuesill
