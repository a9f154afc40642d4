#pragma once

// Names the first broken promise of a history, with the events that show it.

#include "testing/history.h"

namespace fescuesill
{

enum class Promise {
    NoMemoryHeldForTheGone,
    NotAnsweredTwice,
    OwnWholeAnswer,
    NotRunMeansNotRun,
    AtMostOnce,
    NothingNewForTheLeaving,
    PlannedStopCutsNothing,
    ConfigurationInForceAndKept,
};

std::string promiseName(Promise promise);

struct Violation {
    Promise promise;
    std::vector<HistoryEvent> events;

    // The promise, then its events, a line each.
    std::string text() const;
};

class HistoryChecker
{
public:
    struct Options {
        // Memory of a caller that has gone: resume grace, detection of a dead entry and owner, cancelling.
        Duration memoryFreed{60s};
        // "A few seconds".
        Duration leavingSeen{5s};
        // "Within seconds", for hosts that take work. A cut-off host stops by then.
        Duration configInForce{20s};
    };

    explicit HistoryChecker(Options options);

    std::optional<Violation> check(const History &history) const;

private:
    Options options;
};

} // namespace fescuesill
