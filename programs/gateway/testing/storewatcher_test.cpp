// A watcher against a store on the same host. The test changes the store's registry and answers, and reads the updates
// that the watcher pushes to the forwarding thread.

#include "programs/gateway/storewatcher.h"

#include "wire/clock.h"
#include "wire/testing/servedthread.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

namespace fescuesill
{
namespace
{

using Json = nlohmann::json;

constexpr Duration contactLimit{400ms};
constexpr Duration lease{300ms};
constexpr Duration patience{5s}; // for updates that must come
constexpr Duration pollStep{5ms};

void pauseFor(Duration time, const asio::yield_context &yield)
{
    asio::steady_timer timer(asio::get_associated_executor(yield.handler_), time);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

// The values of the rows are opaque to the store, and to the watcher where the row is removed.
class FakeStore
{
public:
    enum class Feed {
        Working,
        Silent, // reads get no reply
        Down, // all calls get 503
    };

    FakeStore()
        : served({}, [this](HttpCall &call, HttpReply &reply, const asio::yield_context &yield) {
            this->handle(call, reply, yield);
        })
    {
    }

    ~FakeStore()
    {
        this->set(Feed::Working); // ends the reads that are waiting
    }
    FakeStore(const FakeStore &) = delete;
    FakeStore &operator=(const FakeStore &) = delete;

    std::string address() const
    {
        return this->served.address();
    }

    // A row that the registry lists until it is removed.
    void add(const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->listed[key] = ++this->version;
    }

    void remove(const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->removeLocked(key);
    }

    // Readers of the feed get 410 instead of the change.
    void removeInAGap(const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->removeLocked(key);
        this->historyFrom = this->version;
    }

    void set(Feed state)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->feed = state;
        this->waits.clear();
    }

    // Another host holds the lease.
    void setLease(const LeaseRow &holder)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->leaseAt = ++this->version;
        this->leaseValue = encode(holder);
    }

    // How long each read of the registry's feed since the last set() asked to wait for a change.
    std::vector<Duration> registryWaits()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->waits;
    }

    // The row of the configuration, in base64.
    void setConfig(const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->configValue = value;
        this->configAt = ++this->version;
    }

    // How often the feed of the configuration was read.
    int configReads()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->readConfigs;
    }

    // How often the table of the configuration was listed.
    int configLists()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->listedConfigs;
    }

    // The version after the last change of the registry.
    std::int64_t registryVersion()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->removedAt;
    }

