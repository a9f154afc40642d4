// Each table is read whole once and then followed from that version. A gap in the store's history, or a failed list, leads
// back to the whole list; any other fault is tried again from the same version, so no change is missed.
//
// The wait of one call is half of the contact time. A connection that went silent without a reset shows only as a reply
// that is late; waiting longer would leave this host unaware of a leaving endpoint for longer than its callers can bear.

#include "programs/gateway/storeduty.h"

#include "platform/configrow.h"
#include "platform/registryrow.h"
#include "platform/storeclient.h"
#include "wire/clock.h"
#include "wire/coroutine.h"
#include "wire/log.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace fescuesill
{
namespace
{

constexpr Duration replyLimit{600ms}; // beyond the wait; a slow store answers in some hundred milliseconds
constexpr Duration pauseAfterFault{250ms}; // a store that refuses is asked four times a second by each table
constexpr Duration pauseWhenFull{5ms}; // the forwarding thread drains its ring in well under that

constexpr const char *leaseTable = "leases";
constexpr const char *leaseKey = "placing";

Leadership::Options leadershipOptions(Duration lease)
{
    Leadership::Options options;
    options.lease = lease;
    options.renew = lease / 3;
    options.look = lease / 6;
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
void StoreDuty::push(StoreUpdate update)
{
    while (!this->isStopping && !this->updates.tryPush(std::move(update))) {
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
    if (table == Table::Registry) {
        this->push(isLost ? StoreUpdate(store_update::Lost{}) : StoreUpdate(store_update::Back{}));
    }
}

void StoreDuty::follow(Table table, const asio::yield_context &yield)
{
    StoreClient store(this->io, {this->options.address, replyLimit});
    asio::steady_timer pause(this->io);
    std::optional<std::int64_t> version;
    bool isLost = false;
    while (!this->isStopping) {
        try {
            this->followOnce(table, store, version, isLost, yield);
            continue;
        } catch (const StoreError &error) {
            if (error.isHistoryGone()) {
                Log::info("store_history_gone", {{"table", nameOf(table == Table::Config)}});
                version.reset();
                continue;
            }
            if (!isLost) {
                isLost = true;
                this->tell(true, table, error.what());
            }
        }
        boost::system::error_code ignored;
        pause.expires_after(pauseAfterFault);
        pause.async_wait(yield[ignored]);
    }
}

void StoreDuty::followOnce(Table table, StoreClient &store, std::optional<std::int64_t> &version, bool &isLost,
                           const asio::yield_context &yield)
{
    const bool isConfig = table == Table::Config;
    const char *name = nameOf(isConfig);
    const bool isList = !version;
    const StoreRows read =
        isList ? store.list(name, yield) : store.follow(name, *version, this->options.contact / 2, yield);
    if (isLost) {
        isLost = false;
        this->tell(false, table, {});
    }
    version = read.version;
    if (isList && !isConfig) {
        this->takeList(read.rows);
        return;
    }
    for (const StoreRow &row : read.rows) {
        this->takeRow(table, row);
    }
}

void StoreDuty::setLeaderSeen(bool isSeen)
{
    asio::post(this->io, [this, isSeen] {
        this->leadership.onLeaderSeen(isSeen, bootNow());
        this->leadTimer.cancel();
    });
}

// The forwarding thread is told where this changes for it: another holder, or this host's lease begun or over.
void StoreDuty::tellLeader()
{
    store_update::Leader now{this->leadership.holder(), this->leadership.isLeading(bootNow()),
                             this->leadership.version()};
    const bool isSameHolder = now.holder.has_value() == this->told.holder.has_value()
        && (!now.holder || now.holder->isSameHolder(*this->told.holder));
    if (isSameHolder && now.isSelf == this->told.isSelf) {
        return;
    }
    Log::info("leader_changed", {{"leader", now.holder ? now.holder->host.value() : ""}, {"self", now.isSelf},
                                 {"lease", now.term.value()}});
    this->told = now;
    this->push(now);
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
            this->takeConfig(row.value);
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

void StoreDuty::takeConfig(const std::string &text)
{
    auto config = decodeConfigRow(text);
    if (!config) {
        Log::error("config_unreadable", {{"reason", config.error().text}});
        return;
    }
    this->push(store_update::Config{std::make_shared<const RoutingConfig>(std::move(*config))});
}

} // namespace fescuesill
