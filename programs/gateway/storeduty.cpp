// The leader follows the tables and hands their changes on to all other hosts, which read the store themselves only
// while they have no leader that can: a fleet of 75 hosts that all followed both tables made 150 calls a second, and
// one leader makes four. Rows of the registry go with the news, and so does a small change of the configuration; after
// a large one each host reads the row.
//
// Each table is read whole once and then followed from that version. A gap in the store's history, or a failed list,
// leads back to the whole list; any other fault is tried again from the same version, so no change is missed.
//
// The wait of one call is half of the contact time. A connection that went silent without a reset shows only as a reply
// that is late; waiting longer would leave this host unaware of a leaving endpoint for longer than its callers can
// bear.

#include "programs/gateway/storeduty.h"

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

constexpr Duration replyLimit{600ms}; // beyond the wait; a slow store answers in some hundred milliseconds
constexpr Duration pauseAfterFault{250ms}; // a store that refuses is asked four times a second by each table
constexpr Duration leaderWait{500ms}; // a quarter of the time within which a change must be in force everywhere
constexpr Duration relayedPause{10s}; // ended by whatever ends the relay
constexpr std::size_t mostNewFollowers = 4096; // hosts of a fleet that link to a new leader at the same moment
constexpr Duration pauseWhenFull{5ms}; // the forwarding thread drains its ring in well under that

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

StoreDuty::StoreDuty(Options given, Ring<StoreUpdate> &ring)
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

StoreDuty::~StoreDuty()
{
    this->stop();
}

