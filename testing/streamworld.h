#pragma once

// One streamed answer in virtual time: a caller that reconnects with its last event id, entries that run StreamProgress
// and Cancellation, an engine that holds memory, and the owners of the cell that remove orphans.
//
//     StreamWorld world(run, StreamWorld::Options{});
//     world.runToEnd();
//     HistoryChecker({}).check(world.history);

#include "promise/cancellation.h"
#include "promise/orphanfinder.h"
#include "promise/streamprogress.h"
#include "testing/history.h"
#include "testing/simulation.h"

#include <memory>

namespace fescuesill
{

class StreamWorld
{
public:
    struct Options {
        int length = 8; // fragments, one each 50 ms
        bool callerLeaves = false; // after four of them
    };

    StreamWorld(FaultRun &run, Options options);

    void runToEnd();

    History history;
    std::string outcome() const;
    // How long the engine's memory was held after the caller had gone.
    Duration heldAfterGone() const;

private:
    struct Entry {
        Entry(Simulation &simulation, FaultRun &run, int number, Offset callerHas);
        SimProcess process;
        StreamProgress progress;
        Cancellation cancellation;
        HostId host;
        int number;
        int connection = 0; // events of an older connection are late lines
        Instant diedAt = Instant::max();
        bool finished = false; // holds the stream no longer
    };
    struct Line {
        int at; // the end line is at the length
    };

    void callerConnects();
    void callerWatches(int number);
    void callerGoes();
    void attach(Entry &entry);
    void nextLine(Entry &entry, int connection, int at);
    void onLine(Entry &entry, int connection, Line line);
    void watch(Entry &entry);
    void reattach(Entry &entry);
    void cancel(Entry &entry);
    void onCancelStep(Entry &entry, CancelStep step);
    bool engineCancel(const HostId &reader);
    void freeMemory();
    void ownerTicks();
    std::set<HostId> liveEntries() const;
    bool isFrozenOrDead(const Entry &entry) const;

    FaultRun &run;
    Options options;
    std::string wholeText;
    Simulation simulation;
    std::vector<std::unique_ptr<Entry>> entries;
    std::vector<std::unique_ptr<SimProcess>> owners;
    OrphanFinder finder;
    // The engine.
    HostId reader;
    bool held = true;
    bool cancelled = false;
    Instant freedAt;
    // The caller.
    int current = 0;
    std::string text;
    Instant lastHeard;
    bool gone = false;
    bool answered = false;
    Instant goneAt;
};

} // namespace fescuesill
