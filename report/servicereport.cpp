// A window is the difference between the latest sample and the one nearest before its start; where the samples do not
// reach back so far it is the difference to the oldest one, and the report says how much of the window is covered.
//
// Requests that their caller cancelled, and those that another entry went on with, are no verdict on the service and
// are counted neither as good nor as bad. A refusal is bad: the caller got no answer.

#include "report/servicereport.h"

#include <algorithm>
#include <set>

namespace fescuesill
{

namespace
{

constexpr const char *requestsName = "fescuesill_requests_total";
constexpr const char *withinName = "fescuesill_within_target_total";
constexpr const char *refusedName = "fescuesill_refused_total";
constexpr const char *wastedName = "fescuesill_wasted_prefill_tokens_total";
constexpr const char *cellWastedName = "fescuesill_cell_wasted_prefill_tokens";
constexpr const char *callsName = "fescuesill_calls_total";

// The caller's own fault, so no loss of the service.
const std::set<std::string> callersFaults{"bad_request",     "too_large",          "timeout",
                                          "unknown_service", "method_not_allowed", "bad_idempotency_key"};
const std::set<std::string> notEnded{"cancelled", "moved"};

const Sample &sampleAt(const std::vector<Sample> &samples, UnixTime time)
{
    const Sample *best = &samples.front();
    for (const Sample &sample : samples) {
        if (sample.time <= time) {
            best = &sample;
        }
    }
    return *best;
}

double valueOf(const Counters &counters, const Series &series)
{
    const auto found = counters.find(series);
    return found != counters.end() ? found->second : 0;
}

// Only what grew; a tally that was begun anew can't make a count negative.
Counters between(const Sample &from, const Sample &to)
{
    Counters growth;
    for (const auto &[series, value] : to.totals) {
        growth[series] = std::max(0.0, value - valueOf(from.totals, series));
    }
    return growth;
}

WindowCount countModel(const Counters &growth, const std::string &service)
{
    WindowCount count;
    for (const auto &[series, value] : growth) {
        if (series.label("service") != service) {
            continue;
        }
        if (series.name == requestsName && notEnded.count(series.label("outcome")) == 0) {
            count.total += value;
        } else if (series.name == withinName) {
            count.good += value;
        }
    }
    count.good = std::min(count.good, count.total);
    return count;
}

WindowCount countCalls(const Counters &growth, const std::string &service)
{
    WindowCount count;
    for (const auto &[series, value] : growth) {
        const std::string outcome = series.label("outcome");
        if (series.name != callsName || series.label("service") != service || callersFaults.count(outcome) > 0) {
            continue;
        }
        count.total += value;
        count.good += outcome == "answered" ? value : 0;
    }
    return count;
}

WindowCount countOf(const ServiceBurn &service, const Sample &from, const Sample &to)
{
    const Counters growth = between(from, to);
    WindowCount count = service.timed ? countModel(growth, service.service) : countCalls(growth, service.service);
    count.coveredSeconds = to.time - from.time;
    return count;
}

ServiceBurn burnOf(const Declaration &declaration, const Service &service, const std::vector<Sample> &samples)
{
    const ServiceClass &serviceClass = declaration.classOf(service);
    ServiceBurn burn;
    burn.service = service.id.value();
    burn.serviceClass = serviceClass.name;
    burn.objectivePercent = serviceClass.objectivePercent;
    burn.timed = std::holds_alternative<ModelService>(service.kind);
    const Sample &now = samples.back();
    const std::array<std::int64_t, 3> lengths{shortWindow, middleWindow, longWindow};
    for (std::size_t i = 0; i < lengths.size(); ++i) {
        burn.windows[i] = countOf(burn, sampleAt(samples, now.time - lengths[i]), now);
    }
    burn.alert = alertLevel(burn.windows[0], burn.windows[1], burn.windows[2], burn.objectivePercent);
    for (UnixTime end = now.time - longWindow + reportStep; end <= now.time; end += reportStep) {
        const WindowCount step = countOf(burn, sampleAt(samples, end - reportStep), sampleAt(samples, end));
        burn.burnOverTime.push_back(burnRate(step, burn.objectivePercent));
    }
    return burn;
}

template<typename NameOf>
std::vector<Tallied> tallyBy(const Counters &growth, NameOf nameOf)
{
    std::map<std::string, double> sums;
    for (const auto &[series, value] : growth) {
        const std::string name = nameOf(series);
        if (!name.empty() && value > 0) {
            sums[name] += value;
        }
    }
    std::vector<Tallied> list;
    list.reserve(sums.size());
    for (const auto &[name, count] : sums) {
        list.push_back({name, count});
    }
    return list;
}

std::string refusalName(const Series &series)
{
    return series.name == refusedName ? series.label("code") : "";
}

std::string wasteName(const Series &series)
{
    if (series.name == wastedName) {
        return series.label("cause") + " (entries)";
    }
    return series.name == cellWastedName ? series.label("cause") + " (cells)" : "";
}

std::string callName(const Series &series)
{
    return series.name == callsName ? series.label("service") + " " + series.label("outcome") : "";
}

} // namespace

const std::vector<std::string> &reportedCounters()
{
    static const std::vector<std::string> names{requestsName, withinName,     refusedName,
                                                wastedName,   cellWastedName, callsName};
    return names;
}

ServiceReport buildReport(const Declaration &declaration, std::vector<Sample> samples, Findings findings)
{
    ServiceReport report;
    report.findings = std::move(findings);
    std::stable_sort(samples.begin(), samples.end(), [](const Sample &a, const Sample &b) { return a.time < b.time; });
    if (samples.empty()) {
        return report;
    }
    const Sample &now = samples.back();
    const Sample &from = sampleAt(samples, now.time - longWindow);
    report.time = now.time;
    report.coveredSeconds = now.time - from.time;
    for (const Service &service : declaration.services) {
        report.services.push_back(burnOf(declaration, service, samples));
    }
    const Counters growth = between(from, now);
    report.refusals = tallyBy(growth, refusalName);
    report.wasted = tallyBy(growth, wasteName);
    report.calls = tallyBy(growth, callName);
    return report;
}

} // namespace fescuesill
