#pragma once

// Finds the requests that crash endpoints, from the crashes that all hosts report.
//
//     CrashTracker tracker(CrashTracker::Options{});
//     tracker.onCrash({begun, ended}, traits);   // the endpoint ended under a request with these traits
//     tracker.onServed(traits);                  // a request with these was answered in full
//     tracker.watchedOf(traits);                 // those whose answers must be reported
//     tracker.blocked();                         // requests that have all traits of one set are to be blocked
//
// Guards against a request that is sent to one endpoint after another, each of which ends under it.

#include "decide/requesttrait.h"
#include "fescuesill/units.h"

#include <unordered_map>

namespace fescuesill
{

// The run of a request at an endpoint that ended under it.
struct CrashedRun {
    Instant begun;
    Instant ended;
};

class CrashTracker
{
public:
    struct Options {
        // Crashes under one request from which on it is blocked.
        int requestCrashes = 3;
        // Crashes from which on answers to requests with the trait are reported.
        int watchedCrashes = 2;
        // How long crashes count after the last one.
        Duration memory{60s};
        std::size_t maxRuns = 16; // of one trait; the last ones are kept
        std::size_t maxTraits = 8192; // beyond this, those without a recent crash are forgotten
    };

    explicit CrashTracker(const Options &given)
        : options(given)
    {
    }

    void onCrash(const CrashedRun &run, const RequestTraits &traits);
    // The traits are no cause of the crashes so far.
    void onServed(const RequestTraits &traits);
    void expire(Instant now);

    // Those of the traits whose requests saw several crashes.
    RequestTraits watchedOf(const RequestTraits &traits) const;
    // Sets of traits, each in order.
    std::vector<RequestTraits> blocked() const;
    std::size_t size() const
    {
        return this->suspects.size();
    }

private:
    struct Suspect {
        std::vector<CrashedRun> runs; // in the order of their ends
        int crashes = 0;
    };

    void makeRoom();

    Options options;
    std::unordered_map<std::uint64_t, Suspect> suspects; // by the value of the trait
};

} // namespace fescuesill
