// What this host exchanges with others about the store: updates from the host that it follows, or that reads for it,
// and updates to the hosts that follow it. The functions that are called by the forwarding thread post to the watcher's
// thread, in order.
//
// Rows are applied only if they are newer than the version of this host, whichever way they come, so an older update
// cannot restore an endpoint that has left. The version moves only by an update that begins at or before it, so no
// change is missed.

#include "programs/gateway/storewatcher.h"
#include "wire/clock.h"
#include "wire/log.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace fescuesill
{
namespace
{

constexpr Duration readerAgeLimit{1500ms}; // of the last update of a host that reads for this one
// A leader that has missed more changes of the configuration reads the row when it can.
constexpr std::size_t maxRecentConfigs = 4;
constexpr Duration configCurrentInterval{900ms}; // between two messages that the configuration is current
// How long a host that has lost the leader waits for the first update of the deputy.
constexpr Duration deputyUpdateWait{500ms};
// A read that has waited for longer, without a wait of its own, was sent while the store was unavailable.
constexpr Duration silenceOfARead{200ms};

} // namespace

void StoreWatcher::sendToFollowers(const peer::Message &message)
{
    if (this->isFollowed()) {
        this->push(store_update::PeerUpdate{message, std::nullopt});
    }
}

bool StoreWatcher::isFollowed() const
{
    return this->lease.isLastHolder() || this->isActing;
}

void StoreWatcher::onLeader(const store_update::Leader &leader)
{
    this->push(leader);
    if (leader.isSelf) {
        this->onFollowed();
    } else if (!this->isFollowed()) {
        this->relay.removeFollowers();
    }
}

// Reads at once, since other hosts rely on it from now on.
void StoreWatcher::onFollowed()
{
    for (const Table table : {Table::Config, Table::Registry}) {
        FollowedTable &followed = this->stateOf(table);
        followed.holdUntil = Instant();
        this->setRelayed(table, false);
        followed.pauseTimer.cancel();
    }
    this->setReader(false);
    this->areReadsReported = true;
    this->reportOwnReads();
}

void StoreWatcher::reportOwnReads()
{
    const bool isWorking = !this->registry.isLost && !this->registry.isSlow;
    if (this->isFollowed() && isWorking != this->areReadsReported) {
        this->areReadsReported = isWorking;
        this->push(store_update::OwnReads{isWorking});
    }
}

// Endpoints that are missing from the registry after an outage are kept until they can have written their rows again.
void StoreWatcher::setOutage(bool isNow)
{
    if (this->isOutage == isNow) {
        return;
    }
    this->isOutage = isNow;
    this->registry.pauseTimer.cancel(); // how long it waits depends on it
    Log::info("store_outage", {{"begins", isNow}});
    this->push(isNow ? StoreUpdate(store_update::Lost{})
                     : StoreUpdate(store_update::Restored{this->registry.lastFailure}));
    if (isNow) {
        this->sendToFollowers(peer::StoreLost{});
    } else {
        this->sendToFollowers(peer::StoreRestored{steadyNow() - this->registry.lastFailure});
    }
}

void StoreWatcher::setRelayed(Table table, bool isRelayed)
{
    FollowedTable &followed = this->stateOf(table);
    if (followed.isRelayed == isRelayed) {
        return;
    }
    Log::info("store_relayed", {{"table", nameOf(table)}, {"relayed", isRelayed}});
    followed.isRelayed = isRelayed;
    followed.isUnconfirmed = !isRelayed;
    followed.pauseTimer.cancel();
    this->relayed = this->registry.isRelayed;
    if (!isRelayed && this->isOutage) {
        followed.lastFailure = steadyNow(); // the leader's last word was that the store cannot be read
    }
}

void StoreWatcher::setReader(bool isNow)
{
    if (this->isReader == isNow) {
        return;
    }
    Log::info("store_read_for_leader", {{"begins", isNow}});
    this->isReader = isNow;
    this->hasSentConfig = false;
    for (const Table table : {Table::Config, Table::Registry}) {
        FollowedTable &followed = this->stateOf(table);
        followed.isUnconfirmed = true; // the first read must not wait for a change
        followed.pauseTimer.cancel();
    }
}

// Also without a change: it shows that the store can be read. What this host has learned while it did not read for the
// leader may be new to it, too.
void StoreWatcher::sendToLeader()
{
    const auto update = this->relay.changesAfter(this->leaderVersion);
    if (!update) {
        this->push(store_update::LeaderUpdate{peer::StoreLost{}}); // the leader would miss changes
        return;
    }
    this->leaderVersion = *this->registry.version;
    this->push(store_update::LeaderUpdate{*update});
    if (!std::exchange(this->hasSentConfig, true)) {
        for (const peer::ConfigUpdate &recent : this->recentConfigs) {
            this->push(store_update::LeaderUpdate{recent});
        }
    }
}

void StoreWatcher::keepConfigUpdate(const peer::ConfigUpdate &update)
{
    this->recentConfigs.push_back(update);
    if (this->recentConfigs.size() > maxRecentConfigs) {
        this->recentConfigs.pop_front();
    }
}

void StoreWatcher::forwardToFollowers()
{
    if (!this->isFollowed()) {
        this->relay.skip();
    } else if (const auto update = this->relay.nextUpdate()) {
        if (update->rows.empty()) {
            Log::info("store_changes_not_relayed", {{"version", static_cast<std::int64_t>(update->version)}});
        }
        this->sendToFollowers(*update);
    }
}

// A new follower has read the whole table itself and receives the changes since then.
void StoreWatcher::updateNewFollowers()
{
    const bool areReadsOwn = !this->registry.isLost && !this->registry.isSlow;
    const bool isBehind = this->isOutage || this->config.isSlow || !this->registry.version
        || (!areReadsOwn && this->registryAge() > readerAgeLimit);
    if (!this->isFollowed() || isBehind) {
        return;
    }
    for (const auto &[link, update] : this->relay.followerUpdates()) {
        this->push(store_update::PeerUpdate{update, link});
        this->push(store_update::PeerUpdate{this->configSummary(), link});
    }
}

void StoreWatcher::addFollower(LinkId link, std::uint64_t version)
{
    asio::post(this->io, [this, link, version] {
        this->relay.addFollower(link, version);
        if (this->isOutage) {
            this->push(store_update::PeerUpdate{peer::StoreLost{}, link});
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
        if (this->registry.isReading && steadyNow() - this->registry.readStart > silenceOfARead) {
            this->registry.lastFailure = std::max(this->registry.lastFailure, this->registry.readStart);
        }
        this->registry.isLost = false;
        this->onRegistryReadable();
        this->setRelayed(Table::Registry, true);
        this->takeUpdate(update);
    });
}

void StoreWatcher::onReaderUpdate(const peer::RegistryUpdate &update)
{
    asio::post(this->io, [this, update] {
        if (!this->isFollowed() || static_cast<std::int64_t>(update.after) > this->registry.version.value_or(-1)) {
            return;
        }
        this->setOutage(false);
        this->takeUpdate(update);
    });
}

void StoreWatcher::takeUpdate(const peer::RegistryUpdate &update)
{
    const std::int64_t has = this->registry.version.value_or(-1);
    std::vector<StoreRow> rows;
    for (const peer::RegistryRow &row : update.rows) {
        const auto version = static_cast<std::int64_t>(row.version);
        if (version > has) { // an older row would restore endpoints that have left
            rows.push_back({row.key, row.value, version, row.isRemoved});
        }
    }
    if (update.hasGap) {
        this->relay.onGap(static_cast<std::int64_t>(update.version));
        this->push(store_update::Missed{});
    }
    this->registry.version = std::max(has, static_cast<std::int64_t>(update.version));
    this->takeRows(Table::Registry, rows, false, has);
}

bool StoreWatcher::takeConfigUpdate(const peer::ConfigUpdate &update)
{
    const ConfigReplica::UpdateOutcome outcome = this->replica.takeUpdate(update);
    if (outcome == ConfigReplica::UpdateOutcome::Applied) {
        this->config.version = std::max(this->config.version.value_or(0), this->replica.row().value());
        this->keepConfigUpdate(update);
        this->push(store_update::Config{this->replica.config()});
    }
    const bool isRowNeeded = outcome == ConfigReplica::UpdateOutcome::RowNeeded;
    if (isRowNeeded) {
        this->config.version.reset(); // list the table, then wait for updates again
    }
    return isRowNeeded;
}

void StoreWatcher::onUpdate(const peer::ConfigUpdate &update)
{
    asio::post(this->io, [this, update] {
        const bool isRowNeeded = this->takeConfigUpdate(update);
        // After the read takeConfig() sets it to true again; until then this host reads the table itself.
        this->setRelayed(Table::Config, !isRowNeeded);
        this->config.holdUntil = Instant();
        if (isRowNeeded) {
            this->config.pauseTimer.cancel();
        }
        this->configAtLeader = RowVersion(static_cast<std::int64_t>(update.rowVersion));
    });
}

void StoreWatcher::onReaderUpdate(const peer::ConfigUpdate &update)
{
    asio::post(this->io, [this, update] {
        const RowVersion before = this->replica.row();
        if (!this->isFollowed() || RowVersion(static_cast<std::int64_t>(update.rowVersion)) <= before) {
            return;
        }
        this->takeConfigUpdate(update);
        this->sendToFollowers(update); // they read the row if the change is not enough
    });
}

// Nothing is known of a configuration that can't be decoded. The forwarding thread has this one before it learns that
// it is current, and so have the other hosts.
void StoreWatcher::setConfigCurrent(Instant at)
{
    if (at <= this->configCurrentAt || !this->replica.isNewestHeld() || !this->replica.config()->workspaces) {
        return;
    }
    this->configCurrentAt = at;
    this->push(store_update::ConfigCurrent{at});
    if ((!this->isFollowed() && !this->isReader) || steadyNow() - this->configCurrentSent < configCurrentInterval) {
        return;
    }
    this->configCurrentSent = steadyNow();
    const peer::ConfigCurrent message{static_cast<std::uint64_t>(this->replica.row().value()),
                                      static_cast<std::uint64_t>(at.time_since_epoch().count()), 0};
    this->sendToFollowers(message);
    if (this->isReader) {
        this->push(store_update::LeaderUpdate{message});
    }
}

void StoreWatcher::onConfigCurrent(RowVersion row, Instant at)
{
    asio::post(this->io, [this, row, at] {
        if (this->replica.row() >= row) {
            this->setConfigCurrent(at);
        }
    });
}

void StoreWatcher::onConfigDelayed()
{
    asio::post(this->io, [this] {
        this->setRelayed(Table::Config, false);
        this->configAtLeader.reset();
    });
}

// The leader and those that read for it have tried. This host waits for the leader's notice of the recovery.
void StoreWatcher::onStoreLost()
{
    asio::post(this->io, [this] {
        if (this->isFollowed()) {
            return;
        }
        this->setReader(false);
        this->setOutage(true);
        for (const Table table : {Table::Config, Table::Registry}) {
            if (this->stateOf(table).version) {
                this->setRelayed(table, true);
            }
        }
    });
}

void StoreWatcher::onStoreRestored(const peer::StoreRestored &restored)
{
    asio::post(this->io, [this, restored] {
        this->registry.lastFailure = steadyNow() - restored.sinceFailure;
        this->registry.isLost = false;
        this->onRegistryReadable();
    });
}

void StoreWatcher::onReadingDelegated(const peer::DelegateReading &request)
{
    asio::post(this->io, [this, request] {
        if (request.isWanted && (this->isFollowed() || !this->registry.version)) {
            this->push(store_update::LeaderUpdate{peer::StoreLost{}});
            return;
        }
        // A version that the leader has and this host has not counts as sent.
        this->leaderVersion =
            std::min(static_cast<std::int64_t>(request.registryVersion), this->registry.version.value_or(0));
        this->setReader(request.isWanted);
    });
}

void StoreWatcher::onNoReader()
{
    asio::post(this->io, [this] {
        if (this->isFollowed() && !this->areReadsReported) {
            this->setOutage(true);
        }
    });
}

void StoreWatcher::onRelayLost()
{
    asio::post(this->io, [this] {
        this->setReader(false);
        for (const Table table : {Table::Config, Table::Registry}) {
            if (this->stateOf(table).isRelayed && !this->isFollowed()) {
                this->stateOf(table).holdUntil = steadyNow() + deputyUpdateWait;
            }
            this->setRelayed(table, false);
        }
        this->configAtLeader.reset();
    });
}

void StoreWatcher::setLeaderReachable(bool isReachable)
{
    asio::post(this->io, [this, isReachable] { this->lease.setLeaderReachable(isReachable); });
}

void StoreWatcher::setDeputyExpected(bool isExpected)
{
    asio::post(this->io, [this, isExpected] { this->lease.setDeputyExpected(isExpected); });
}

void StoreWatcher::setActing(bool isNow)
{
    asio::post(this->io, [this, isNow] {
        this->isActing = isNow;
        if (isNow) {
            this->onFollowed();
        } else if (!this->isFollowed()) {
            this->relay.removeFollowers();
        }
    });
}

void StoreWatcher::onLeaderNamed(const peer::LeaderNamed &named)
{
    asio::post(this->io, [this, named] {
        this->lease.onLeaderNamed({named.host, named.address, 0}, RowVersion(static_cast<std::int64_t>(named.lease)));
    });
}

void StoreWatcher::release()
{
    asio::post(this->io, [this] { this->lease.release(); });
}

peer::ConfigUpdate StoreWatcher::configSummary() const
{
    return {static_cast<std::uint64_t>(this->replica.row().value()), 0, {}};
}

} // namespace fescuesill
