#pragma once

// Chooses the endpoint of a plain service for a call.
//
//     EndpointPicker picker(EndpointPicker::Options{}, seed);
//     const auto endpoint = picker.pick({{EndpointId("b1"), 6, true}, {EndpointId("b2"), 6, false}}, now);
//     picker.onSent(*endpoint);
//     picker.onEnded(*endpoint, EndpointOutcome::Answered, 15ms, now);      // once per onSent
//
// Guards against one endpoint of three that is slow, full or fails a share of its calls while its health check passes:
// a third of the callers would miss their target until an operator intervened.

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
    ErrorResponse, // an error response, which the call itself may have caused
    Full, // the endpoint stated that it did not run the call
    Failed, // no complete response
    Abandoned, // no evidence about the endpoint: the caller disconnected first, or this host reaches no endpoint
};

struct EndpointCandidate {
    EndpointId id;
    int slots = 1; // maximum concurrent calls
    bool isNear = false; // in the data centre of this host
};

class EndpointPicker
{
public:
    struct Options {
        // Cost of a failed call, as response time: a lost call outweighs any wait that still meets a target of some
        // hundred milliseconds.
        Duration faultCost{400ms};
        // Weight of an error response relative to a failed call. Every endpoint returns errors to some share of its
        // calls, and these cancel out between peers only on average.
        double errorWeight = 0.15;
        // Weight of one response in the mean time. Response times vary by half their mean; a weight of a tenth reduces
        // the variation of the estimate to a tenth.
        double weight = 0.1;
        // Half-life of the measurement of an unused endpoint, which decays towards the estimate for an unmeasured one.
        // An endpoint that was twenty times slower is tried again after some 17 s, at the cost of one call if it is
        // still slow.
        Duration halfLife{3s};
        // An endpoint without a recent measurement is assumed to take this share of the time of the best one. Otherwise
        // it would never be tried again beside a healthy endpoint.
        double unmeasuredFactor = 0.8;
        // Assumed response time until the first measurement.
        Duration unknownTime{15ms};
        // Weight of one response in the typical time of all endpoints, which is the estimate for an unmeasured
        // endpoint. It is small, so that one endpoint that turns slow does not make its unmeasured peers look slow as
        // well.
        double typicalWeight = 0.01;
        // Extra time assumed for an endpoint in another data centre until its own responses are measured.
        Duration farExtra{10ms};
    };

    EndpointPicker(const Options &options, std::uint64_t seed);

    // Empty if there is no candidate.
    std::optional<EndpointId> pick(const std::vector<EndpointCandidate> &candidates, Instant now);
    // The candidates by their cost, lowest first.
    std::vector<EndpointId> order(const std::vector<EndpointCandidate> &candidates, Instant now) const;
    void onSent(const EndpointId &endpoint);
    void onEnded(const EndpointId &endpoint, EndpointOutcome outcome, Duration took, Instant now);
    // Drops the state of an endpoint; it may return as a new instance.
    void forget(const EndpointId &endpoint);

private:
    struct Load {
        int inFlight = 0;
        std::optional<double> meanUs;
        Instant measured;
        FaultRate faults;
    };

    double recency(const Load &load, Instant now) const;
    double costUs(const EndpointCandidate &candidate, double bestUs, Instant now) const;
    double bestMeanUs(const std::vector<EndpointCandidate> &candidates) const;

    Options options;
    std::mt19937_64 random;
    std::unordered_map<EndpointId, Load> loads;
    double typicalUs; // over all endpoints
};

} // namespace fescuesill
