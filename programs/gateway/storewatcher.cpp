// The leader watches the tables and forwards their changes to all other hosts, so the calls of the store do not grow
// with the fleet. Updates contain the changed rows of the registry and small changes of the configuration; after a
// large change of the configuration each host reads the row.
//
// A leader that cannot read the store asks a few followers to read it instead (promise/readerchoice.h). Their updates
// go to the leader, which forwards them like its own. Only if none of them can read the store either, the followers are
// notified of an outage. They do not try themselves as long as they are linked to the leader, which notifies them of
// the recovery. Where the leader is lost, its deputy takes its place; a host without either reads the store itself.
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

#include <algorithm>
#include <utility>

namespace fescuesill
{
namespace
{

constexpr Duration replyLimit{600ms}; // after the wait; a slow store replies within a few hundred milliseconds
// A reply that has not begun within its limit has failed by then; one that still arrives is slow.
constexpr Duration slowMargin{100ms};
// After a failed read: of a host that others follow, of the first read of any other host, and at most.
constexpr Duration pauseAfterFault{250ms};
constexpr Duration longestPause{500ms};
// Of the configuration while the registry cannot be read. Its next read begins at once when the registry is read again.
constexpr Duration configPauseInOutage{2s};
constexpr Duration leaderWait{500ms}; // a quarter of the time in which a change must take effect everywhere
constexpr Duration relayedPause{10s}; // cancelled when the leader stops forwarding
// How long a host that has started waits for the first update of the leader.
constexpr Duration firstUpdateWait{1500ms};
// In terms of the limit for keys: from when on a host without news of the configuration reads it, and in which time all
// hosts do.
constexpr double configCheckAfter = 0.55;
constexpr double configCheckSpread = 0.3;
constexpr Duration pauseWhenFull{5ms}; // the forwarding thread drains its ring in much less

} // namespace

const char *StoreWatcher::nameOf(Table table)
{
    return table == Table::Config ? configTable : registryTable;
}

StoreWatcher::StoreWatcher(Options given, Ring<StoreUpdate> &ring)
    : options(std::move(given))
    , updates(ring)
    , random(std::random_device()())
    , config(this->io)
    , registry(this->io)
    , lease(this->io, {this->options.address, this->options.self, this->options.lease, this->options.isFirstStart},
            [this](const store_update::Leader &leader) { this->onLeader(leader); })
{
    this->configCheckPart =
        configCheckAfter + configCheckSpread * std::uniform_real_distribution<double>(0, 1)(this->random);
    this->lease.start();
    for (const Table table : {Table::Config, Table::Registry}) {
        if (!this->options.self.address.empty()) {
            this->stateOf(table).holdUntil = steadyNow() + firstUpdateWait;
        }
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

bool StoreWatcher::waitFor(FollowedTable &table, Duration time, const asio::yield_context &yield)
{
    boost::system::error_code error;
    table.pauseTimer.expires_after(time);
    table.pauseTimer.async_wait(yield[error]);
    return !error;
}

void StoreWatcher::follow(Table table, const asio::yield_context &yield)
{
    StoreClient store(this->io, {this->options.address, replyLimit});
    FollowedTable &followed = this->stateOf(table);
    while (!this->isStopping) {
        if (this->waitBeforeRead(table, yield)) {
            continue;
        }
        followed.readStart = steadyNow();
        followed.bootReadStart = bootNow();
        try {
            this->followOnce(table, store, yield);
            continue;
        } catch (const StoreError &error) {
            this->endRead(table);
            if (error.isHistoryGone()) {
                Log::info("store_history_gone", {{"table", nameOf(table)}});
                followed.version.reset();
                continue;
            }
            this->onReadFailed(table, error);
        }
        this->waitFor(followed, this->pauseAfterFailure(table), yield);
    }
}

// Returns whether it has waited because another host reads the table for this one, or may do so soon.
bool StoreWatcher::waitBeforeRead(Table table, const asio::yield_context &yield)
{
    FollowedTable &followed = this->stateOf(table);
    if (this->isReader) {
        return false;
    }
    if (followed.isRelayed) {
        return this->waitWhileRelayed(table, yield);
    }
    const Instant now = steadyNow();
    const bool canWait = followed.version || (table == Table::Config && this->options.isFirstStart);
    if (canWait && now < followed.holdUntil) {
        this->waitFor(followed, followed.holdUntil - now, yield);
        return true;
    }
    return false;
}

// In a long outage this host reads the registry once in a while, since the one that announced the outage may be wrong.
bool StoreWatcher::waitWhileRelayed(Table table, const asio::yield_context &yield)
{
    const bool wasOutage = this->isOutage && table == Table::Registry;
    Duration time = wasOutage ? this->varied(this->options.outageDoubt) : relayedPause;
    const auto checkDue = table == Table::Config ? this->configCheckDue() : std::nullopt;
    if (checkDue) {
        time = std::clamp<Duration>(*checkDue - bootNow(), 0ms, time);
    }
    const bool isOver = this->waitFor(this->stateOf(table), time, yield);
    if (isOver && checkDue && this->config.isRelayed && this->configCheckDue() <= bootNow()) {
        this->configChecked = bootNow();
        Log::info("config_checked", {{"age_ms", (bootNow() - this->configCurrentAt).count() / 1000}});
        return false;
    }
    return !(isOver && wasOutage && this->isOutage && this->registry.isRelayed);
}

std::optional<Instant> StoreWatcher::configCheckDue() const
{
    const auto &held = this->replica.config();
    if (this->options.keyLimit == 0ms || !held || !held->workspaces) {
        return std::nullopt;
    }
    const auto wait = std::chrono::duration_cast<Duration>(this->options.keyLimit * this->configCheckPart);
    return std::max(this->configCurrentAt + wait, this->configChecked + this->options.keyLimit);
}

// Hosts without a leader try at different times, since all of them lose and find the store at the same moment.
Duration StoreWatcher::pauseAfterFailure(Table table)
{
    if (table == Table::Config && this->registry.isLost) {
        return configPauseInOutage;
    }
    if (this->isFollowed()) {
        return pauseAfterFault;
    }
    return this->varied(this->stateOf(table).failures > 1 ? longestPause : pauseAfterFault);
}

Duration StoreWatcher::varied(Duration time)
{
    std::uniform_real_distribution<double> part(0.75, 1.25);
    return std::chrono::duration_cast<Duration>(time * part(this->random));
}

// A long reply may take seconds on the leader's link. Other hosts read in the meantime.
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
    if (!this->isFollowed()) {
        return;
    }
    Log::info("store_read_slow", {{"table", nameOf(table)}});
    if (table == Table::Config) {
        this->isConfigDelayed = true;
        this->sendToFollowers(peer::ConfigDelayed{});
    } else {
        this->reportOwnReads();
    }
}

void StoreWatcher::onReadFailed(Table table, const StoreError &error)
{
    FollowedTable &followed = this->stateOf(table);
    ++followed.failures;
    Log::info("store_read_failed",
              {{"table", nameOf(table)},
               {"in_a_row", followed.failures},
               {"took_ms", (steadyNow() - followed.readStart).count() / 1000},
               {"relayed", followed.isRelayed},
               {"reason", error.what()}});
    if (this->isReader) {
        if (table == Table::Registry) {
            this->push(store_update::LeaderUpdate{peer::StoreLost{}});
        }
        return;
    }
    // A read that began before the leader took over says nothing about the table now, and no read would follow to
    // report its recovery.
    if (followed.isRelayed) {
        return;
    }
    followed.lastFailure = followed.readStart;
    if (!followed.isLost) {
        followed.isLost = true;
        Log::warning("store_lost", {{"table", nameOf(table)}, {"reason", error.what()}});
    }
    if (table == Table::Registry) {
        this->lease.setStoreLost(true);
        this->reportOwnReads();
        if (!this->isFollowed()) {
            this->setOutage(true);
        }
    }
}

void StoreWatcher::onReadSucceeded(Table table)
{
    FollowedTable &followed = this->stateOf(table);
    followed.failures = 0;
    followed.isUnconfirmed = false;
    if (followed.isLost) {
        followed.isLost = false;
        Log::info("store_back", {{"table", nameOf(table)}});
    }
    if (table == Table::Registry) {
        if (this->isOutage && !this->isReader) {
            this->onRelayWrong();
        }
        this->onRegistryReadable();
    }
}

// The host that this one follows has announced an outage, and this host can read the store. It does so until updates
// come again.
void StoreWatcher::onRelayWrong()
{
    for (const Table each : {Table::Config, Table::Registry}) {
        this->setRelayed(each, false);
    }
}

// By this host or by the one that it follows.
void StoreWatcher::onRegistryReadable()
{
    this->setOutage(false);
    this->lease.setStoreLost(false);
    this->reportOwnReads();
    if (this->config.isLost && !this->config.isReading) {
        this->config.pauseTimer.cancel();
    }
}

Duration StoreWatcher::waitForChange(const FollowedTable &table) const
{
    // If the store may be unavailable, a read must fail soon, so that the next one finds it recovered.
    if (table.isLost || table.isUnconfirmed || (table.isRelayed && !this->isReader)) {
        return Duration(0);
    }
    // A host that others rely on must detect a silent connection sooner.
    const Duration wait = this->options.contactLimit / 2;
    return this->isFollowed() || this->isReader ? std::min(leaderWait, wait) : wait;
}

void StoreWatcher::followOnce(Table table, StoreClient &store, const asio::yield_context &yield)
{
    FollowedTable &followed = this->stateOf(table);
    const char *name = nameOf(table);
    const bool isWhole = !followed.version;
    const Duration wait = this->waitForChange(followed);
    this->beginRead(table, (isWhole ? Duration(0) : wait) + replyLimit + slowMargin);
    StoreRows read = isWhole ? store.list(name, yield) : store.follow(name, *followed.version, wait, yield);
    this->endRead(table);
    this->onReadSucceeded(table);
    this->takeRead(table, std::move(read), isWhole);
}

void StoreWatcher::takeRead(Table table, StoreRows read, bool isWhole)
{
    FollowedTable &followed = this->stateOf(table);
    // Other updates may have arrived meanwhile, and their rows may be newer than those of this reply.
    const std::int64_t before = followed.version.value_or(0);
    if (read.version < before) {
        return;
    }
    read.rows.erase(std::remove_if(read.rows.begin(), read.rows.end(),
                                   [before](const StoreRow &row) { return row.version <= before; }),
                    read.rows.end());
    followed.version = read.version;
    this->takeRows(table, read.rows, isWhole, before);
}

std::optional<Instant> StoreWatcher::checkOnce(StoreClient &store, const asio::yield_context &yield)
{
    const Instant begin = bootNow();
    if (!this->registry.version) {
        return std::nullopt; // the list is still to come, or to come again
    }
    try {
        StoreRows read = store.follow(registryTable, *this->registry.version, Duration(0), yield);
        if (!this->registry.version) {
            return std::nullopt;
        }
        this->takeRead(Table::Registry, std::move(read), false);
        return begin;
    } catch (const StoreError &error) {
        Log::info("registry_check_failed", {{"reason", error.what()}});
        return std::nullopt;
    }
}

void StoreWatcher::checkRegistry()
{
    asio::post(this->io, [this] {
        this->isCheckWanted = true;
        if (std::exchange(this->isChecking, true)) {
            return;
        }
        startCoroutine(this->io, [this](const asio::yield_context &yield) {
            StoreClient store(this->io, {this->options.address, replyLimit});
            while (std::exchange(this->isCheckWanted, false) && !this->isStopping) {
                this->push(store_update::RegistryChecked{this->checkOnce(store, yield)});
            }
            this->isChecking = false;
        });
    });
}

void StoreWatcher::takeRows(Table table, const std::vector<StoreRow> &rows, bool isWhole, std::int64_t before)
{
    if (table == Table::Config) {
        for (const StoreRow &row : rows) {
            this->takeRow(table, row);
        }
        if (std::exchange(this->isConfigDelayed, false)) {
            this->sendToFollowers(this->configSummary()); // they wait for updates again
        }
        this->setConfigCurrent(this->config.bootReadStart);
        this->updateNewFollowers();
        return;
    }
    this->registryRead = steadyNow().time_since_epoch().count();
    const std::int64_t version = *this->registry.version;
    if (isWhole) {
        this->relay.onListed(rows, version);
        this->takeList(rows);
    } else {
        this->relay.onChanged(rows, before, version);
        for (const StoreRow &row : rows) {
            this->takeRow(table, row);
        }
    }
    this->known = static_cast<std::uint64_t>(version);
    this->forwardToFollowers();
    this->updateNewFollowers();
    if (this->isReader) {
        this->sendToLeader();
    }
}

Duration StoreWatcher::registryAge() const
{
    return steadyNow() - Instant(Duration(this->registryRead));
}

void StoreWatcher::takeList(const std::vector<StoreRow> &rows)
{
    store_update::Listed listed;
    std::vector<EndpointId> unreadable;
    for (const StoreRow &row : rows) {
        auto record = decodeRegistryRow(row.key, row.value);
        if (!record) {
            Log::warning("registry_row_skipped", {{"key", row.key}, {"reason", record.error().text}});
            unreadable.emplace_back(row.key);
            continue;
        }
        listed.records.push_back(std::move(*record));
    }
    this->push(std::move(listed));
    for (EndpointId &id : unreadable) {
        this->push(store_update::Unreadable{std::move(id)});
    }
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
        this->push(store_update::Unreadable{EndpointId(row.key)});
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

void StoreWatcher::takeConfig(const StoreRow &row)
{
    std::optional<ConfigStep> step;
    if (const RowVersion version(row.version); version > this->replica.row()) {
        step = this->replica.takeRow(version, this->decodeConfig(row));
    }
    const peer::ConfigUpdate update = step ? updateOf(*step) : this->configSummary();
    if (step) {
        this->keepConfigUpdate(update);
        this->push(store_update::Config{step->config});
    }
    this->sendToFollowers(update);
    if (this->isReader && step) {
        this->push(store_update::LeaderUpdate{update});
    }
    if (this->configAtLeader && this->replica.row() >= *this->configAtLeader) {
        this->setRelayed(Table::Config, true); // the leader will announce the next version
    }
}

} // namespace fescuesill
