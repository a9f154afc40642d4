#pragma once

// Several hosts with their real decisions on requests that crash endpoints, on virtual time. Endpoints, callers, links,
// the registry and the store are simulated.
//
//     CrashDay day = CrashDay::drawn(seed);
//     day.copies = 3;
//     const CrashDayResult result = play(day);
//     EXPECT_EQ(result.sentTooLate, 0) << day.text() << result.history;

#include "fescuesill/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuesill
{

// What ends endpoints, and what else happens on the day.
struct CrashDay {
    enum class Cause {
        Request, // one request, repeated
        Part, // a part of the prompts of requests, no two of which are alike
    };
    enum class Stage {
        Plain,
        Reader, // a prefill engine
        Writer, // a decode engine
    };
    enum class Ending {
        Visible, // the port refuses connections for a while
        BackAtOnce, // before any host looks
        Silent, // nothing is sent any more, and it starts again after a while
        Gone, // the same, and it does not start again
    };
    enum class Fault {
        LeaderKilled,
        HostKilled,
        AllKilled,
        HostCut, // from the other hosts
        StoreAway,
        RackLost, // endpoints end together, whatever they run
    };
    struct PlannedFault {
        Fault fault;
        Instant at;
        Duration lasting;
    };

    std::uint64_t seed = 0;
    int hosts = 3;
    int endpoints = 12;
    Cause cause = Cause::Request;
    Stage stage = Stage::Writer;
    Ending ending = Ending::Visible;
    double crashShare = 1; // of the sends under which an endpoint ends
    bool isLate = false; // it ends seconds after it began to answer
    int copies = 1; // sent at once
    int attempts = 1; // of one call, at one endpoint after the other
    Duration pause{300ms}; // between two tries of a caller
    std::vector<PlannedFault> faults;

    // Everything but what ends endpoints, and how often and in how many copies.
    static CrashDay drawn(std::uint64_t seed);
    std::string text() const;
};

struct CrashDayResult {
    int crashes = 0; // endpoints that ended under the cause
    // Sends of the cause by hosts in touch, later than the contact limit after the third end under a request, or the
    // fifth under a part.
    int sentTooLate = 0;
    // Sound requests with the same first part as the cause, from twice the contact limit after that on.
    int soundAsked = 0;
    int soundRefused = 0;
    // Copies of one sound request, over the whole day.
    int popularAsked = 0;
    int popularRefused = 0;
    std::string history; // of the cause, one line for each event
};

CrashDayResult play(const CrashDay &day);

} // namespace fescuesill
