#pragma once

// Saves in the store what the leader knows and would be lost with all hosts: the crashes that block requests. Used only
// by the forwarding thread.
//
//     SavedState saved(io, {storeAddress, isFirstStart}, crashes);
//     saved.setDeciding(true);                    // this host leads: reads what is saved, then saves what changes
//     saved.onTick(now);
//
// Nothing is written while no endpoint crashes.

#include "fescuesill/units.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <string>

namespace fescuesill
{

namespace asio = boost::asio;

class CrashGuard;
class StoreClient;
struct StoreRow;

class SavedState
{
public:
    struct Options {
        std::string address; // of the store
        bool isFirstStart = false; // of the fleet, so nothing is saved yet
        Duration shortestInterval{250ms}; // between two writes
        // After a failed call.
        Duration retryPause{1s};
    };

    SavedState(asio::io_context &io, Options options, CrashGuard &crashes);

    // Whether this host decides for all, as the leader or in its place.
    void setDeciding(bool decides);
    void onTick(Instant now);

private:
    void read(const asio::yield_context &yield);
    void apply(const StoreRow &row);
    void write(const asio::yield_context &yield);
    bool isWriteDue(Instant now) const;
    template<typename Call>
    void start(Call call);

    asio::io_context &io;
    Options options;
    CrashGuard &crashes;
    bool isDeciding = false;
    bool mustRead = false;
    bool isCalling = false;
    Instant pauseUntil;
    Instant lastWrite;
    std::uint64_t savedCrashes = 0; // their revision
};

} // namespace fescuesill
