// The cost of an endpoint is the time that a call is expected to take there: its mean response time, which includes the
// network delay to its data centre, scaled by the calls in flight from this host over its slots, plus the cost of its
// failures. The endpoint with the lowest cost is chosen. No endpoint is excluded: one that fails nearly always has a
// high cost, which decays with its fault record, so a repaired endpoint is used again without relying on health checks,
// which may be wrong.

#include "decide/endpointpicker.h"

#include <algorithm>
#include <limits>

namespace fescuesill
{

EndpointPicker::EndpointPicker(const Options &given, std::uint64_t seed)
    : options(given)
    , random(seed)
    , typicalUs(static_cast<double>(given.unknownTime.count()))
{
}

double EndpointPicker::bestMeanUs(const std::vector<EndpointCandidate> &candidates) const
{
    double best = std::numeric_limits<double>::max();
    for (const EndpointCandidate &candidate : candidates) {
        const auto found = this->loads.find(candidate.id);
        if (found != this->loads.end() && found->second.meanUs) {
            best = std::min(best, *found->second.meanUs);
        }
    }
    return std::min(best, this->typicalUs);
}

// Weight of an endpoint's own measurement, from 1 down to 0 with age. The remaining weight is given to the estimate for
// an unmeasured endpoint.
double EndpointPicker::recency(const Load &load, Instant now) const
{
    const double age = std::chrono::duration<double>(now - load.measured).count();
    return load.meanUs ? std::exp2(-age / std::chrono::duration<double>(this->options.halfLife).count()) : 0.0;
}

double EndpointPicker::costUs(const EndpointCandidate &candidate, double bestUs, Instant now) const
{
    const double unmeasured = bestUs * this->options.unmeasuredFactor
        + (candidate.isNear ? 0.0 : static_cast<double>(this->options.farExtra.count()));
    const auto found = this->loads.find(candidate.id);
    if (found == this->loads.end()) {
        return unmeasured;
    }
    const Load &load = found->second;
    const double mean = unmeasured + this->recency(load, now) * (load.meanUs.value_or(unmeasured) - unmeasured);
    const double loadFactor = 1.0 + static_cast<double>(load.inFlight) / candidate.slots;
    return mean * loadFactor + load.faults.at(now) * static_cast<double>(this->options.faultCost.count());
}

std::optional<EndpointId> EndpointPicker::pick(const std::vector<EndpointCandidate> &candidates, Instant now)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const double best = this->bestMeanUs(candidates);
    const EndpointCandidate *chosen = nullptr;
    double lowest = std::numeric_limits<double>::max();
    int ties = 0;
    for (const EndpointCandidate &candidate : candidates) {
        const double cost = this->costUs(candidate, best, now);
        ties = cost == lowest ? ties + 1 : 1;
        // The n-th of equal candidates replaces the choice with probability 1/n, so all are equally likely.
        const bool winsTie = cost == lowest && this->random() % static_cast<std::uint64_t>(ties) == 0;
        if (cost < lowest || winsTie) {
            lowest = cost;
            chosen = &candidate;
        }
    }
    return chosen->id;
}

std::vector<EndpointId> EndpointPicker::order(const std::vector<EndpointCandidate> &candidates, Instant now) const
{
    const double best = this->bestMeanUs(candidates);
    std::vector<std::pair<double, EndpointId>> costs;
    costs.reserve(candidates.size());
    for (const EndpointCandidate &candidate : candidates) {
        costs.emplace_back(this->costUs(candidate, best, now), candidate.id);
    }
    std::stable_sort(costs.begin(), costs.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<EndpointId> ordered;
    ordered.reserve(costs.size());
    for (auto &[cost, id] : costs) {
        ordered.push_back(std::move(id));
    }
    return ordered;
}

void EndpointPicker::onSent(const EndpointId &endpoint)
{
    ++this->loads[endpoint].inFlight;
}

void EndpointPicker::onEnded(const EndpointId &endpoint, EndpointOutcome outcome, Duration took, Instant now)
{
    const auto found = this->loads.find(endpoint);
    if (found == this->loads.end()) {
        return;
    }
    Load &load = found->second;
    load.inFlight = std::max(0, load.inFlight - 1);
    switch (outcome) {
    case EndpointOutcome::Abandoned:
        return;
    case EndpointOutcome::Full:
    case EndpointOutcome::Failed:
        load.faults.add(1, now);
        return;
    case EndpointOutcome::ErrorResponse:
        load.faults.add(this->options.errorWeight, now);
        break;
    case EndpointOutcome::Answered:
        load.faults.add(0, now);
        break;
    }
    const auto us = static_cast<double>(took.count());
    // After a long idle time the old mean is outdated, so a single new response dominates it.
    const double weight = std::max(this->options.weight, 1.0 - this->recency(load, now));
    load.meanUs = load.meanUs ? *load.meanUs + weight * (us - *load.meanUs) : us;
    load.measured = now;
    this->typicalUs += this->options.typicalWeight * (us - this->typicalUs);
}

void EndpointPicker::forget(const EndpointId &endpoint)
{
    this->loads.erase(endpoint);
}

} // namespace fescuesill
