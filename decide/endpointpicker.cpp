// The cost of an endpoint is the time that a call is expected to take there: the mean of its answers, which holds the
// way to its data centre, times the calls of this host already there over its slots, plus what its failures cost. Least
// cost wins. Nothing is switched off: an endpoint that fails nearly always is dear, and becomes cheap again as its
// record fades, so a repaired one is found again without health checks, which may be wrong.

#include "decide/endpointpicker.h"

#include <algorithm>
#include <limits>

namespace fescuesill
{

EndpointPicker::EndpointPicker(const Options &given, std::uint64_t seed)
    : options(given)
    , random(seed)
    , usualUs(static_cast<double>(given.unknownTime.count()))
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
    return std::min(best, this->usualUs);
}

// How much of an endpoint's own measurement still counts; the rest is what an unknown one is taken to need.
double EndpointPicker::kept(const Load &load, Instant now) const
{
    const double age = std::chrono::duration<double>(now - load.measured).count();
    return load.meanUs ? std::exp2(-age / std::chrono::duration<double>(this->options.forget).count()) : 0.0;
}

double EndpointPicker::costUs(const EndpointCandidate &candidate, double bestUs, Instant now) const
{
    const double unmeasured = bestUs * this->options.trialShare
        + (candidate.isNear ? 0.0 : static_cast<double>(this->options.farExtra.count()));
    const auto found = this->loads.find(candidate.id);
    if (found == this->loads.end()) {
        return unmeasured;
    }
    const Load &load = found->second;
    const double mean = unmeasured + this->kept(load, now) * (load.meanUs.value_or(unmeasured) - unmeasured);
    const double crowd = 1.0 + static_cast<double>(load.inFlight) / candidate.slots;
    return mean * crowd + load.faults.at(now) * static_cast<double>(this->options.faultCost.count());
}

std::optional<EndpointId> EndpointPicker::pick(const std::vector<EndpointCandidate> &candidates, Instant now)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const double best = this->bestMeanUs(candidates);
    const EndpointCandidate *chosen = nullptr;
    double least = std::numeric_limits<double>::max();
    int ties = 0;
    for (const EndpointCandidate &candidate : candidates) {
        const double cost = this->costUs(candidate, best, now);
        ties = cost == least ? ties + 1 : 1;
        // The n-th of equal ones replaces the choice with a chance of 1/n, so each is as likely.
        const bool winsTie = cost == least && this->random() % static_cast<std::uint64_t>(ties) == 0;
        if (cost < least || winsTie) {
            least = cost;
            chosen = &candidate;
        }
    }
    return chosen->id;
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
    case EndpointOutcome::ErrorAnswer:
        load.faults.add(this->options.errorWeight, now);
        break;
    case EndpointOutcome::Answered:
        load.faults.add(0, now);
        break;
    }
    const auto us = static_cast<double>(took.count());
    // After a long rest the old mean says little, and one answer says how the endpoint is now.
    const double weight = std::max(this->options.weight, 1.0 - this->kept(load, now));
    load.meanUs = load.meanUs ? *load.meanUs + weight * (us - *load.meanUs) : us;
    load.measured = now;
    this->usualUs += this->options.usualWeight * (us - this->usualUs);
}

void EndpointPicker::forget(const EndpointId &endpoint)
{
    this->loads.erase(endpoint);
}

} // namespace fescuesill
