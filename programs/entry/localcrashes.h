#pragma once

// Keeps requests that crash engines and endpoints from being sent on by this entry. Thread-safe.
//
//     LocalCrashes crashes;
//     if (const auto left = crashes.blockedFor(trait, now)) { ... refuse; retry after *left ... }
//     crashes.onCrash(endOf(endpoint, begun), trait);   // the engine or endpoint ended under the request
//     crashes.onServed(trait);                   // it was answered in full

#include "decide/crashtracker.h"
#include "decide/requestblocks.h"
#include "wire/httpclient.h"

#include <atomic>
#include <mutex>

namespace fescuesill
{

// By which a request is recognised when its caller sends it again, with another id or key.
RequestTrait contentOf(const HttpRequest &request);
// The run of a request, begun at that instant, at an engine or endpoint that has just ended.
CrashedRun endOf(const std::string &endpoint, Instant begun);

class LocalCrashes
{
public:
    std::optional<Duration> blockedFor(RequestTrait request, Instant now);
    void onCrash(const CrashedRun &run, RequestTrait request);
    void onServed(RequestTrait request);
    // Nothing is suspected, as on any day without crashes, so that no request need be examined.
    bool isEmpty() const
    {
        return this->empty;
    }

private:
    std::atomic<bool> empty{true};
    std::mutex mutex;
    CrashTracker tracker{CrashTracker::Options{}};
    RequestBlocks blocks{RequestBlocks::Options{}};
};

} // namespace fescuesill