private:
    void removeLocked(const std::string &key)
    {
        ++this->version;
        this->listed.erase(key);
        this->removedKey = key;
        this->removedAt = this->version;
    }

    Feed state()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->feed;
    }

    static std::int64_t numberIn(const std::string &target, const std::string &name)
    {
        const std::size_t at = target.find(name + "=");
        return at == std::string::npos ? 0 : std::stoll(target.substr(at + name.size() + 1));
    }

    void handle(HttpCall &call, HttpReply &reply, const asio::yield_context &yield)
    {
        if (call.target.rfind("/rows-feed?table=servers", 0) == 0) {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->waits.emplace_back(std::chrono::milliseconds(numberIn(call.target, "wait_ms")));
        }
        if (call.target.rfind("/rows-feed?table=op", 0) == 0) {
            const std::lock_guard<std::mutex> lock(this->mutex);
            ++this->readConfigs;
        }
        if (this->state() == Feed::Down) {
            reply.send(503, "{}", yield);
            return;
        }
        if (call.target.rfind("/rows-feed", 0) == 0) {
            this->answerFeed(call.target, reply, yield);
        } else if (call.target == "/rows-tx") {
            this->write(Json::parse(call.body), reply, yield);
        } else {
            this->list(call.target, reply, yield);
        }
    }

    void list(const std::string &target, HttpReply &reply, const asio::yield_context &yield)
    {
        Json rows = Json::array();
        std::unique_lock<std::mutex> lock(this->mutex);
        this->listedConfigs += target.find("table=op") != std::string::npos ? 1 : 0;
        if (target.find("table=leases") != std::string::npos && this->leaseAt > 0) {
            rows.push_back({{"key", "placing"}, {"value", this->leaseValue}, {"ver", this->leaseAt}});
        }
        if (target.find("table=op") != std::string::npos && this->configAt > 0) {
            rows.push_back({{"key", "config"}, {"value", this->configValue}, {"ver", this->configAt}});
        }
        if (target.find("table=servers") != std::string::npos) {
            for (const auto &[key, at] : this->listed) {
                rows.push_back({{"key", key}, {"value", "e30="}, {"ver", at}});
            }
        }
        const std::string text = Json({{"rows", rows}, {"ver", this->version}}).dump();
        lock.unlock();
        reply.send(200, text, yield);
    }

    void write(const Json &body, HttpReply &reply, const asio::yield_context &yield)
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        const bool isExpected = body["expected"][0]["ver"].get<std::int64_t>() == this->leaseAt;
        if (isExpected) {
            this->leaseAt = ++this->version;
            this->leaseValue = body["set_keys"][0]["value"].get<std::string>();
        }
        const std::string text = Json({{"ver", this->version}, {"rows", Json::array()}}).dump();
        lock.unlock();
        reply.send(isExpected ? 200 : 412, text, yield);
    }

    void answerFeed(const std::string &target, HttpReply &reply, const asio::yield_context &yield)
    {
        const bool isRegistry = target.find("table=servers") != std::string::npos;
        const std::int64_t after = numberIn(target, "after");
        const Instant until = steadyNow() + std::chrono::milliseconds(numberIn(target, "wait_ms"));
        while (this->state() == Feed::Silent) {
            pauseFor(pollStep, yield);
        }
        while (steadyNow() < until && !this->hasNews(isRegistry, after)) {
            pauseFor(pollStep, yield);
        }
        std::unique_lock<std::mutex> lock(this->mutex);
        if (after < this->historyFrom) {
            lock.unlock();
            reply.send(410, "{}", yield);
            return;
        }
        Json rows = Json::array();
        if (!isRegistry && this->configAt > after) {
            rows.push_back({{"key", "config"}, {"value", this->configValue}, {"ver", this->configAt}});
        }
        if (isRegistry && this->removedAt > after) {
            rows.push_back({{"key", this->removedKey}, {"ver", this->removedAt}, {"deleted", true}});
        }
        const std::string text = Json({{"rows", rows}, {"ver", this->version}}).dump();
        lock.unlock();
        reply.send(200, text, yield);
    }

    bool hasNews(bool isRegistry, std::int64_t after)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const std::int64_t newest = isRegistry ? this->removedAt : this->configAt;
        return after < this->historyFrom || newest > after;
    }

    std::mutex mutex;
    Feed feed = Feed::Working;
    std::int64_t version = 10; // of the whole store; each write takes the next one
    std::int64_t historyFrom = 0;
    std::int64_t removedAt = 0;
    std::string removedKey;
    std::map<std::string, std::int64_t> listed; // rows of the registry, with their versions
    std::vector<Duration> waits;
    int listedConfigs = 0;
    int readConfigs = 0;
    std::int64_t configAt = 0;
    std::string configValue;
    std::int64_t leaseAt = 0;
    std::string leaseValue;
    ServedThread served; // last, so that it ends before the members that it uses
};

template<typename Condition>
bool waitUntil(Condition condition)
{
    const Instant until = steadyNow() + patience;
    while (!condition() && steadyNow() < until) {
        std::this_thread::sleep_for(pollStep);
    }
    return condition();
}

// Collects the updates of one watcher. The tests poll it, so it needs no wake-up.
class Updates
{
public:
    Ring<StoreUpdate> ring{1024, [] {
                           }};

    // Whether an update for which the predicate holds arrives in time. Updates before it are dropped.
    template<typename Predicate>
    bool waitFor(Predicate predicate, Duration limit = patience)
    {
        const Instant until = steadyNow() + limit;
        while (steadyNow() < until) {
            while (const auto update = this->ring.tryPop()) {
                if (predicate(*update)) {
                    return true;
                }
            }
            std::this_thread::sleep_for(pollStep);
        }
        return false;
    }

