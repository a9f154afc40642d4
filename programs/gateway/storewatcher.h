#pragma once

// Watches the users' store on its own thread and reports changes to the forwarding thread through a ring.
//
//     StoreWatcher watcher({settings.store, settings.contactLimit}, ring);
//     ... ring.tryPop() on the other side ...
//     watcher.stop();

#include "programs/gateway/configreplica.h"
#include "programs/gateway/leasewatcher.h"
#include "programs/gateway/registryrelay.h"
#include "programs/gateway/storeupdate.h"
#include "wire/ring.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <random>
#include <thread>

namespace fescuesill
{

class StoreClient;
class StoreError;
struct StoreRows;

class StoreWatcher
{
public:
    struct Options {
        std::string address;
        Duration contactLimit{3s};
        LeaseRow self; // the row that this host writes to lead; with an empty address it never leads
        Duration lease{3s};
        // How long this host believes another one that the store cannot be read before it tries itself.
        Duration outageDoubt{20s};
        // All hosts of the fleet start together, for the first time. Callers come later, so a host takes the
        // configuration from the leader and reads it itself only if none comes.
        bool isFirstStart = false;
        // How long keys are admitted after the configuration was known to be the newest; zero for ever. Before the end
        // of it, a host that others read for reads the configuration itself.
        Duration keyLimit{0};
    };

    StoreWatcher(Options options, Ring<StoreUpdate> &updates);
    ~StoreWatcher();
    StoreWatcher(const StoreWatcher &) = delete;
    StoreWatcher &operator=(const StoreWatcher &) = delete;

    void stop();
    // The functions below may be called on any thread.
    // Sets whether the leader is reachable from this host.
    void setLeaderReachable(bool isReachable);
    // Sets whether the deputy of a lost leader places for this host, or is expected to do so in a moment.
    void setDeputyExpected(bool isExpected);
    // Sets whether this host is the deputy of a lost leader, so that other hosts follow it.
    void setActing(bool isActing);
    // The host that this one follows, the leader or its deputy, was lost. Until another one forwards the changes, this
    // host reads the store itself, after a short wait.
    void onRelayLost();
    // The lease now names this leader, according to the deputy.
    void onLeaderNamed(const peer::LeaderNamed &named);
    // Gives up the leadership, since this host is stopping.
    void release();
    // Messages from the host that this one follows. While they arrive, this host does not read the store itself.
    void onUpdate(const peer::RegistryUpdate &update);
    void onUpdate(const peer::ConfigUpdate &update);
    // That row was the newest at that instant, of this host's clock that also advances while it is suspended.
    void onConfigCurrent(RowVersion row, Instant at);
    void onConfigDelayed();
    void onStoreLost();
    void onStoreRestored(const peer::StoreRestored &restored);
    // This host shall read the store for the leader, or no longer.
    void onReadingDelegated(const peer::DelegateReading &request);
    // Messages from a host that reads the store for this one.
    void onReaderUpdate(const peer::RegistryUpdate &update);
    void onReaderUpdate(const peer::ConfigUpdate &update);
    // No host that follows this one can read the store either.
    void onNoReader();
    // Reads the registry at once and pushes store_update::RegistryChecked after what it finds.
    void checkRegistry();
    // Adds a host that follows this one and has all changes up to `version`.
    void addFollower(LinkId link, std::uint64_t version);
    // Time since this thread last read the registry or received an update of it.
    Duration registryAge() const;
    // The fencing number for an order sent now; empty if this host may not give orders. Called right before each order.
    std::optional<FencingNumber> fencingForOrder() const
    {
        return this->lease.fencingForOrder();
    }
    // Whether the leader or its deputy forwards the registry's changes.
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

    static const char *nameOf(Table table);

    // The state of one table on this host.
    struct FollowedTable {
        FollowedTable(asio::io_context &io)
            : pauseTimer(io)
            , slowTimer(io)
        {
        }

