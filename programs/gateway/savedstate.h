#pragma once

// Saves in the store what the leader knows and would be lost with all hosts: the crashes that block requests, and which
// software version began each stream while there are several. Used only by the forwarding thread.
//
//     SavedState saved(io, {storeAddress, isFirstStart}, gates, crashes);
//     saved.setDeciding(true);                    // this host leads: reads what is saved, then saves what changes
//     saved.add(gates.takeNewStreams());          // to be saved, if this host decides
//     saved.onTick(now);
//
// Nothing is written while no endpoint crashes and engines of each service have one version.

#include "fescuesill/units.h"
#include "wire/messages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <deque>
#include <string>

namespace fescuesill
{

namespace asio = boost::asio;

class CrashExchange;
class PlacementGates;
struct StoreRow;

class SavedState
{
public:
    struct Options {
        std::string address; // of the store
        bool isFirstStart = false; // of the fleet, so nothing is saved yet
        // Between two writes that only add streams, and between any two. Streams of the last interval are lost with all
        // hosts; a crash is saved at once if none was saved within the shorter one.
        Duration streamInterval{1s};
        Duration shortestInterval{250ms};
        // After a failed call.
        Duration retryPause{1s};
        // Rows of streams. They are overwritten in turn, so that they hold more than the time for which a stream lives.
        std::size_t streamRows = 64;
        std::size_t streamsOfRow = 200; // below 48 KiB of base64, with the longest ids
        std::size_t maxPending = 3200; // streams; beyond this the oldest are not saved
        std::size_t maxIdSize = 64; // streams with longer ids are not saved
    };

    SavedState(asio::io_context &io, Options options, PlacementGates &gates, CrashExchange &crashes);

    // Whether this host decides for all, as the leader or in its place.
    void setDeciding(bool decides);
    void add(const peer::StreamsBegun &begun);
    void onTick(Instant now);

private:
    void read(const asio::yield_context &yield);
    void apply(const StoreRow &row);
    void write(const asio::yield_context &yield);
    std::vector<StoreRow> takeStreamRows(Instant now);
    bool isWriteDue(Instant now) const;
    template<typename Call>
    void start(Call call);

    struct PendingStream {
        peer::StreamOrigin origin;
        Instant since;
    };

    asio::io_context &io;
    Options options;
    PlacementGates &gates;
    CrashExchange &crashes;
    bool isDeciding = false;
    bool mustRead = false;
    bool isCalling = false;
    Instant pauseUntil;
    Instant lastWrite;
    std::deque<PendingStream> pending;
    std::size_t nextRow = 0; // of streams
    std::uint64_t savedCrashes = 0; // their revision
};

} // namespace fescuesill
