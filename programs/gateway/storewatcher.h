#pragma once

// Watches the users' store on its own thread and reports changes to the forwarding thread through a ring.
//
//     StoreWatcher watcher({settings.store, settings.contactLimit}, ring);
//     ... ring.tryPop() on the other side ...
//     watcher.stop();

#include "decide/routingconfig.h"
#include "programs/gateway/configreplica.h"
#include "programs/gateway/recentrows.h"
#include "promise/endpointregistry.h"
#include "promise/leadership.h"
#include "wire/linkid.h"
#include "wire/messages.h"
#include "wire/ring.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <thread>
#include <variant>

namespace fescuesill
{

namespace asio = boost::asio;

namespace store_update
{
struct Config {
    std::shared_ptr<const RoutingConfig> config;
};
struct Listed {
    std::vector<EndpointRecord> records;
};
struct Changed {
    EndpointRecord record;
};
struct Removed {
    EndpointId id;
};
// The current leader, according to the last read of the lease; empty if none is known.
struct Leader {
    std::optional<LeaseRow> holder;
    bool isSelf = false;
    RowVersion term; // the version of the lease
};
// A message for the hosts that follow this one. Sent only by the leader.
struct PeerUpdate {
    peer::Message message;
    std::optional<LinkId> follower; // to all if empty
};
// The registry can't be read, or can be read again.
struct Lost {
};
struct Restored {
    Instant lastFailure; // the start of the last read that failed; the store returned after it
};
} // namespace store_update

using StoreUpdate =
    std::variant<store_update::Config, store_update::Listed, store_update::Changed, store_update::Removed,
                 store_update::Lost, store_update::Restored, store_update::Leader, store_update::PeerUpdate>;

class StoreClient;
class StoreError;
struct StoreRow;

class StoreWatcher
{
public:
    struct Options {
        std::string address;
        Duration contactLimit{3s};
        LeaseRow self; // the row that this host writes to lead; with an empty address it never leads
        Duration lease{3s};
    };

    StoreWatcher(Options options, Ring<StoreUpdate> &updates);
    ~StoreWatcher();
    StoreWatcher(const StoreWatcher &) = delete;
    StoreWatcher &operator=(const StoreWatcher &) = delete;

    void stop();
    // The functions below may be called on any thread.
    // Sets whether the leader is reachable from this host.
    void setLeaderReachable(bool isReachable);
    // Gives up the leadership, since this host is stopping.
    void release();
    // Updates from the leader. While they arrive, this host does not read the store itself.
    void onUpdate(const peer::RegistryUpdate &update);
    void onUpdate(const peer::ConfigUpdate &update);
    void onConfigDelayed();
    void onLeaderLostStore();
    // Adds a host that follows this one and has all changes up to `version`.
    void addFollower(LinkId link, std::uint64_t version);
    // Time since this thread last read the registry or received an update of it.
    Duration registryAge() const;
    // The fencing number for an order sent now; empty if this host may not give orders. Called right before each order.
    std::optional<FencingNumber> fencingForOrder() const;
    // Whether the leader forwards the registry's changes.
    bool isRelayed() const
    {
        return this->relayed;
    }
    // The version of the store up to which this host has all changes.
    std::uint64_t knownVersion() const
    {
        return this->known;
    }

private:
    enum class Table {
        Config,
        Registry,
    };

    // The state of one table on this host.
    struct FollowedTable {
        FollowedTable(asio::io_context &io)
            : pauseTimer(io)
            , slowTimer(io)
        {
        }

        std::optional<std::int64_t> version; // all changes up to it are applied
        bool isLost = false;
        bool isUnconfirmed = false; // no read has succeeded since the leader stopped forwarding
        int failures = 0; // consecutive failed reads
        Instant readStart; // of the last read; a long poll includes the wait for a change
        Instant lastFailure; // the start of the last read that failed
        bool isRelayed = false; // the leader forwards its changes
        bool isReading = false;
        bool isSlow = false; // the current read exceeds its expected time
        asio::steady_timer pauseTimer;
        asio::steady_timer slowTimer;
    };

    FollowedTable &stateOf(Table table)
    {
        return table == Table::Config ? this->config : this->registry;
    }
    void follow(Table table, const asio::yield_context &yield);
    void followOnce(Table table, StoreClient &store, const asio::yield_context &yield);
    void beginRead(Table table, Duration expected);
    void endRead(Table table);
    void onSlowRead(Table table);
    void onReadFailed(Table table, const StoreError &error);
    Duration waitForChange(const FollowedTable &table) const;
    void waitFor(FollowedTable &table, Duration time, const asio::yield_context &yield);
    void setRelayed(Table table, bool isRelayed);
    void takeRows(Table table, const std::vector<StoreRow> &rows, bool isWhole, std::int64_t before);
    void takeRow(Table table, const StoreRow &row);
    void takeConfig(const StoreRow &row);
    std::shared_ptr<const RoutingConfig> decodeConfig(const StoreRow &row);
    peer::ConfigUpdate configSummary() const;
    void takeList(const std::vector<StoreRow> &rows);
    void forwardToFollowers(const std::vector<StoreRow> &rows);
    void recordRecentRows(const std::vector<StoreRow> &rows, std::int64_t before, bool isWhole);
    void updateNewFollowers();
    bool isLeading() const;
    void push(const StoreUpdate &update);
    void reportAvailability(bool isLost, Table table, const std::string &reason);
    void lead(const asio::yield_context &yield);
    void leadOnce(StoreClient &store, const asio::yield_context &yield);
    void reportLeader();

    Options options;
    Ring<StoreUpdate> &updates;
    asio::io_context io;
    std::atomic<bool> isStopping{false};
    std::atomic<std::uint64_t> known{0};
    std::atomic<bool> relayed{false};
    std::atomic<std::int64_t> registryRead{0}; // microseconds of the steady clock
    std::atomic<std::int64_t> ordersUntil{0}; // microseconds of the clock that counts suspension
    std::atomic<std::int64_t> orderFencing{0};
    // The members below are used only by the watcher's thread.
    FollowedTable config;
    FollowedTable registry;
    RecentRows recent; // of the registry, for followers that are a few changes behind
    std::int64_t forwarded = 0; // version of the registry at the end of the last update to all followers
    ConfigReplica replica;
    std::optional<RowVersion> configAtLeader; // the newest row that the leader announced
    std::map<LinkId, std::uint64_t> newFollowers; // without a reply yet, with the version that each has
    Leadership leadership;
    asio::steady_timer leadTimer;
    store_update::Leader reportedLeader;
    bool mustReportLeader = false; // after the next read of the lease, even if the holder is unchanged
    std::thread thread;
};

} // namespace fescuesill
