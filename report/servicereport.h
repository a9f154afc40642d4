#pragma once

// What operators look at: burn of each service, refusals, wasted prefill, outcomes of calls, doubtful keys.
//
//     const ServiceReport report = buildReport(declaration, samples, findings);
//     print(reportText(report));      // also reportJson(report) and reportHtml(report)

#include "declare/declaration.h"
#include "report/burnrate.h"
#include "report/fleettally.h"

#include <array>

namespace fescuesill
{

// What was found besides the counters.
struct Findings {
    std::vector<std::string> unreachable; // processes
    std::vector<std::string> doubtfulKeys; // SERVICE/WORKSPACE/KEY whose outcome is not known
    bool allKeysRead = true;
};

struct ServiceBurn {
    std::string service;
    std::string serviceClass;
    double objectivePercent = 0;
    bool timed = false; // good means within both targets; of a plain service, answered
    std::array<WindowCount, 3> windows; // 5 minutes, 1 hour, 6 hours
    AlertLevel alert = AlertLevel::None;
    std::vector<double> burnOverTime; // one value for each step of reportStep, the latest last
};

struct Tallied {
    std::string name;
    double count = 0;
};

struct ServiceReport {
    UnixTime time = 0;
    std::int64_t coveredSeconds = 0;
    std::vector<ServiceBurn> services;
    std::vector<Tallied> refusals; // by code, in the longest window
    std::vector<Tallied> wasted; // prefill tokens by cause
    std::vector<Tallied> calls; // SERVICE OUTCOME
    Findings findings;
};

constexpr std::int64_t reportStep = 10 * 60;

// The counters that a report needs.
const std::vector<std::string> &reportedCounters();

// Samples in any order; the latest is now, of two with one time the later in the list.
ServiceReport buildReport(const Declaration &declaration, std::vector<Sample> samples, Findings findings);

std::string reportText(const ServiceReport &report);
std::string reportJson(const ServiceReport &report);
std::string reportHtml(const ServiceReport &report);

} // namespace fescuesill
