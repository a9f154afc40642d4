// The leader watches the tables and forwards their changes to all other hosts, which read the store themselves only if
// no leader can: in a fleet of 75 hosts, watching both tables on every host took 150 calls a second, and one leader
// makes four. Updates contain the changed rows of the registry and small changes of the configuration; after a large
// change of the configuration each host reads the row.
//
// Each table is listed once and then followed from that version by long polls. After a gap in the store's history or a
// failed list, the whole table is listed again; after any other failure, the poll is retried from the same version, so
// no change is missed.
//
// A long poll waits for half of the contact limit. A connection that went silent without a reset is noticed only by a
// late reply; a longer wait would leave this host unaware of a leaving endpoint for longer than callers can tolerate.

#include "programs/gateway/storewatcher.h"

#include "platform/configrow.h"
#include "platform/registryrow.h"
#include "platform/storeclient.h"
#include "wire/clock.h"
#include "wire/coroutine.h"
#include "wire/log.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace fescuesill
{
namespace
{

constexpr Duration replyLimit{600ms}; // after the wait; a slow store replies within a few hundred milliseconds
// A read that has waited for longer, without a wait of its own, was sent while the store was unavailable.
constexpr Duration silenceOfARead{200ms};
constexpr Duration pauseAfterFault{250ms}; // a store that refuses is called four times a second for each table
constexpr Duration leaderWait{500ms}; // a quarter of the time in which a change must take effect everywhere
constexpr Duration relayedPause{10s}; // cancelled when the leader stops forwarding
constexpr std::size_t maxNewFollowers = 4096; // hosts that connect to a new leader at the same time
constexpr Duration pauseWhenFull{5ms}; // the forwarding thread drains its ring in much less

constexpr const char *leaseTable = "leases";
constexpr const char *leaseKey = "placing";

Leadership::Options leadershipOptions(Duration lease)
{
    Leadership::Options options;
    options.lease = lease;
    options.renew = lease / 3;
    options.pollInterval = lease / 6;
    options.firstPollDelay = lease / 50;
    options.margin = lease / 15;
    return options;
}

const char *nameOf(bool isConfig)
{
    return isConfig ? configTable : registryTable;
}

} // namespace

StoreWatcher::StoreWatcher(Options given, Ring<StoreUpdate> &ring)
    : options(std::move(given))
    , updates(ring)
    , config(this->io)
    , registry(this->io)
    , leadership(this->options.self, leadershipOptions(this->options.lease))
    , leadTimer(this->io)
{
    if (!this->options.self.address.empty()) {
        startCoroutine(this->io, [this](const asio::yield_context &yield) { this->lead(yield); });
    }
    for (const Table table : {Table::Config, Table::Registry}) {
        startCoroutine(this->io, [this, table](const asio::yield_context &yield) { this->follow(table, yield); });
    }
    this->thread = std::thread([this] { this->io.run(); });
}

StoreWatcher::~StoreWatcher()
{
    this->stop();
}

void StoreWatcher::stop()
{
    this->isStopping = true;
    this->io.stop();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

// Blocks while the ring is full. This is short, because the other side drains it without waiting for anything.
void StoreWatcher::push(const StoreUpdate &update)
{
    while (!this->isStopping) {
        StoreUpdate offered = update;
        if (this->updates.tryPush(std::move(offered))) {
            return;
        }
        std::this_thread::sleep_for(pauseWhenFull);
    }
}

void StoreWatcher::reportAvailability(bool isLost, Table table, const std::string &reason)
{
    const char *name = nameOf(table == Table::Config);
    if (isLost) {
        Log::warning("store_lost", {{"table", name}, {"reason", reason}});
    } else {
        Log::info("store_back", {{"table", name}});
    }
    if (isLost && this->isLeading()) {
        this->push(store_update::PeerUpdate{peer::StoreLost{}, std::nullopt});
    }
    if (table == Table::Registry) {
        this->push(isLost ? StoreUpdate(store_update::Lost{})
                          : StoreUpdate(store_update::Restored{this->registry.lastFailure}));
    }
}

bool StoreWatcher::isLeading() const
{
    return this->leadership.isLastHolder();
}

void StoreWatcher::waitFor(FollowedTable &table, Duration time, const asio::yield_context &yield)
{
    boost::system::error_code ignored;
    table.pauseTimer.expires_after(time);
    table.pauseTimer.async_wait(yield[ignored]);
}

void StoreWatcher::follow(Table table, const asio::yield_context &yield)
{
    StoreClient store(this->io, {this->options.address, replyLimit});
    FollowedTable &followed = this->stateOf(table);
    while (!this->isStopping) {
        followed.readStart = steadyNow();
        try {
            this->followOnce(table, store, yield);
            continue;
        } catch (const StoreError &error) {
            this->endRead(table);
            if (error.isHistoryGone()) {
                Log::info("store_history_gone", {{"table", nameOf(table == Table::Config)}});
                followed.version.reset();
                continue;
            }
            this->onReadFailed(table, error);
        }
        this->waitFor(followed, pauseAfterFault, yield);
    }
}

// A long reply may take seconds on the leader's link. Followers are notified of a slow read so that they don't wait.
void StoreWatcher::beginRead(Table table, Duration expected)
{
    FollowedTable &followed = this->stateOf(table);
    followed.isReading = true;
    followed.slowTimer.expires_after(expected);
    followed.slowTimer.async_wait([this, table](const boost::system::error_code &error) {
        if (!error) {
            this->onSlowRead(table);
        }
    });
}

void StoreWatcher::endRead(Table table)
{
    FollowedTable &followed = this->stateOf(table);
    followed.isReading = false;
    followed.isSlow = false;
    followed.slowTimer.cancel();
}

void StoreWatcher::onSlowRead(Table table)
{
    FollowedTable &followed = this->stateOf(table);
    // The read may have ended, and the next one begun, between the timer's expiry and this call.
    if (!followed.isReading || asio::steady_timer::clock_type::now() < followed.slowTimer.expiry()) {
        return;
    }
    followed.isSlow = true;
    if (!this->isLeading()) {
        return;
    }
    Log::info("store_read_slow", {{"table", nameOf(table == Table::Config)}});
    const peer::Message message =
        table == Table::Config ? peer::Message(peer::ConfigDelayed{}) : peer::Message(peer::StoreLost{});
    this->push(store_update::PeerUpdate{message, std::nullopt});
}

void StoreWatcher::onReadFailed(Table table, const StoreError &error)
{
    FollowedTable &followed = this->stateOf(table);
    ++followed.failures;
    Log::info("store_read_failed",
              {{"table", nameOf(table == Table::Config)},
               {"in_a_row", followed.failures},
               {"took_ms", (steadyNow() - followed.readStart).count() / 1000},
               {"relayed", followed.isRelayed},
               {"reason", error.what()}});
    // A read that began before the leader took over says nothing about the table now, and no read would follow to
    // report its recovery.
    if (followed.isRelayed) {
        return;
    }
    followed.lastFailure = followed.readStart;
    if (!followed.isLost) {
        followed.isLost = true;
        this->reportAvailability(true, table, error.what());
    }
}

Duration StoreWatcher::waitForChange(const FollowedTable &table) const
{
    // If the store may be unavailable, a read must fail soon, so that the next one finds it recovered.
    if (table.isLost || table.isUnconfirmed) {
        return Duration(0);
    }
    // The leader must detect a silent connection sooner, since all other hosts depend on it.
    const Duration wait = this->options.contactLimit / 2;
    return this->isLeading() ? std::min(leaderWait, wait) : wait;
}

void StoreWatcher::followOnce(Table table, StoreClient &store, const asio::yield_context &yield)
{
    FollowedTable &followed = this->stateOf(table);
    if (followed.isRelayed) {
        this->waitFor(followed, relayedPause, yield);
        return;
    }
    const char *name = nameOf(table == Table::Config);
    const bool isWhole = !followed.version;
    const Duration wait = this->waitForChange(followed);
    this->beginRead(table, isWhole ? replyLimit : wait + replyLimit);
    const StoreRows read = isWhole ? store.list(name, yield) : store.follow(name, *followed.version, wait, yield);
    this->endRead(table);
    followed.failures = 0;
    followed.isUnconfirmed = false;
    if (followed.isLost) {
        followed.isLost = false;
        this->reportAvailability(false, table, {});
    }
    if (followed.isRelayed && read.version < followed.version.value_or(0)) {
        return; // an update from the leader is newer than this reply
    }
    const std::int64_t before = followed.version.value_or(0);
    followed.version = read.version;
    this->takeRows(table, read.rows, isWhole, before);
}

void StoreWatcher::setRelayed(Table table, bool isRelayed)
{
    FollowedTable &followed = this->stateOf(table);
    if (followed.isRelayed != isRelayed) {
        Log::info("store_relayed", {{"table", nameOf(table == Table::Config)}, {"relayed", isRelayed}});
        followed.isRelayed = isRelayed;
        followed.isUnconfirmed = !isRelayed;
        followed.pauseTimer.cancel();
        this->relayed = this->registry.isRelayed;
    }
}

void StoreWatcher::takeRows(Table table, const std::vector<StoreRow> &rows, bool isWhole, std::int64_t before)
{
    if (table == Table::Registry) {
        this->registryRead = steadyNow().time_since_epoch().count();
        this->recordRecentRows(rows, before, isWhole);
    }
    if (table == Table::Registry && isWhole) {
        this->takeList(rows);
    } else {
        for (const StoreRow &row : rows) {
            this->takeRow(table, row);
        }
    }
    if (table == Table::Registry) {
        this->forwardToFollowers(rows);
    }
    this->known = static_cast<std::uint64_t>(this->registry.version.value_or(0));
    this->updateNewFollowers();
}

void StoreWatcher::recordRecentRows(const std::vector<StoreRow> &rows, std::int64_t before, bool isWhole)
{
    if (isWhole) {
        this->recent.restart(*this->registry.version);
        return;
    }
    std::vector<peer::RegistryRow> changed;
    changed.reserve(rows.size());
    for (const StoreRow &row : rows) {
        changed.push_back({static_cast<std::uint64_t>(row.version), row.key, row.value, row.isRemoved});
    }
    this->recent.add(changed, before, *this->registry.version);
}

// An update starts where the last one ended, since the store's version moves on without changes of this table. After a
// list, or more changes than are kept, it has no rows and starts at the current version: followers that are behind it
// read the table themselves.
void StoreWatcher::forwardToFollowers(const std::vector<StoreRow> &rows)
{
    const std::int64_t version = *this->registry.version;
    if (!this->isLeading()) {
        this->forwarded = version;
        return;
    }
    const bool isGap = !this->recent.covers(this->forwarded);
    if (rows.empty() && !isGap) {
        return;
    }
    if (isGap) {
        Log::info("store_changes_not_relayed", {{"version", version}});
    }
    this->push(store_update::PeerUpdate{this->recent.after(isGap ? version : this->forwarded), std::nullopt});
    this->forwarded = version;
}

// A new follower has read the whole table itself and receives the changes since then. One that is older than the
// changes kept here, or ahead of this host, continues to read the store and sends its request again.
void StoreWatcher::updateNewFollowers()
{
    const bool isBehind = this->registry.isLost || this->config.isLost || this->registry.isSlow || this->config.isSlow;
    if (!this->isLeading() || !this->registry.version || isBehind) {
        return;
    }
    for (const auto &[link, version] : std::exchange(this->newFollowers, {})) {
        const auto has = static_cast<std::int64_t>(version);
        if (!this->recent.covers(has)) {
            continue;
        }
        this->push(store_update::PeerUpdate{this->recent.after(has), link});
        this->push(store_update::PeerUpdate{this->configSummary(), link});
    }
}

void StoreWatcher::addFollower(LinkId link, std::uint64_t version)
{
    asio::post(this->io, [this, link, version] {
        if (this->newFollowers.size() < maxNewFollowers) {
            this->newFollowers[link] = version;
        }
        this->updateNewFollowers();
    });
}

void StoreWatcher::onUpdate(const peer::RegistryUpdate &update)
{
    asio::post(this->io, [this, update] {
        const std::int64_t has = this->registry.version.value_or(-1);
        if (static_cast<std::int64_t>(update.after) > has) {
            this->setRelayed(Table::Registry, false); // changes in between are missing; LeaderLink requests them
            return;
        }
        std::vector<StoreRow> rows;
        for (const peer::RegistryRow &row : update.rows) {
            const auto version = static_cast<std::int64_t>(row.version);
            if (version > has) { // an older row would restore endpoints that have left
                rows.push_back({row.key, row.value, version, row.isRemoved});
            }
        }
        this->registry.version = std::max(has, static_cast<std::int64_t>(update.version));
        if (this->registry.isLost) {
            this->registry.isLost = false;
            if (this->registry.isReading && steadyNow() - this->registry.readStart > silenceOfARead) {
                this->registry.lastFailure = this->registry.readStart;
            }
            this->reportAvailability(false, Table::Registry, {});
        }
        this->setRelayed(Table::Registry, true);
        this->takeRows(Table::Registry, rows, false, has);
    });
}

void StoreWatcher::onUpdate(const peer::ConfigUpdate &update)
{
    asio::post(this->io, [this, update] {
        const ConfigReplica::UpdateOutcome outcome = this->replica.takeUpdate(update);
        if (outcome == ConfigReplica::UpdateOutcome::Applied) {
            this->config.version = std::max(this->config.version.value_or(0), this->replica.row().value());
            this->push(store_update::Config{this->replica.config()});
        }
        const bool isRowNeeded = outcome == ConfigReplica::UpdateOutcome::RowNeeded;
        if (isRowNeeded) {
            this->config.version.reset(); // list the table, then wait for updates again
        }
        // After the read takeConfig() sets it to true again; until then this host reads the table itself.
        this->setRelayed(Table::Config, !isRowNeeded);
        this->configAtLeader = RowVersion(static_cast<std::int64_t>(update.rowVersion));
    });
}

void StoreWatcher::onConfigDelayed()
{
    asio::post(this->io, [this] {
        this->setRelayed(Table::Config, false);
        this->configAtLeader.reset();
    });
}

void StoreWatcher::onLeaderLostStore()
{
    asio::post(this->io, [this] {
        this->setRelayed(Table::Config, false);
        this->setRelayed(Table::Registry, false);
        this->configAtLeader.reset();
    });
}

void StoreWatcher::setLeaderReachable(bool isReachable)
{
    asio::post(this->io, [this, isReachable] {
        this->leadership.onLeaderSeen(isReachable);
        this->mustReportLeader = !isReachable; // even if the same host leads again
        this->leadTimer.cancel();
    });
    if (!isReachable) {
        this->onLeaderLostStore();
    }
}

void StoreWatcher::release()
{
    asio::post(this->io, [this] {
        this->leadership.release();
        this->leadTimer.cancel();
    });
}

// Notifies the forwarding thread of a new holder, or when this host's own lease begins or ends.
void StoreWatcher::reportLeader()
{
    const auto &row = this->leadership.holder();
    store_update::Leader now{row && !row->host.isEmpty() ? row : std::nullopt, this->isLeading(),
                             this->leadership.version()};
    const bool isSameHolder = now.holder.has_value() == this->reportedLeader.holder.has_value()
        && (!now.holder || now.holder->isSameHolder(*this->reportedLeader.holder));
    if (isSameHolder && now.isSelf == this->reportedLeader.isSelf) {
        return;
    }
    Log::info(
        "leader_changed",
        {{"leader", now.holder ? now.holder->host.value() : ""}, {"self", now.isSelf}, {"lease", now.term.value()}});
    this->reportedLeader = now;
    this->push(now);
}

Duration StoreWatcher::registryAge() const
{
    return steadyNow() - Instant(Duration(this->registryRead));
}

std::optional<FencingNumber> StoreWatcher::fencingForOrder() const
{
    const bool isAllowed = bootNow().time_since_epoch().count() < this->ordersUntil;
    return isAllowed ? std::optional(FencingNumber(this->orderFencing)) : std::nullopt;
}

void StoreWatcher::leadOnce(StoreClient &store, const asio::yield_context &yield)
{
    const LeadershipAction action = this->leadership.next(bootNow());
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
    if (const auto *wait = std::get_if<leadership_action::WaitUntil>(&action)) {
        boost::system::error_code ignored;
        this->leadTimer.expires_after(std::max<Duration>(wait->until - bootNow(), 1ms));
        this->leadTimer.async_wait(yield[ignored]);
        return;
    }
    const auto row = store.read(leaseTable, leaseKey, yield);
    if (this->mustReportLeader) {
        this->mustReportLeader = false;
        this->reportedLeader = {};
    }
    const auto lease = row ? decodeLeaseRow(row->value) : tl::make_unexpected(LeaseRowError{"no row"});
    this->leadership.onRead(lease ? std::optional(*lease) : std::nullopt, RowVersion(row ? row->version : 0),
                            bootNow());
}

void StoreWatcher::lead(const asio::yield_context &yield)
{
    StoreClient store(this->io, {this->options.address, replyLimit});
    while (!this->isStopping) {
        try {
            this->leadOnce(store, yield);
        } catch (const StoreError &error) {
            Log::info("lease_unknown", {{"reason", error.what()}});
            this->leadership.onFailed(bootNow());
        }
        const auto until = this->leadership.ordersUntil(bootNow());
        // The number is stored before the deadline, so a thread that sees the new deadline also sees its number.
        this->orderFencing = this->leadership.version().value();
        this->ordersUntil = until ? until->time_since_epoch().count() : 0;
        this->reportLeader();
    }
}

void StoreWatcher::takeList(const std::vector<StoreRow> &rows)
{
    store_update::Listed listed;
    for (const StoreRow &row : rows) {
        auto record = decodeRegistryRow(row.key, row.value);
        if (!record) {
            Log::warning("registry_row_skipped", {{"key", row.key}, {"reason", record.error().text}});
            continue;
        }
        listed.records.push_back(std::move(*record));
    }
    this->push(std::move(listed));
}

void StoreWatcher::takeRow(Table table, const StoreRow &row)
{
    if (table == Table::Config) {
        if (row.key == configKey && !row.isRemoved) {
            this->takeConfig(row);
        }
        return;
    }
    if (row.isRemoved) {
        this->push(store_update::Removed{EndpointId(row.key)});
        return;
    }
    auto record = decodeRegistryRow(row.key, row.value);
    if (!record) {
        // Whoever wrote the row, this id no longer names a usable endpoint.
        Log::warning("registry_row_skipped", {{"key", row.key}, {"reason", record.error().text}});
        this->push(store_update::Removed{EndpointId(row.key)});
        return;
    }
    this->push(store_update::Changed{std::move(*record)});
}

std::shared_ptr<const RoutingConfig> StoreWatcher::decodeConfig(const StoreRow &row)
{
    const Instant read = steadyNow();
    auto decoded = decodeConfigRow(row.value);
    Log::info("config_read",
              {{"row", row.version},
               {"bytes", static_cast<std::int64_t>(row.value.size())},
               {"took_ms", (read - this->config.readStart).count() / 1000},
               {"decode_ms", (steadyNow() - read).count() / 1000}});
    if (!decoded) {
        Log::error("config_unreadable", {{"row", row.version}, {"reason", decoded.error().text}});
        return nullptr;
    }
    return std::make_shared<const RoutingConfig>(std::move(*decoded));
}

peer::ConfigUpdate StoreWatcher::configSummary() const
{
    return {static_cast<std::uint64_t>(this->replica.row().value()), 0, {}};
}

void StoreWatcher::takeConfig(const StoreRow &row)
{
    std::optional<ConfigStep> step;
    if (const RowVersion version(row.version); version > this->replica.row()) {
        step = this->replica.takeRow(version, this->decodeConfig(row));
    }
    if (step) {
        this->push(store_update::Config{step->config});
    }
    if (this->isLeading()) {
        this->push(store_update::PeerUpdate{step ? updateOf(*step) : this->configSummary(), std::nullopt});
    }
    if (this->configAtLeader && this->replica.row() >= *this->configAtLeader) {
        this->setRelayed(Table::Config, true); // the leader will announce the next version
    }
}

} // namespace fescuesill