    template<typename Kind>
    bool waitFor(Duration limit = patience)
    {
        return this->waitFor([](const StoreUpdate &update) { return std::holds_alternative<Kind>(update); }, limit);
    }
};

// Destroying a watcher unwinds the coroutines of its thread on the caller's thread. ThreadSanitizer takes this for a
// corrupt stack, so under it a watcher is stopped and leaked.
struct EndWatcher {
    void operator()(StoreWatcher *watcher) const
    {
        watcher->stop();
#ifndef __SANITIZE_THREAD__
        delete watcher;
#endif
    }
};
using RunningWatcher = std::unique_ptr<StoreWatcher, EndWatcher>;

RunningWatcher watch(const FakeStore &store, const LeaseRow &self, Updates &updates, Duration outageDoubt = 20s)
{
    return RunningWatcher(new StoreWatcher({store.address(), contactLimit, self, lease, outageDoubt}, updates.ring));
}

const LeaseRow leading{HostId("a"), "127.0.0.1:1", 0};
const LeaseRow neverLeading;

bool waitForLead(Updates &updates)
{
    return updates.waitFor([](const StoreUpdate &update) {
        const auto *leader = std::get_if<store_update::Leader>(&update);
        return leader != nullptr && leader->isSelf;
    });
}

const peer::RegistryUpdate *registryUpdateIn(const StoreUpdate &update)
{
    const auto *sent = std::get_if<store_update::PeerUpdate>(&update);
    return sent == nullptr ? nullptr : std::get_if<peer::RegistryUpdate>(&sent->message);
}

// Guards against followers that keep sending to an endpoint that left while the leader's feed had a gap.
TEST(StoreWatcher, NotifiesFollowersOfChangesThatTheHistoryLost)
{
    FakeStore store;
    store.add("e1");
    store.add("e2");
    Updates updates;
    const RunningWatcher watcher = watch(store, leading, updates);
    ASSERT_TRUE(waitForLead(updates));
    store.remove("e1");
    ASSERT_TRUE(updates.waitFor([](const StoreUpdate &update) { return registryUpdateIn(update) != nullptr; }));
    const std::int64_t known = store.registryVersion(); // by a follower
    store.removeInAGap("e2");
    // A follower reads the store itself if the update starts after what it knows.
    EXPECT_TRUE(updates.waitFor([known](const StoreUpdate &update) {
        const auto *sent = registryUpdateIn(update);
        return sent != nullptr && (static_cast<std::int64_t>(sent->after) > known || !sent->rows.empty());
    }));
}

// Guards against followers that take each change for a gap and read the store themselves, since other tables have moved
// the store's version on between two changes.
TEST(StoreWatcher, StartsAnUpdateWhereTheLastOneEnded)
{
    FakeStore store;
    Updates updates;
    const RunningWatcher watcher = watch(store, leading, updates);
    ASSERT_TRUE(waitForLead(updates));
    store.remove("e1");
    std::uint64_t known = 0;
    ASSERT_TRUE(updates.waitFor([&known](const StoreUpdate &update) {
        const auto *sent = registryUpdateIn(update);
        known = sent != nullptr ? sent->version : 0;
        return sent != nullptr;
    }));
    ASSERT_TRUE(waitUntil([&] { return watcher->knownVersion() > known; })); // the renewals of the lease are writes
    store.remove("e2");
    ASSERT_TRUE(updates.waitFor([known](const StoreUpdate &update) {
        const auto *sent = registryUpdateIn(update);
        return sent != nullptr && sent->after <= known && sent->rows.size() == 1;
    }));
}

