#pragma once

// What happened in one concurrent run, as seen from outside the system: by callers, engines, endpoints and hosts.
//
//     History history;
//     history.add(now, history::Sent{RequestId("r1"), "k1"});
//     history.add(now, history::Executed{RequestId("r1"), "k1", "motor 1"});
//     if (const auto violation = HistoryChecker({}).check(history)) { print(violation->text); }

#include "fescuesill/errors.h"
#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fescuesill
{

namespace history
{

// A caller sent a request. The key (with its workspace) is empty where the call may be repeated.
struct Sent {
    RequestId request;
    std::string key;
};
// A caller got a whole answer.
struct Answered {
    RequestId request;
    std::string text;
};
struct Refused {
    RequestId request;
    RunState run;
};
// A caller's connection broke off inside the answer.
struct Cut {
    RequestId request;
    HostId host;
};
// A caller went away and wants no answer.
struct Gone {
    RequestId request;
};
// An endpoint carried a call out, on behalf of this request.
struct Executed {
    RequestId request;
    std::string key;
    std::string result;
};
// All that an engine wrote for a request.
struct Wrote {
    RequestId request;
    std::string text;
};
struct MemoryTaken {
    EngineId engine;
    StreamId stream;
    RequestId request;
};
struct MemoryFreed {
    EngineId engine;
    StreamId stream;
};
struct Leaving {
    EndpointId endpoint;
};
struct WorkSent {
    EndpointId endpoint;
    RequestId request;
};
struct StopBegan {
    HostId host;
};
struct ConfigAccepted {
    ConfigVersion version;
    std::string changeId;
};
// A host took new work under a version.
struct WorkTaken {
    HostId host;
    ConfigVersion version;
};

} // namespace history

using HistoryFact =
    std::variant<history::Sent, history::Answered, history::Refused, history::Cut, history::Gone, history::Executed,
                 history::Wrote, history::MemoryTaken, history::MemoryFreed, history::Leaving, history::WorkSent,
                 history::StopBegan, history::ConfigAccepted, history::WorkTaken>;

struct HistoryEvent {
    Instant at;
    HistoryFact fact;
};

struct History {
    // In the order of time.
    std::vector<HistoryEvent> events;

    void add(Instant at, HistoryFact fact)
    {
        this->events.push_back(HistoryEvent{at, std::move(fact)});
    }
};

// One line for a person to read.
std::string lineOf(const HistoryEvent &event);

} // namespace fescuesill
