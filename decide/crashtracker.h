#pragma once

// Finds what the requests that crash endpoints have in common, from the crashes that all hosts report.
//
//     CrashTracker tracker(CrashTracker::Options{});
//     tracker.onCrash({{endpoint, incarnation}, begun, ended}, traits);   // under a request with these traits
//     const RequestTraits cleared = tracker.onServed(traits);   // a request with these was answered in full
//     tracker.watchedOf(traits);                 // those whose answers must be reported
//     tracker.blocked();                         // requests that have all traits of one set are to be blocked
//
// Guards against requests that are sent to one endpoint after another, each of which ends under them.

#include "decide/requesttrait.h"
#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

namespace fescuesill
{

// One start of an endpoint, which can crash once.
struct EndpointStart {
    EndpointId endpoint;
    std::int64_t incarnation = 0;

    friend bool operator<(const EndpointStart &a, const EndpointStart &b)
    {
        return std::tie(a.endpoint, a.incarnation) < std::tie(b.endpoint, b.incarnation);
    }
    friend bool operator==(const EndpointStart &a, const EndpointStart &b)
    {
        return std::tie(a.endpoint, a.incarnation) == std::tie(b.endpoint, b.incarnation);
    }
};

// The run of a request at an endpoint that ended under it.
struct CrashedRun {
    EndpointStart endpoint;
    Instant begun;
    Instant ended;
};

// A run, and what it suspects of the crash.
struct SuspectedRun {
    CrashedRun run;
    RequestTraits traits;
};

class CrashTracker
{
public:
    struct Options {
        // Crashes under one request from which on it is blocked.
        int requestCrashes = 3;
        // Crashes under requests with one part in their prompts from which on they are blocked. More callers are
        // concerned than with one request.
        int partCrashes = 4;
        // The same, of which one fewer need follow one another.
        int overlappingPartCrashes = 6;
        // Crashes from which on answers to requests with the trait are reported.
        int watchedCrashes = 2;
        // Answers for each crash with which a whole request is not blocked: many more than one has that crashes
        // endpoints only sometimes. Fewer, where another request explains the crashes that was never answered.
        int answersOfCrash = 3;
        int answersOfExplainedCrash = 1;
        // The same, with which its crashes no longer count.
        int answersToForget = 20;
        // How long crashes count, and requests stay blocked: much longer than an endpoint takes to start again, and
        // short enough that requests that are blocked by mistake are served again without an operator.
        Duration memory{10min};
        std::size_t maxRuns = 8192; // the last ones are kept
        std::size_t maxCrashesOfTrait = 16; // the last ones decide
    };

    explicit CrashTracker(const Options &given)
        : options(given)
    {
    }

    // Ignored if it was reported before.
    void onCrash(const CrashedRun &run, const RequestTraits &traits);
    // A request with these traits was answered. Returns those of them that are no cause of the crashes so far. `begun`:
    // when it was sent to the endpoint, if that is known.
    RequestTraits onServed(const RequestTraits &traits, Instant begun = Instant::min());
    // The traits are no cause of the crashes so far.
    void forget(const RequestTraits &traits);
    void expire(Instant now);

    // The most crashes under one of these whole requests.
    int crashesUnder(const RequestTraits &traits) const;
    // Those of the traits whose requests saw several crashes.
    RequestTraits watchedOf(const RequestTraits &traits) const;
    // Sets of traits, each in order.
    std::vector<RequestTraits> blocked() const;
    // Whether a whole request with these traits has crashed enough endpoints, one of them after answers to it were
    // asked for, so that they can't be endpoints that ended together.
    bool isProven(const RequestTraits &traits) const;
    // The runs that may still block requests, for another host: whole requests, and parts that several crashes have in
    // common. Of too many, those of watched traits, and of these the last ones. Not more than that many traits in all.
    std::vector<SuspectedRun> known(std::size_t maxTraits) const;
    std::size_t size() const
    {
        return this->runs.size();
    }

private:
    using RunNumber = std::uint64_t;
    using RunNumbers = std::vector<RunNumber>;
    struct Crash {
        RunNumbers runs;
        Instant lastBegun = Instant::min(); // of these
    };
    // Of a whole request, since it was first suspected.
    struct Answers {
        int count = 0;
        RunNumber forgivenBefore = 0; // the crashes before a trial that was answered
    };

    const SuspectedRun &runOf(RunNumber number) const
    {
        return this->runs[number - this->firstRun];
    }
    // Empty if none suspects the trait.
    const RunNumbers &runsWith(const RequestTrait &trait) const;
    bool isKnown(const CrashedRun &run, const RequestTraits &traits) const;
    void forgetFirst();
    void dropSuspect(const RequestTrait &trait);
    void suspect(const RequestTrait &trait, RunNumber number);
    // How many of the runs count as crashes that the trait may have caused.
    int countOf(const RequestTrait &trait, const RunNumbers &numbers) const;
    std::set<EndpointStart> endpointsOf(const RunNumbers &numbers) const;
    // The most of the runs of which each began after the one before had ended.
    int longestSeries(const RunNumbers &numbers) const;
    int crashesToBlock(const RequestTrait &trait) const;
    bool isSuspect(const RequestTrait &trait, const RunNumbers &numbers) const;
    // Counts an answer to a whole request. Returns whether it is no cause of the crashes.
    bool isClearedByAnswer(const RequestTrait &trait, Instant begun);
    Answers answersTo(const RequestTrait &trait) const;
    // The traits that the requests of all these runs have.
    RequestTraits inCommon(const RunNumbers &numbers) const;
    // In how many of the runs the request was the last that was sent to the endpoint.
    int lastSent(const RunNumbers &numbers) const;
    // The endpoints that ended under requests with all of these traits.
    std::set<EndpointStart> crashesOf(const RequestTraits &traits) const;
    // The parts, and more of them, if each of these crashes has a request with all.
    RequestTraits extended(RequestTraits parts, const std::set<EndpointStart> &crashes) const;

    Options options;
    std::deque<SuspectedRun> runs; // in the order of the reports; their traits in order, without those served since
    RunNumber firstRun = 0;
    std::map<EndpointStart, Crash> crashes; // of the runs
    // By the value of the trait, the last run that each start of an endpoint had of it.
    std::unordered_map<std::uint64_t, RunNumbers> suspects;
    std::unordered_map<std::uint64_t, Answers> answers; // the same, of suspects
    std::set<RequestTrait> frequent; // the suspects with enough runs to be blocked
};

} // namespace fescuesill