// Guards against a registry that stays marked as lost, so that endpoints missing from it are kept for good.
TEST(StoreWatcher, KeepsARelayedRegistryWhenAnOlderReadFails)
{
    FakeStore store;
    Updates updates;
    const RunningWatcher watcher = watch(store, neverLeading, updates);
    ASSERT_TRUE(updates.waitFor<store_update::Listed>());
    store.set(FakeStore::Feed::Silent);
    std::this_thread::sleep_for(contactLimit); // the read that was running has ended, and the next one hangs
    const auto version = watcher->knownVersion();
    watcher->onUpdate(peer::RegistryUpdate{version, version + 1, {{version + 1, "e1", "", true}}});
    ASSERT_TRUE(updates.waitFor<store_update::Removed>());
    EXPECT_FALSE(updates.waitFor<store_update::Lost>(2s));
}

// Guards against a recovery that is noticed seconds late, so that endpoints which left meanwhile are used for too long.
TEST(StoreWatcher, DoesNotWaitForChangesWhileTheRegistryIsLost)
{
    FakeStore store;
    Updates updates;
    const RunningWatcher watcher = watch(store, neverLeading, updates);
    const auto lastWaits = [&store] {
        const auto waits = store.registryWaits();
        return !waits.empty() && waits.back() > 0ms;
    };
    ASSERT_TRUE(waitUntil(lastWaits));
    store.set(FakeStore::Feed::Down);
    ASSERT_TRUE(updates.waitFor<store_update::Lost>());
    store.set(FakeStore::Feed::Down);
    ASSERT_TRUE(waitUntil([&store] { return store.registryWaits().size() >= 2; }));
    EXPECT_EQ(store.registryWaits().front(), 0ms);
    EXPECT_EQ(store.registryWaits().back(), 0ms);
    store.set(FakeStore::Feed::Working);
    ASSERT_TRUE(updates.waitFor<store_update::Restored>());
    EXPECT_TRUE(waitUntil(lastWaits));
}

// Guards against a long read by each host when no other host forwards the changes any more. In silence it hides the
// store's recovery.
TEST(StoreWatcher, ReadsSoonWhenNobodyForwardsTheChanges)
{
    FakeStore store;
    Updates updates;
    const RunningWatcher watcher = watch(store, neverLeading, updates);
    ASSERT_TRUE(updates.waitFor<store_update::Listed>());
    const auto version = watcher->knownVersion();
    watcher->onUpdate(peer::RegistryUpdate{version, version + 1, {}});
    std::this_thread::sleep_for(contactLimit); // the read that was running has ended
    store.set(FakeStore::Feed::Silent);
    const Instant lost = steadyNow();
    watcher->onRelayLost();
    ASSERT_TRUE(waitUntil([&store] { return !store.registryWaits().empty(); }));
    EXPECT_LE(steadyNow() - lost, 1s); // half a second for a deputy
    EXPECT_EQ(store.registryWaits().front(), 0ms);
    EXPECT_TRUE(updates.waitFor<store_update::Lost>());
}

const LeaseRow following{HostId("b"), "127.0.0.1:2", 0};

// A watcher that is up to date with the updates of another host, and has no read in progress.
RunningWatcher watchThroughLeader(FakeStore &store, Updates &updates, Duration outageDoubt = 20s)
{
    RunningWatcher watcher = watch(store, neverLeading, updates, outageDoubt);
    EXPECT_TRUE(updates.waitFor<store_update::Listed>());
    const auto version = watcher->knownVersion();
    watcher->onUpdate(peer::RegistryUpdate{version, version, {}});
    std::this_thread::sleep_for(contactLimit);
    store.set(FakeStore::Feed::Working);
    return watcher;
}

template<typename Message>
const Message *sentToLeader(const StoreUpdate &update)
{
    const auto *sent = std::get_if<store_update::LeaderUpdate>(&update);
    return sent == nullptr ? nullptr : std::get_if<Message>(&sent->message);
}

template<typename Message>
bool waitForFollowersMessage(Updates &updates)
{
    return updates.waitFor([](const StoreUpdate &update) {
        const auto *sent = std::get_if<store_update::PeerUpdate>(&update);
        return sent != nullptr && std::holds_alternative<Message>(sent->message);
    });
}

