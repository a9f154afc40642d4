#pragma once

// Calls whose endpoints may have ended under them. The registry shows it a moment later: they have started again, or
// are no longer listed although they have not said that they leave.
//
//     DoubtfulCrashes doubtful(lookup);           // how to find the endpoints at an address
//     doubtful.add(address, run);
//     for (const SuspectedRun &run : doubtful.takeConfirmed(now)) { ... report it ... }

#include "decide/crashtracker.h"
#include "promise/endpointregistry.h"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace fescuesill
{

class DoubtfulCrashes
{
public:
    // The endpoints that are registered at an address.
    using Lookup = std::function<std::vector<EndpointRecord>(const std::string &)>;

    explicit DoubtfulCrashes(Lookup lookup);

    void add(const std::string &address, const SuspectedRun &run);
    // Those whose endpoints have ended. They and the ones that are too old are kept no longer.
    std::vector<SuspectedRun> takeConfirmed(Instant now);
    // Those of an endpoint whose port has closed, unless it had said that it leaves. They are kept no longer.
    std::vector<SuspectedRun> takeOf(const EndpointStart &endpoint);

private:
    struct Doubt {
        std::string address;
        SuspectedRun run;
        bool wasLeaving = false;
    };

    bool hasEnded(Doubt &doubt) const;

    Lookup registered;
    std::deque<Doubt> doubts; // the last ones
};

} // namespace fescuesill