        std::optional<std::int64_t> version; // all changes up to it are applied
        bool isLost = false; // the own reads fail
        bool isUnconfirmed = false; // no read has succeeded since the leader stopped forwarding
        int failures = 0; // consecutive failed reads
        Instant readStart; // of the last read; a long poll includes the wait for a change
        Instant bootReadStart; // the same, of the clock that also advances while the host is suspended
        Instant lastFailure; // the start of the last read that failed
        Instant holdUntil; // a host that may soon forward the changes makes reads before then needless
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
    void takeRead(Table table, StoreRows read, bool isWhole);
    // Returns when all changes were known, or nothing if the registry can't be read.
    std::optional<Instant> checkOnce(StoreClient &store, const asio::yield_context &yield);
    bool waitBeforeRead(Table table, const asio::yield_context &yield);
    bool waitWhileRelayed(Table table, const asio::yield_context &yield);
    void beginRead(Table table, Duration expected);
    void endRead(Table table);
    void onSlowRead(Table table);
    void onReadFailed(Table table, const StoreError &error);
    void onReadSucceeded(Table table);
    void onRegistryReadable();
    void onRelayWrong();
    void onLeader(const store_update::Leader &leader);
    void onFollowed();
    void reportOwnReads();
    Duration waitForChange(const FollowedTable &table) const;
    Duration pauseAfterFailure(Table table);
    // Returns whether the whole time has passed.
    bool waitFor(FollowedTable &table, Duration time, const asio::yield_context &yield);
    Duration varied(Duration time);
    void setRelayed(Table table, bool isRelayed);
    void setReader(bool isReader);
    void setOutage(bool isOutage);
    void takeRows(Table table, const std::vector<StoreRow> &rows, bool isWhole, std::int64_t before);
    void takeRow(Table table, const StoreRow &row);
    void takeConfig(const StoreRow &row);
    void setConfigCurrent(Instant at);
    // When this host next reads the configuration itself although another host reads it for this one.
    std::optional<Instant> configCheckDue() const;
    void takeList(const std::vector<StoreRow> &rows);
    void takeUpdate(const peer::RegistryUpdate &update);
    bool takeConfigUpdate(const peer::ConfigUpdate &update);
    void keepConfigUpdate(const peer::ConfigUpdate &update);
    void sendToLeader();
    std::shared_ptr<const RoutingConfig> decodeConfig(const StoreRow &row);
    peer::ConfigUpdate configSummary() const;
    void forwardToFollowers();
    void updateNewFollowers();
    bool isFollowed() const;
    void push(const StoreUpdate &update);
    void sendToFollowers(const peer::Message &message);

    Options options;
    Ring<StoreUpdate> &updates;
    asio::io_context io;
    std::atomic<bool> isStopping{false};
    std::atomic<std::uint64_t> known{0};
    std::atomic<bool> relayed{false};
    std::atomic<std::int64_t> registryRead{0}; // microseconds of the steady clock
    // The members below are used only by the watcher's thread.
    std::mt19937_64 random;
    FollowedTable config;
    FollowedTable registry;
    RegistryRelay relay;
    ConfigReplica replica;
    Instant configCurrentAt; // when it was last known to be the newest
    Instant configCurrentSent; // to other hosts
    Instant configChecked; // the last check of this host's own
    double configCheckPart = 0; // when this host checks, as a share of the time in which hosts do
    std::optional<RowVersion> configAtLeader; // the newest row that the leader announced
    LeaseWatcher lease;
    bool isActing = false;
    bool isReader = false; // reads the store for the leader
    bool isConfigDelayed = false; // the followers were notified that it is read late
    std::int64_t leaderVersion = 0; // of the registry, up to which the leader has all changes from this host
    bool hasSentConfig = false; // to the leader, since this host reads for it
    std::deque<peer::ConfigUpdate> recentConfigs; // the latest changes, for a leader that has missed them
    bool areReadsReported = true; // as working, to the forwarding thread
    bool isChecking = false; // the registry, by checkRegistry()
    bool isCheckWanted = false; // another one, since the current check began too early
    bool isOutage = false; // neither this host nor one that it is linked to can read the registry
    std::thread thread;
};

} // namespace fescuesill
