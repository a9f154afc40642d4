#pragma once

// Follows the lease that names the leader, and claims and renews it for this host. Runs on the store watcher's thread.
//
//     LeaseWatcher lease(io, {address, self, 3s}, [&](const store_update::Leader &leader) { ... });
//     lease.start();
//     lease.setLeaderReachable(true);
//     if (lease.isLastHolder()) { ... }
//     const auto fencing = lease.fencingForOrder();      // on any thread

#include "programs/gateway/storeupdate.h"
#include "promise/leadership.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace fescuesill
{

namespace asio = boost::asio;

class StoreClient;

class LeaseWatcher
{
public:
    struct Options {
        std::string address; // of the store
        LeaseRow self; // the row that this host writes to lead; with an empty address it never leads
        Duration lease{3s};
        bool isFirstStart = false; // all hosts start together, and there is no lease yet
    };
    using Report = std::function<void(const store_update::Leader &)>;

    LeaseWatcher(asio::io_context &io, Options options, Report report);

    void start();
    // Whether this host, as far as it knows, was the last holder of the lease.
    bool isLastHolder() const
    {
        return this->leadership.isLastHolder();
    }
    void setLeaderReachable(bool isReachable);
    // Whether the deputy places for this host, or is expected to do so in a moment. The deputy claims the lease and
    // names the next leader.
    void setDeputyExpected(bool isExpected);
    void onLeaderNamed(const LeaseRow &row, RowVersion version);
    // Whether the store can be read, as other reads show. While it cannot, a host that does not lead waits for them.
    void setStoreLost(bool isLost);
    // Gives up the leadership, since this host is stopping.
    void release();
    // The fencing number for an order sent now; empty if this host may not give orders. May be called on any thread.
    std::optional<FencingNumber> fencingForOrder() const;

private:
    void run(const asio::yield_context &yield);
    void runOnce(StoreClient &store, const asio::yield_context &yield);
    void waitUntil(Instant until, const asio::yield_context &yield);
    void reportLeader();

    asio::io_context &io;
    Options options;
    Report report;
    Leadership leadership;
    asio::steady_timer timer;
    store_update::Leader reported;
    bool mustReport = false; // after the next read of the lease, even if the holder is unchanged
    bool isStoreLost = false;
    Instant retryAt; // after a failed call, while the store is lost
    std::atomic<std::int64_t> ordersUntil{0}; // microseconds of the clock that counts suspension
    std::atomic<std::int64_t> orderFencing{0};
};

} // namespace fescuesill