void StoreDuty::stop()
{
    this->isStopping = true;
    this->io.stop();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

// A ring that is full is a moment's matter: the other side drains it without waiting for anything.
void StoreDuty::push(const StoreUpdate &update)
{
    while (!this->isStopping) {
        StoreUpdate offered = update;
        if (this->updates.tryPush(std::move(offered))) {
            return;
        }
        std::this_thread::sleep_for(pauseWhenFull);
    }
}

void StoreDuty::tell(bool isLost, Table table, const std::string &reason)
{
    const char *name = nameOf(table == Table::Config);
    if (isLost) {
        Log::warning("store_lost", {{"table", name}, {"reason", reason}});
    } else {
        Log::info("store_back", {{"table", name}});
    }
    if (isLost && this->isLeading()) {
        this->push(store_update::News{peer::StoreLost{}, std::nullopt});
    }
    if (table == Table::Registry) {
        this->push(isLost ? StoreUpdate(store_update::Lost{}) : StoreUpdate(store_update::Back{}));
    }
}

bool StoreDuty::isLeading() const
{
    return this->leadership.isLastHolder();
}

void StoreDuty::waitFor(Followed &table, Duration time, const asio::yield_context &yield)
{
    boost::system::error_code ignored;
    table.pause.expires_after(time);
    table.pause.async_wait(yield[ignored]);
}

void StoreDuty::follow(Table table, const asio::yield_context &yield)
{
    StoreClient store(this->io, {this->options.address, replyLimit});
    Followed &followed = this->of(table);
    while (!this->isStopping) {
        followed.asked = steadyNow();
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

// A long reply may take seconds on the leader's link, in which all others would wait for it.
void StoreDuty::beginRead(Table table, Duration expected)
{
    Followed &followed = this->of(table);
    followed.isReading = true;
    followed.slow.expires_after(expected);
    followed.slow.async_wait([this, table](const boost::system::error_code &error) {
        if (!error) {
            this->onSlowRead(table);
        }
    });
}

void StoreDuty::endRead(Table table)
{
    Followed &followed = this->of(table);
    followed.isReading = false;
    followed.isSlow = false;
    followed.slow.cancel();
}

void StoreDuty::onSlowRead(Table table)
{
    Followed &followed = this->of(table);
    // The read may have ended, and the next one begun, between the timer's expiry and this call.
    if (!followed.isReading || asio::steady_timer::clock_type::now() < followed.slow.expiry()) {
        return;
    }
    followed.isSlow = true;
    if (!this->isLeading()) {
        return;
    }
    Log::info("store_read_slow", {{"table", nameOf(table == Table::Config)}});
    const peer::Message message =
        table == Table::Config ? peer::Message(peer::ConfigDelayed{}) : peer::Message(peer::StoreLost{});
    this->push(store_update::News{message, std::nullopt});
}

void StoreDuty::onReadFailed(Table table, const StoreError &error)
{
    Followed &followed = this->of(table);
    ++followed.failures;
    Log::info("store_read_failed",
              {{"table", nameOf(table == Table::Config)},
               {"in_a_row", followed.failures},
               {"took_ms", (steadyNow() - followed.asked).count() / 1000},
               {"reason", error.what()}});
    if (!followed.isLost) {
        followed.isLost = true;
        this->tell(true, table, error.what());
    }
}

void StoreDuty::followOnce(Table table, StoreClient &store, const asio::yield_context &yield)
{
    Followed &followed = this->of(table);
    if (followed.isRelayed) {
        this->waitFor(followed, relayedPause, yield);
        return;
    }
    const char *name = nameOf(table == Table::Config);
    const bool isWhole = !followed.version;
    // The leader learns of a silent connection sooner, since all others wait for it.
    const Duration wait =
        this->isLeading() ? std::min(leaderWait, this->options.contact / 2) : this->options.contact / 2;
    this->beginRead(table, isWhole ? replyLimit : wait + replyLimit);
    const StoreRows read = isWhole ? store.list(name, yield) : store.follow(name, *followed.version, wait, yield);
    this->endRead(table);
    followed.failures = 0;
    if (followed.isLost) {
        followed.isLost = false;
        this->tell(false, table, {});
    }
    if (followed.isRelayed && read.version < followed.version.value_or(0)) {
        return; // the leader's news overtook this reply
    }
    const std::int64_t before = followed.version.value_or(0);
    followed.version = read.version;
    this->takeRows(table, read.rows, isWhole, before);
}

void StoreDuty::setRelayed(Table table, bool isRelayed)
{
    Followed &followed = this->of(table);
    if (followed.isRelayed != isRelayed) {
        Log::info("store_relayed", {{"table", nameOf(table == Table::Config)}, {"relayed", isRelayed}});
        followed.isRelayed = isRelayed;
        followed.pause.cancel();
        this->relayed = this->registry.isRelayed;
    }
}

void StoreDuty::takeRows(Table table, const std::vector<StoreRow> &rows, bool isWhole, std::int64_t before)
{
    if (table == Table::Registry) {
        this->registryRead = steadyNow().time_since_epoch().count();
        this->remember(rows, before, isWhole);
    }
    if (table == Table::Registry && isWhole) {
        this->takeList(rows);
    } else {
        for (const StoreRow &row : rows) {
            this->takeRow(table, row);
        }
    }
    if (table == Table::Registry) {
        this->handOn(rows, before);
    }
    this->known = static_cast<std::uint64_t>(this->registry.version.value_or(0));
    this->welcomeFollowers();
}

void StoreDuty::remember(const std::vector<StoreRow> &rows, std::int64_t before, bool isWhole)
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

void StoreDuty::handOn(const std::vector<StoreRow> &rows, std::int64_t before)
{
    if (this->isLeading() && !rows.empty() && this->recent.reaches(before)) {
        this->push(store_update::News{this->recent.after(before), std::nullopt});
    }
}

// A follower has read the whole table itself and is handed what came since. One that is behind what is kept here, or
// ahead of this host, goes on reading the store and asks again.
void StoreDuty::welcomeFollowers()
{
    const bool isBehind = this->registry.isLost || this->config.isLost || this->registry.isSlow || this->config.isSlow;
    if (!this->isLeading() || !this->registry.version || isBehind) {
        return;
    }
    for (const auto &[link, version] : std::exchange(this->newFollowers, {})) {
        const auto has = static_cast<std::int64_t>(version);
        if (!this->recent.reaches(has)) {
            continue;
        }
        this->push(store_update::News{this->recent.after(has), link});
        this->push(store_update::News{this->configSummary(), link});
    }
}

void StoreDuty::addFollower(LinkId link, std::uint64_t version)
{
    asio::post(this->io, [this, link, version] {
        if (this->newFollowers.size() < mostNewFollowers) {
            this->newFollowers[link] = version;
        }
        this->welcomeFollowers();
    });
}

void StoreDuty::onNews(const peer::RegistryNews &news)
{
    asio::post(this->io, [this, news] {
        const std::int64_t has = this->registry.version.value_or(-1);
        if (static_cast<std::int64_t>(news.after) > has) {
            this->setRelayed(Table::Registry, false); // something between is missing; LeaderLink asks for it
            return;
        }
        std::vector<StoreRow> rows;
        for (const peer::RegistryRow &row : news.rows) {
            const auto version = static_cast<std::int64_t>(row.version);
            if (version > has) { // an older one would bring endpoints back that have left
                rows.push_back({row.key, row.value, version, row.isRemoved});
            }
        }
        this->registry.version = std::max(has, static_cast<std::int64_t>(news.version));
        if (this->registry.isLost) {
            this->registry.isLost = false;
            this->tell(false, Table::Registry, {});
        }
        this->setRelayed(Table::Registry, true);
        this->takeRows(Table::Registry, rows, false, has);
    });
}

void StoreDuty::onNews(const peer::ConfigNews &news)
{
    asio::post(this->io, [this, news] {
        const ConfigReplica::NewsOutcome outcome = this->replica.takeNews(news);
        if (outcome == ConfigReplica::NewsOutcome::Applied) {
            this->config.version = std::max(this->config.version.value_or(0), this->replica.row().value());
            this->push(store_update::Config{this->replica.config()});
        }
        const bool isRowNeeded = outcome == ConfigReplica::NewsOutcome::RowNeeded;
        if (isRowNeeded) {
            this->config.version.reset(); // read it whole, then rest again
        }
        // takeConfig() sets this again after the read; until then the table is followed from here.
        this->setRelayed(Table::Config, !isRowNeeded);
        this->configAtLeader = RowVersion(static_cast<std::int64_t>(news.rowVersion));
    });
}

void StoreDuty::onConfigDelayed()
{
    asio::post(this->io, [this] {
        this->setRelayed(Table::Config, false);
        this->configAtLeader.reset();
    });
}

void StoreDuty::onLeaderLostStore()
{
    asio::post(this->io, [this] {
        this->setRelayed(Table::Config, false);
        this->setRelayed(Table::Registry, false);
        this->configAtLeader.reset();
    });
}

void StoreDuty::setLeaderSeen(bool isSeen)
{
    asio::post(this->io, [this, isSeen] {
        this->leadership.onLeaderSeen(isSeen);
        this->mustTell = !isSeen; // also where the same host leads again
        this->leadTimer.cancel();
    });
    if (!isSeen) {
        this->onLeaderLostStore();
    }
}

void StoreDuty::release()
{
    asio::post(this->io, [this] {
        this->leadership.release();
        this->leadTimer.cancel();
    });
}

// The forwarding thread is told where this changes for it: another holder, or this host's lease begun or over.
void StoreDuty::tellLeader()
{
    const auto &row = this->leadership.holder();
    store_update::Leader now{row && !row->host.isEmpty() ? row : std::nullopt, this->isLeading(),
                             this->leadership.version()};
    const bool isSameHolder = now.holder.has_value() == this->told.holder.has_value()
        && (!now.holder || now.holder->isSameHolder(*this->told.holder));
    if (isSameHolder && now.isSelf == this->told.isSelf) {
        return;
    }
    Log::info(
        "leader_changed",
        {{"leader", now.holder ? now.holder->host.value() : ""}, {"self", now.isSelf}, {"lease", now.term.value()}});
    this->told = now;
    this->push(now);
}

Duration StoreDuty::registryAge() const
{
    return steadyNow() - Instant(Duration(this->registryRead));
}

std::optional<FencingNumber> StoreDuty::mayOrder() const
{
    const bool isAllowed = bootNow().time_since_epoch().count() < this->ordersUntil;
    return isAllowed ? std::optional(FencingNumber(this->orderFencing)) : std::nullopt;
}

void StoreDuty::leadOnce(StoreClient &store, const asio::yield_context &yield)
{
    const LeadershipAction action = this->leadership.next(bootNow());
    if (const auto *write = std::get_if<leadership_action::WriteLease>(&action)) {
        const Instant sent = bootNow();
        const auto version = store.write(leaseTable, leaseKey, encode(write->row), write->expected.value(), yield);
        if (version) {
            this->leadership.onWritten(RowVersion(*version), sent);
        } else {
            this->leadership.onFailed(bootNow() - this->options.lease); // read at once who was first
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
    if (this->mustTell) {
        this->mustTell = false;
        this->told = {};
    }
    const auto lease = row ? decodeLeaseRow(row->value) : tl::make_unexpected(LeaseRowError{"no row"});
    this->leadership.onRead(lease ? std::optional(*lease) : std::nullopt, RowVersion(row ? row->version : 0),
                            bootNow());
}

void StoreDuty::lead(const asio::yield_context &yield)
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
        // The number before the permission: whoever sees the permission sees its number.
        this->orderFencing = this->leadership.version().value();
        this->ordersUntil = until ? until->time_since_epoch().count() : 0;
        this->tellLeader();
    }
}

void StoreDuty::takeList(const std::vector<StoreRow> &rows)
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

void StoreDuty::takeRow(Table table, const StoreRow &row)
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
        // Whoever wrote it, there is no endpoint to use under this id any more.
        Log::warning("registry_row_skipped", {{"key", row.key}, {"reason", record.error().text}});
        this->push(store_update::Removed{EndpointId(row.key)});
        return;
    }
    this->push(store_update::Changed{std::move(*record)});
}

std::shared_ptr<const RoutingConfig> StoreDuty::decodeConfig(const StoreRow &row)
{
    const Instant read = steadyNow();
    auto decoded = decodeConfigRow(row.value);
    Log::info("config_read",
              {{"row", row.version},
               {"bytes", static_cast<std::int64_t>(row.value.size())},
               {"took_ms", (read - this->config.asked).count() / 1000},
               {"decode_ms", (steadyNow() - read).count() / 1000}});
    if (!decoded) {
        Log::error("config_unreadable", {{"row", row.version}, {"reason", decoded.error().text}});
        return nullptr;
    }
    return std::make_shared<const RoutingConfig>(std::move(*decoded));
}

peer::ConfigNews StoreDuty::configSummary() const
{
    return {static_cast<std::uint64_t>(this->replica.row().value()), 0, {}};
}

void StoreDuty::takeConfig(const StoreRow &row)
{
    std::optional<ConfigStep> step;
    if (const RowVersion version(row.version); version > this->replica.row()) {
        step = this->replica.takeRow(version, this->decodeConfig(row));
    }
    if (step) {
        this->push(store_update::Config{step->config});
    }
    if (this->isLeading()) {
        this->push(store_update::News{step ? newsOf(*step) : this->configSummary(), std::nullopt});
    }
    if (this->configAtLeader && this->replica.row() >= *this->configAtLeader) {
        this->setRelayed(Table::Config, true); // the leader will notify of the next version
    }
}

} // namespace fescuesill
