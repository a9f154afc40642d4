// Leadership decides when the row is read and written; this class carries it out. A host that is linked to the leader
// or to its deputy reads nothing: the links show that they live, and the deputy names the next leader.

#include "programs/gateway/leasewatcher.h"

#include "platform/storeclient.h"
#include "wire/clock.h"
#include "wire/coroutine.h"
#include "wire/log.h"

#include <random>

namespace fescuesill
{
namespace
{

constexpr const char *leaseTable = "leases";
constexpr const char *leaseKey = "placing";
// How long a host that does not lead waits for another read of a lost store to succeed before it tries the lease.
constexpr Duration lostStoreWait{1s};

// The time in which the hosts of a fleet claim a free lease. A read, after which a host claims or finds a new holder,
// takes a tenth of it.
constexpr Duration claimSpread{300ms};

Leadership::Options leadershipOptions(Duration lease, bool isFirstStart)
{
    std::random_device random;
    std::uniform_real_distribution<double> part(0, 1);
    Leadership::Options options;
    options.lease = lease;
    options.renew = lease / 3;
    options.pollInterval = lease / 6;
    options.firstPollDelay = lease / 50;
    options.margin = lease / 15;
    options.claimDelay = std::chrono::duration_cast<Duration>(claimSpread * part(random));
    options.firstReadDelay = isFirstStart ? options.claimDelay : Duration(0);
    return options;
}

} // namespace

LeaseWatcher::LeaseWatcher(asio::io_context &context, Options given, Report reporter)
    : io(context)
    , options(std::move(given))
    , report(std::move(reporter))
    , leadership(this->options.self, leadershipOptions(this->options.lease, this->options.isFirstStart))
    , timer(context)
{
}

void LeaseWatcher::start()
{
    if (!this->options.self.address.empty()) {
        startCoroutine(this->io, [this](const asio::yield_context &yield) { this->run(yield); });
    }
}

void LeaseWatcher::setLeaderReachable(bool isReachable)
{
    this->leadership.onLeaderSeen(isReachable);
    this->mustReport = !isReachable; // even if the same host leads again
    this->timer.cancel();
}

void LeaseWatcher::setDeputyExpected(bool isExpected)
{
    this->leadership.onDeputySeen(isExpected, bootNow());
    this->timer.cancel();
}

void LeaseWatcher::onLeaderNamed(const LeaseRow &row, RowVersion version)
{
    if (version <= this->leadership.version()) {
        return;
    }
    this->leadership.onRead(row, version, bootNow());
    this->mustReport = false;
    this->reported = {};
    this->reportLeader();
    this->timer.cancel();
}

void LeaseWatcher::setStoreLost(bool isLost)
{
    if (this->isStoreLost != isLost) {
        this->isStoreLost = isLost;
        this->timer.cancel();
    }
}

void LeaseWatcher::release()
{
    this->leadership.release();
    this->timer.cancel();
}

std::optional<FencingNumber> LeaseWatcher::fencingForOrder() const
{
    const bool isAllowed = bootNow().time_since_epoch().count() < this->ordersUntil;
    return isAllowed ? std::optional(FencingNumber(this->orderFencing)) : std::nullopt;
}

// Reports a new holder, or when this host's own lease begins or ends.
void LeaseWatcher::reportLeader()
{
    const auto &row = this->leadership.holder();
    store_update::Leader now{row && !row->host.isEmpty() ? row : std::nullopt, this->isLastHolder(),
                             this->leadership.version()};
    const bool isSameHolder = now.holder.has_value() == this->reported.holder.has_value()
        && (!now.holder || now.holder->isSameHolder(*this->reported.holder));
    if (isSameHolder && now.isSelf == this->reported.isSelf) {
        return;
    }
    Log::info(
        "leader_changed",
        {{"leader", now.holder ? now.holder->host.value() : ""}, {"self", now.isSelf}, {"lease", now.term.value()}});
    this->reported = now;
    this->report(now);
}

void LeaseWatcher::waitUntil(Instant until, const asio::yield_context &yield)
{
    boost::system::error_code ignored;
    this->timer.expires_after(std::max<Duration>(until - bootNow(), 1ms));
    this->timer.async_wait(yield[ignored]);
}

void LeaseWatcher::runOnce(StoreClient &store, const asio::yield_context &yield)
{
    const LeadershipAction action = this->leadership.next(bootNow());
    if (const auto *wait = std::get_if<leadership_action::WaitUntil>(&action)) {
        this->waitUntil(wait->until, yield);
        return;
    }
    if (this->isStoreLost && !this->isLastHolder() && bootNow() < this->retryAt) {
        this->waitUntil(this->retryAt, yield);
        return;
    }
    if (const auto *write = std::get_if<leadership_action::WriteLease>(&action)) {
        const Instant sent = bootNow();
        const auto version = store.write(leaseTable, leaseKey, encode(write->row), write->expected.value(), yield);
        if (version) {
            this->leadership.onWritten(RowVersion(*version), sent);
        } else {
            this->leadership.onFailed(bootNow() - this->options.lease); // read at once which host was first
        }
        return;
    }
    const auto row = store.read(leaseTable, leaseKey, yield);
    if (this->mustReport) {
        this->mustReport = false;
        this->reported = {};
    }
    const auto lease = row ? decodeLeaseRow(row->value) : tl::make_unexpected(LeaseRowError{"no row"});
    this->leadership.onRead(lease ? std::optional(*lease) : std::nullopt, RowVersion(row ? row->version : 0),
                            bootNow());
}

void LeaseWatcher::run(const asio::yield_context &yield)
{
    StoreClient store(this->io, {this->options.address});
    this->leadership.start(bootNow());
    while (true) {
        try {
            this->runOnce(store, yield);
        } catch (const StoreError &error) {
            Log::info("lease_unknown", {{"reason", error.what()}});
            this->retryAt = bootNow() + lostStoreWait;
            this->leadership.onFailed(bootNow());
        }
        const auto until = this->leadership.ordersUntil(bootNow());
        // The number is stored before the deadline, so a thread that sees the new deadline also sees its number.
        this->orderFencing = this->leadership.version().value();
        this->ordersUntil = until ? until->time_since_epoch().count() : 0;
        this->reportLeader();
    }
}

} // namespace fescuesill
