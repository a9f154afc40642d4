#pragma once

// Finds the streams of a cell's engines that no entry holds any more.
//
//     OrphanFinder finder(options, now);                    // when this scheduler becomes the owner of the cell
//     finder.onEntries(liveEntries);                        // from membership
//     finder.onHolding(entry, streams);                     // all that an entry holds, reported after each reconnect
//     finder.onHold(entry, stream); finder.onRelease(entry, stream);
//     for (const StreamId &stream : finder.onStreams(engine, list, now)) { DELETE it for the entry in its line }
//
// A stream that the engine still lists is returned again for its next list: cancelling is repeated until the engine
// confirms it.

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
    HostId entry; // the last entry that read the stream
    bool attached = false;
};

class OrphanFinder
{
public:
    struct Options {
        // How long a caller that lost its entry may take to resume at another one. Also how long a new owner waits for
        // entries to report what they hold.
        Duration grace{15s};
        // Unheld streams of one cell. 600 engines with 20 places each are far below this.
        std::size_t mostStreams = 20000;
    };

    OrphanFinder(Options options, Instant now);

    void onEntries(std::set<HostId> live);
    void onHolding(const HostId &entry, std::set<StreamId> streams);
    void onHold(const HostId &entry, const StreamId &stream);
    void onRelease(const HostId &entry, const StreamId &stream);
    // The link to the entry broke: what it holds is unknown until it reports again.
    void onEntryLost(const HostId &entry);

    // Returns the streams of the list that are to be cancelled now.
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
