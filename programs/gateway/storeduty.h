#pragma once

// The thread that follows the users' store and tells the forwarding thread what changed.
//
//     StoreDuty duty({settings.store, settings.contact}, ring);
//     ... ring.tryPop() on the other side ...
//     duty.stop();

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
// Who leads, as the lease last said; none while nobody is known to.
struct Leader {
    std::optional<LeaseRow> holder;
    bool isSelf = false;
    RowVersion term; // of the lease
};
// For the hosts that follow this one; of the leader only.
struct News {
    peer::Message message;
    std::optional<LinkId> follower; // all where empty
};
// The registry can't be read, and can be read again.
struct Lost {
};
struct Back {
};
} // namespace store_update

using StoreUpdate =
    std::variant<store_update::Config, store_update::Listed, store_update::Changed, store_update::Removed,
                 store_update::Lost, store_update::Back, store_update::Leader, store_update::News>;

class StoreClient;
class StoreError;
struct StoreRow;

class StoreDuty
{
public:
    struct Options {
        std::string address;
        Duration contact{3s};
        LeaseRow self; // under which this host may lead; an empty address: it never does
        Duration lease{3s};
    };

    StoreDuty(Options options, Ring<StoreUpdate> &updates);
    ~StoreDuty();
    StoreDuty(const StoreDuty &) = delete;
    StoreDuty &operator=(const StoreDuty &) = delete;

    void stop();
    // All safe on any thread.
    // Whether this host hears from the leader.
    void setLeaderSeen(bool isSeen);
    // This host stops: it leads no more.
    void release();
    // The leader hands on changes: this host reads the store itself only where the leader cannot.
    void onNews(const peer::RegistryUpdate &news);
    void onNews(const peer::ConfigUpdate &news);
    void onConfigDelayed();
    void onLeaderLostStore();
    // A host that follows this one has all up to a version.
    void addFollower(LinkId link, std::uint64_t version);
    // Since the registry was last read, or its news came, by this thread.
    Duration registryAge() const;
    // With which number this host may give orders now; none where it may not. Asked right before each order.
    std::optional<FencingNumber> mayOrder() const;
    // Whether the leader hands on the registry's changes.
    bool isRelayed() const
    {
        return this->relayed;
    }
    // The store's version up to which this host has all.
    std::uint64_t knownVersion() const
    {
        return this->known;
    }

private:
    enum class Table {
        Config,
        Registry,
    };

    // One table as this host has it.
    struct Followed {
        Followed(asio::io_context &io)
            : pause(io)
            , slow(io)
        {
        }

        std::optional<std::int64_t> version; // all changes up to it are here
        bool isLost = false;
        int failures = 0; // reads in a row
        Instant asked; // when the last read began; one that follows also waits for a change
        bool isRelayed = false; // the leader hands on its changes
        bool isReading = false;
        bool isSlow = false; // the read that is under way
        asio::steady_timer pause;
        asio::steady_timer slow;
    };

    Followed &of(Table table)
    {
        return table == Table::Config ? this->config : this->registry;
    }
    void follow(Table table, const asio::yield_context &yield);
    void followOnce(Table table, StoreClient &store, const asio::yield_context &yield);
    void beginRead(Table table, Duration expected);
    void endRead(Table table);
    void onSlowRead(Table table);
    void onReadFailed(Table table, const StoreError &error);
    void waitFor(Followed &table, Duration time, const asio::yield_context &yield);
    void setRelayed(Table table, bool isRelayed);
    void takeRows(Table table, const std::vector<StoreRow> &rows, bool isWhole, std::int64_t before);
    void takeRow(Table table, const StoreRow &row);
    void takeConfig(const StoreRow &row);
    std::shared_ptr<const RoutingConfig> decodeConfig(const StoreRow &row);
    peer::ConfigUpdate configSummary() const;
    void takeList(const std::vector<StoreRow> &rows);
    void handOn(const std::vector<StoreRow> &rows, std::int64_t before);
    void remember(const std::vector<StoreRow> &rows, std::int64_t before, bool isWhole);
    void welcomeFollowers();
    bool isLeading() const;
    void push(const StoreUpdate &update);
    void tell(bool isLost, Table table, const std::string &reason);
    void lead(const asio::yield_context &yield);
    void leadOnce(StoreClient &store, const asio::yield_context &yield);
    void tellLeader();

    Options options;
    Ring<StoreUpdate> &updates;
    asio::io_context io;
    std::atomic<bool> isStopping{false};
    std::atomic<std::uint64_t> known{0};
    std::atomic<bool> relayed{false};
    std::atomic<std::int64_t> registryRead{0}; // microseconds of the steady clock
    std::atomic<std::int64_t> ordersUntil{0}; // microseconds of the clock that counts suspension
    std::atomic<std::int64_t> orderFencing{0};
    // Of the duty's own thread, like all below.
    Followed config;
    Followed registry;
    RecentRows recent; // of the registry, for followers that are a little behind
    ConfigReplica replica;
    std::optional<RowVersion> configAtLeader; // the newest row that the leader notified of
    std::map<LinkId, std::uint64_t> newFollowers; // not answered yet, with the version that each has
    Leadership leadership;
    asio::steady_timer leadTimer;
    store_update::Leader told;
    bool mustTell = false; // at the next read of the lease, whoever holds it
    std::thread thread;
};

} // namespace fescuesill
