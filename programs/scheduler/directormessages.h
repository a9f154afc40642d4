#pragma once

// What goes into and comes out of CellDirector; also what the duties of the scheduler pass through their rings.

#include "decide/cellmessages.h"
#include "declare/declaration.h"
#include "promise/orphanfinder.h"
#include "wire/peernode.h"

#include <map>
#include <memory>
#include <set>
#include <variant>

namespace fescuesill
{

struct FromEntry {
    LinkId link;
    peer::Message message;
};

struct LinkClosed {
    LinkId link;
};

// The cells that this host owns now, and the hosts that are live.
struct Ownership {
    std::set<CellId> cells;
    std::set<HostId> liveHosts;
};

struct NewDeclaration {
    std::shared_ptr<const Declaration> declaration;
};

struct LoadReported {
    EngineId engine;
    LoadReport report;
};

struct CacheReported {
    EngineId engine;
    std::vector<CacheEvent> events;
    bool gap = false;
};

// Did not answer for so long that its work counts as lost.
struct EngineSilent {
    EngineId engine;
};

struct EngineStreams {
    EngineId engine;
    std::vector<EngineStream> streams;
};

using DirectorEvent = std::variant<FromEntry, LinkClosed, Ownership, NewDeclaration, LoadReported, CacheReported,
                                   EngineSilent, EngineStreams>;

struct ToEntry {
    LinkId link;
    peer::Message message;
};

// The engines to be watched from now on, in place of those before.
struct WatchEngines {
    std::vector<Engine> engines;
};

// Cancel this stream; it is named again with each list of the engine until it is gone.
struct CancelStream {
    EngineId engine;
    StreamId stream;
    HostId reader; // the entry that last read it, as the engine's list said
};

struct OrderRole {
    Engine engine;
    Pool pool = Pool::Prefill;
};

struct PublishSummary {
    CellId cell;
    CellSummary summary;
};

using DirectorOutput = std::variant<ToEntry, WatchEngines, CancelStream, OrderRole, PublishSummary>;

struct CellStatus {
    CellSummary summary;
    CellCounters counters;
    std::size_t requests = 0;
};

struct DirectorStatus {
    std::map<CellId, CellStatus> cells;
    std::size_t requests = 0;
    std::size_t entries = 0;
};

} // namespace fescuesill