// Guards against calls of the whole fleet to a store that its leader knows to be unavailable.
TEST(StoreWatcher, AFollowerReadsNothingInAnOutage)
{
    FakeStore store;
    Updates updates;
    const RunningWatcher watcher = watchThroughLeader(store, updates);
    watcher->onStoreLost();
    ASSERT_TRUE(updates.waitFor<store_update::Lost>());
    std::this_thread::sleep_for(1500ms);
    EXPECT_TRUE(store.registryWaits().empty());
    const Instant restored = steadyNow();
    watcher->onStoreRestored(peer::StoreRestored{300ms});
    ASSERT_TRUE(updates.waitFor([restored](const StoreUpdate &update) {
        const auto *found = std::get_if<store_update::Restored>(&update);
        return found != nullptr && found->lastFailure > restored - 310ms && found->lastFailure < restored;
    }));
    EXPECT_TRUE(store.registryWaits().empty());
}

// Guards against a follower that misses changes for as long as its leader is wrong about an outage, as one of another
// version may be.
TEST(StoreWatcher, DoubtsALongOutage)
{
    FakeStore store;
    store.add("e1");
    Updates updates;
    const RunningWatcher watcher = watchThroughLeader(store, updates, 1s);
    watcher->onStoreLost();
    ASSERT_TRUE(updates.waitFor<store_update::Lost>());
    store.remove("e1");
    ASSERT_TRUE(updates.waitFor<store_update::Restored>());
    EXPECT_TRUE(updates.waitFor<store_update::Removed>());
    EXPECT_FALSE(watcher->isRelayed());
}

// Guards against followers that miss an endpoint's leaving while the store refuses only their leader.
TEST(StoreWatcher, ReadsForTheLeader)
{
    FakeStore store;
    store.add("e1");
    Updates updates;
    const RunningWatcher watcher = watchThroughLeader(store, updates);
    const std::uint64_t known = watcher->knownVersion();
    watcher->onReadingDelegated(peer::DelegateReading{true, known});
    ASSERT_TRUE(updates.waitFor([known](const StoreUpdate &update) { // though nothing has changed
        const auto *sent = sentToLeader<peer::RegistryUpdate>(update);
        return sent != nullptr && sent->after <= known;
    }));
    store.remove("e1");
    ASSERT_TRUE(updates.waitFor([](const StoreUpdate &update) {
        const auto *sent = sentToLeader<peer::RegistryUpdate>(update);
        return sent != nullptr && sent->rows.size() == 1 && sent->rows[0].isRemoved;
    }));
    watcher->onReadingDelegated(peer::DelegateReading{false, 0});
    std::this_thread::sleep_for(contactLimit); // the read that was running has ended
    store.set(FakeStore::Feed::Working);
    std::this_thread::sleep_for(contactLimit);
    EXPECT_TRUE(store.registryWaits().empty());
}

// Guards against a host that keeps missing endpoints as in an outage, because the store refuses it alone.
TEST(StoreWatcher, AReaderThatIsRefusedReportsItToTheLeaderOnly)
{
    FakeStore store;
    Updates updates;
    const RunningWatcher watcher = watchThroughLeader(store, updates);
    store.set(FakeStore::Feed::Down);
    watcher->onReadingDelegated(peer::DelegateReading{true, watcher->knownVersion()});
    bool isMarkedLost = false;
    ASSERT_TRUE(updates.waitFor([&isMarkedLost](const StoreUpdate &update) {
        isMarkedLost = isMarkedLost || std::holds_alternative<store_update::Lost>(update);
        return sentToLeader<peer::StoreLost>(update) != nullptr;
    }));
    EXPECT_FALSE(isMarkedLost);
}

