#pragma once

// Bounds the memory that the requests of all connections of a port take together, and chooses which connection yields
// once it is used up.
//
//     RequestBudget budget(options);
//     const ConnectionId caller = budget.open(now);
//     budget.onReceived(caller, Bytes(16384), now);          // all that its request holds so far
//     while (const auto dropped = budget.nextToDrop(now)) { ... close it ...; budget.onIdle(*dropped, now); }
//     if (!budget.start(caller, Bytes(60000), now)) { ... refuse the request, which is complete, as not run ... }
//     budget.onIdle(caller, now);                            // the response was written
//     budget.close(caller);

#include "fescuesill/units.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace fescuesill
{

enum class ConnectionId : std::uint64_t {};

class RequestBudget
{
public:
    struct Options {
        Bytes limit{256 << 20}; // of all requests together, those that are still arriving among them
        std::size_t connections = 20000; // that the port may have open
        // Share of the limit that requests may fill once they run. The rest is for those that arrive meanwhile.
        double runningShare = 0.75;
        // A connection that sent nothing for so long yields like one that holds twice as much.
        Duration stallUnit{1s};
        // Connections that wait for a request, or stall within one, for less than this are not closed for new ones.
        Duration leastWait{1s};
    };

    struct Counts {
        std::size_t connections = 0;
        Bytes held{0};
        Bytes limit{0};
        std::uint64_t dropped = 0; // connections, since memory was used up
        std::uint64_t refused = 0; // complete requests, since memory was used up
        std::uint64_t replaced = 0; // connections that waited, closed for new ones
    };

    explicit RequestBudget(const Options &given);

    ConnectionId open(Instant now);
    void close(ConnectionId id);

    // A request is arriving, which holds so many bytes so far.
    void onReceived(ConnectionId id, Bytes held, Instant now);
    // A request is complete and holds so many bytes until it has been answered. Returns false if it must not run.
    bool start(ConnectionId id, Bytes held, Instant now);
    // Bytes that wait in the kernel while a request runs.
    void onUnread(ConnectionId id, Bytes unread);
    // Bytes of a response that the caller has not accepted yet.
    void onUnsent(ConnectionId id, Bytes unsent, Instant now);
    // The connection holds nothing, and waits for a request.
    void onIdle(ConnectionId id, Instant now);

    // The connection to close while more is held than the limit; empty if no connection can yield. Each one that is
    // returned counts as dropped.
    std::optional<ConnectionId> nextToDrop(Instant now);
    // The connection to close for a new one if all are open; empty if none waits for long enough.
    std::optional<ConnectionId> nextToReplace(Instant now);

    bool isFull() const
    {
        return this->connections.size() >= this->options.connections;
    }
    Counts counts() const;

private:
    enum class State {
        Idle,
        Receiving,
        Running,
    };
    struct Connection {
        State state = State::Idle;
        Instant since; // of the last byte received or accepted, or of becoming idle
        bool hasServed = false; // a request of it has run
        Bytes request{0};
        Bytes unread{0};
        Bytes unsent{0};
    };

    static Bytes held(const Connection &connection);
    static Bytes releasable(const Connection &connection);
    void change(Connection &connection, Bytes request, Bytes unread, Bytes unsent);

    Options options;
    std::unordered_map<ConnectionId, Connection> connections;
    std::uint64_t nextId = 1;
    Bytes total{0};
    Bytes running{0};
    Counts counted;
};

} // namespace fescuesill
