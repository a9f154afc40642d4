#pragma once

// The thread that follows the users' store and tells the forwarding thread what changed.
//
//     StoreDuty duty({settings.store, settings.contact}, ring);
//     ... ring.tryPop() on the other side ...
//     duty.stop();

#include "decide/routingconfig.h"
#include "promise/endpointregistry.h"
#include "promise/leadership.h"
#include "wire/ring.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
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
// Who leads, as the lease says; none while nobody is known to.
struct Leader {
    std::optional<LeaseRow> holder;
    bool isSelf = false;
    RowVersion term; // of the lease
};
// The registry can't be read, and can be read again.
struct Lost {
};
struct Back {
};
} // namespace store_update

using StoreUpdate = std::variant<store_update::Config, store_update::Listed, store_update::Changed,
                                 store_update::Removed, store_update::Lost, store_update::Back, store_update::Leader>;

class StoreClient;
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
    // Whether this host hears from the leader; safe on any thread.
    void setLeaderSeen(bool isSeen);

private:
    enum class Table {
        Config,
        Registry,
    };

    void follow(Table table, const asio::yield_context &yield);
    void followOnce(Table table, StoreClient &store, std::optional<std::int64_t> &version, bool &isLost,
                    const asio::yield_context &yield);
    void takeRow(Table table, const StoreRow &row);
    void takeConfig(const std::string &text);
    void takeList(const std::vector<StoreRow> &rows);
    void push(StoreUpdate update);
    void tell(bool isLost, Table table, const std::string &reason);
    void lead(const asio::yield_context &yield);
    void leadOnce(StoreClient &store, const asio::yield_context &yield);
    void tellLeader();

    Options options;
    Ring<StoreUpdate> &updates;
    asio::io_context io;
    std::atomic<bool> isStopping{false};
    Leadership leadership; // of the duty's own thread, like the two below
    asio::steady_timer leadTimer;
    store_update::Leader told;
    std::thread thread;
};

} // namespace fescuesill