// Guards against a leader that never learns a change which this host read while it did not read for it.
TEST(StoreWatcher, SendsTheLeaderWhatItAlreadyKnew)
{
    FakeStore store;
    Updates updates;
    const RunningWatcher watcher = watchThroughLeader(store, updates);
    const std::uint64_t leaderVersion = watcher->knownVersion();
    watcher->onUpdate(peer::RegistryUpdate{leaderVersion, leaderVersion + 1, {{leaderVersion + 1, "e1", "", true}}});
    ASSERT_TRUE(updates.waitFor<store_update::Removed>());
    store.remove("e2");
    watcher->onReadingDelegated(peer::DelegateReading{true, leaderVersion});
    EXPECT_TRUE(updates.waitFor([leaderVersion](const StoreUpdate &update) {
        const auto *sent = sentToLeader<peer::RegistryUpdate>(update);
        return sent != nullptr && sent->after <= leaderVersion && !sent->rows.empty() && sent->rows[0].key == "e1";
    }));
}

// Guards against an outage that is announced because the leader alone cannot read the store, and against one that is
// announced to nobody.
TEST(StoreWatcher, ALeaderAnnouncesAnOutageOnlyIfNobodyCanRead)
{
    FakeStore store;
    Updates updates;
    const RunningWatcher watcher = watch(store, leading, updates);
    ASSERT_TRUE(waitForLead(updates));
    ASSERT_TRUE(waitUntil([&] { return watcher->knownVersion() > 0; }));
    store.set(FakeStore::Feed::Down);
    bool isAnnounced = false;
    ASSERT_TRUE(updates.waitFor([&isAnnounced](const StoreUpdate &update) {
        isAnnounced = isAnnounced || std::holds_alternative<store_update::Lost>(update);
        const auto *reads = std::get_if<store_update::OwnReads>(&update);
        return reads != nullptr && !reads->isWorking;
    }));
    EXPECT_FALSE(isAnnounced);
    const auto known = watcher->knownVersion();
    watcher->onReaderUpdate(peer::RegistryUpdate{known, known + 50, {{known + 50, "e1", "", true}}});
    ASSERT_TRUE(updates.waitFor<store_update::Removed>());
    ASSERT_TRUE(waitForFollowersMessage<peer::RegistryUpdate>(updates));
    watcher->onNoReader();
    ASSERT_TRUE(updates.waitFor<store_update::Lost>());
    ASSERT_TRUE(waitForFollowersMessage<peer::StoreLost>(updates));
    watcher->onReaderUpdate(peer::RegistryUpdate{known + 50, known + 60, {}});
    ASSERT_TRUE(updates.waitFor<store_update::Restored>());
    ASSERT_TRUE(waitForFollowersMessage<peer::StoreRestored>(updates));
    store.set(FakeStore::Feed::Working);
    EXPECT_TRUE(updates.waitFor([](const StoreUpdate &update) {
        const auto *reads = std::get_if<store_update::OwnReads>(&update);
        return reads != nullptr && reads->isWorking;
    }));
}

// Guards against a deputy that takes over and leaves its followers to read the store themselves.
TEST(StoreWatcher, ADeputyForwardsTheChanges)
{
    FakeStore store;
    store.add("e1");
    Updates updates;
    const RunningWatcher watcher = watchThroughLeader(store, updates);
    watcher->onRelayLost();
    watcher->setActing(true);
    watcher->addFollower(LinkId{7}, watcher->knownVersion());
    ASSERT_TRUE(waitForFollowersMessage<peer::RegistryUpdate>(updates));
    store.remove("e1");
    EXPECT_TRUE(updates.waitFor([](const StoreUpdate &update) {
        const auto *sent = registryUpdateIn(update);
        return sent != nullptr && sent->rows.size() == 1 && sent->rows[0].isRemoved;
    }));
}

// Guards against a read by each host of the fleet in the second after its start.
TEST(StoreWatcher, WaitsForTheLeaderAfterTheFirstList)
{
    FakeStore store;
    store.setLease(leading);
    Updates updates;
    const RunningWatcher watcher = watch(store, following, updates);
    watcher->setLeaderReachable(true);
    ASSERT_TRUE(updates.waitFor<store_update::Listed>());
    std::this_thread::sleep_for(1s);
    EXPECT_TRUE(store.registryWaits().empty());
    EXPECT_TRUE(waitUntil([&store] { return !store.registryWaits().empty(); })); // no leader has sent updates
}

