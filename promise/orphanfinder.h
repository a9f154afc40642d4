#pragma once

// Which streams of a cell's engines belong to nobody any more.
//
//     OrphanFinder finder(options, now);                    // when this scheduler becomes the owner of the cell
//     finder.onEntries(liveEntries);                        // from membership
//     finder.onHolding(entry, streams);                     // an entry says all that it holds, after each reconnect
//     finder.onHold(entry, stream); finder.onRelease(entry, stream);
//     for (const StreamId &stream : finder.onStreams(engine, list, now)) { DELETE it for its line's entry }
//
// A stream that the engine still lists is named again with its next list: cancelling goes on until the engine confirms.

#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <map>
#include <set>
#include <vector>

namespace fescuesill
{

// One line of GET /v1/streams.
struct EngineStream {
    StreamId stream;
    HostId entry; // the last that read it
    bool attached = false;
};

class OrphanFinder
{
public:
    struct Options {
        // How long a caller that lost its entry may take to come back elsewhere. Also how long a new owner waits for
        // entries to say what they hold.
        Duration grace{15s};
        // Streams of one cell: 600 engines with 20 places are far below.
        std::size_t mostStreams = 20000;
    };

    OrphanFinder(Options options, Instant now);

    void onEntries(std::set<HostId> live);
    void onHolding(const HostId &entry, std::set<StreamId> streams);
    void onHold(const HostId &entry, const StreamId &stream);
    void onRelease(const HostId &entry, const StreamId &stream);
    // The link to the entry broke: what it held is not known until it says so again.
    void onEntryLost(const HostId &entry);

    // The streams of the list that are to be cancelled now.
    std::vector<StreamId> onStreams(const EngineId &engine, const std::vector<EngineStream> &list, Instant now);

private:
    using SinceByStream = std::map<StreamId, Instant>;

    bool isHeld(const EngineStream &stream) const;
    bool isHeldByEntry(const HostId &entry, const StreamId &stream) const;
    std::size_t unheldCount() const;

    Options options;
    Instant ownerSince;
    std::set<HostId> liveEntries;
    std::map<HostId, std::set<StreamId>> holding;
    std::map<EngineId, SinceByStream> unheldSince;
};

} // namespace fescuesill