// {"version":1,"routes":[],"services":[],"tenants":[]}
const char *const configWithWorkspaces = "eyJ2ZXJzaW9uIjoxLCJyb3V0ZXMiOltdLCJzZXJ2aWNlcyI6W10sInRlbmFudHMiOltdfQ==";
const char *const unreadableConfig = "bm8="; // no

const peer::ConfigCurrent *configCurrentIn(const StoreUpdate &update)
{
    const auto *sent = std::get_if<store_update::PeerUpdate>(&update);
    return sent == nullptr ? nullptr : std::get_if<peer::ConfigCurrent>(&sent->message);
}

// Guards against a reading that counts as newer than it is: the row may have changed right after the store replied.
TEST(StoreWatcher, ReportsWhenAReadOfTheConfigurationBegan)
{
    FakeStore store;
    store.setConfig(configWithWorkspaces);
    Updates updates;
    const Instant before = bootNow();
    const RunningWatcher watcher = watch(store, leading, updates);
    Instant first;
    ASSERT_TRUE(updates.waitFor([&first](const StoreUpdate &update) {
        const auto *current = std::get_if<store_update::ConfigCurrent>(&update);
        first = current == nullptr ? Instant() : current->at;
        return current != nullptr;
    }));
    EXPECT_GE(first, before);
    // The next read waits for a change, and its beginning is reported at its end.
    ASSERT_TRUE(updates.waitFor([first](const StoreUpdate &update) {
        const auto *current = std::get_if<store_update::ConfigCurrent>(&update);
        return current != nullptr && current->at > first && bootNow() - current->at >= contactLimit / 2;
    }));
    std::uint64_t sent = 0;
    ASSERT_TRUE(updates.waitFor([&sent](const StoreUpdate &update) {
        const auto *current = configCurrentIn(update);
        sent = current == nullptr ? 0 : current->at;
        return current != nullptr;
    }));
    EXPECT_LE(Instant(Duration(static_cast<std::int64_t>(sent))), bootNow());
}

// Guards against keys that go on although the newest configuration, which may revoke them, can't be decoded.
TEST(StoreWatcher, AnUnreadableConfigurationIsNotCurrent)
{
    FakeStore store;
    store.setConfig(configWithWorkspaces);
    Updates updates;
    const RunningWatcher watcher = watch(store, neverLeading, updates);
    ASSERT_TRUE(updates.waitFor<store_update::ConfigCurrent>());
    store.setConfig(unreadableConfig);
    ASSERT_TRUE(waitUntil([&store] { return store.configReads() > 1; }));
    std::this_thread::sleep_for(contactLimit);
    while (updates.ring.tryPop()) { }
    EXPECT_FALSE(updates.waitFor<store_update::ConfigCurrent>(2 * contactLimit));
}

// Guards against a row that another host has and this one has not, and that counts as known here.
TEST(StoreWatcher, BelievesAnotherHostOnlyAboutRowsThatItHas)
{
    FakeStore store;
    store.setConfig(configWithWorkspaces); // row 11
    store.setLease(leading);
    Updates updates;
    const RunningWatcher watcher = watch(store, following, updates);
    watcher->setLeaderReachable(true);
    ASSERT_TRUE(updates.waitFor<store_update::ConfigCurrent>());
    watcher->onUpdate(peer::ConfigUpdate{11, 0, {}});
    store.set(FakeStore::Feed::Down);
    const Instant next = bootNow() + 1h;
    watcher->onConfigCurrent(RowVersion(12), next);
    watcher->onConfigCurrent(RowVersion(11), next + 1s);
    ASSERT_TRUE(updates.waitFor([next](const StoreUpdate &update) {
        const auto *current = std::get_if<store_update::ConfigCurrent>(&update);
        EXPECT_TRUE(current == nullptr || current->at != next);
        return current != nullptr && current->at == next + 1s;
    }));
}

// Guards against a follower that refuses its callers although it could read the store, because its leader can't.
TEST(StoreWatcher, ReadsTheConfigurationBeforeItWouldRefuseKeys)
{
    FakeStore store;
    store.setConfig(configWithWorkspaces);
    store.setLease(leading);
    Updates updates;
    StoreWatcher::Options options{store.address(), contactLimit, following, lease};
    options.keyLimit = 1s;
    const RunningWatcher watcher(new StoreWatcher(options, updates.ring));
    watcher->setLeaderReachable(true);
    ASSERT_TRUE(updates.waitFor<store_update::ConfigCurrent>());
    watcher->onStoreLost(); // the leader's last word
    ASSERT_TRUE(updates.waitFor<store_update::Lost>());
    const int reads = store.configReads();
    const Instant begin = bootNow();
    ASSERT_TRUE(updates.waitFor([begin](const StoreUpdate &update) {
        const auto *current = std::get_if<store_update::ConfigCurrent>(&update);
        return current != nullptr && current->at > begin;
    }));
    EXPECT_LT(bootNow() - begin, options.keyLimit);
    std::this_thread::sleep_for(2500ms);
    EXPECT_LE(store.configReads() - reads, 4); // once in the time of the limit
}

// Guards against a host of a first start that goes on waiting for a configuration which the leader cannot send.
TEST(StoreWatcher, ReadsAConfigurationThatTheLeaderOnlyNames)
{
    FakeStore store;
    store.setLease(leading);
    Updates updates;
    StoreWatcher::Options options{store.address(), contactLimit, following, lease};
    options.isFirstStart = true;
    const RunningWatcher watcher(new StoreWatcher(options, updates.ring));
    watcher->setLeaderReachable(true);
    ASSERT_TRUE(updates.waitFor<store_update::Listed>());
    EXPECT_EQ(store.configLists(), 0);
    const Instant named = steadyNow();
    watcher->onUpdate(peer::ConfigUpdate{50, 0, {}});
    EXPECT_TRUE(waitUntil([&store] { return store.configLists() > 0; }));
    EXPECT_LT(steadyNow() - named, 1s);
}

bool hasBeenChecked(const StoreUpdate &update, Instant since)
{
    const auto *check = std::get_if<store_update::RegistryChecked>(&update);
    return check != nullptr && check->at && *check->at >= since;
}

// Guards against a check that confirms the registry without the changes before it.
TEST(StoreWatcher, ChecksTheRegistryAfterItsChanges)
{
    FakeStore store;
    store.add("e1");
    Updates updates;
    const RunningWatcher watcher = watch(store, neverLeading, updates);
    ASSERT_TRUE(updates.waitFor<store_update::Listed>());
    store.remove("e1");
    const Instant since = bootNow();
    watcher->checkRegistry();
    bool isRemoved = false;
    ASSERT_TRUE(updates.waitFor([&](const StoreUpdate &update) {
        isRemoved = isRemoved || std::holds_alternative<store_update::Removed>(update);
        return hasBeenChecked(update, since);
    }));
    EXPECT_TRUE(isRemoved);
}

// Guards against a request that waits for a check that was under way when it came, or for one that has failed.
TEST(StoreWatcher, AnswersEachCheckOfTheRegistry)
{
    FakeStore store;
    Updates updates;
    const RunningWatcher watcher = watch(store, neverLeading, updates);
    ASSERT_TRUE(updates.waitFor<store_update::Listed>());
    store.set(FakeStore::Feed::Silent);
    watcher->checkRegistry();
    ASSERT_TRUE(updates.waitFor([](const StoreUpdate &update) {
        const auto *check = std::get_if<store_update::RegistryChecked>(&update);
        return check != nullptr && !check->at;
    }));
    store.set(FakeStore::Feed::Working);
    watcher->checkRegistry();
    const Instant since = bootNow();
    watcher->checkRegistry();
    EXPECT_TRUE(updates.waitFor([&](const StoreUpdate &update) { return hasBeenChecked(update, since); }));
}

} // namespace
} // namespace fescuesill
