// The world follows StoreWatcher, PlacementGates and LeaderLink in what they do with an EndpointRegistry, a
// RegistryRelay and StreamOrigins: the host that decides reads the store and forwards its changes, reservations are
// reported to it, it reports new streams to its deputy and saves them, and it has the registry read before it infers a
// version. A host that has lost the others waits, decides alone, and reads the store itself a moment later.
//
// What concerns a host that stands still happens when it goes on, in order.

#include "programs/gateway/testing/streamdays.h"

#include "decide/streamorigins.h"
#include "fescuesill/overloaded.h"
#include "programs/gateway/registryrelay.h"
#include "promise/endpointregistry.h"
#include "testing/bench/eventqueue.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace fescuesill
{
namespace
{

constexpr Instant start{1h};
constexpr Instant trafficFrom = start + 10s;
constexpr Duration length{75s};
constexpr Duration contactLimit{3s};
constexpr Duration silence{900ms}; // of a link, until it counts as lost
constexpr Duration deputyWait{500ms}; // until a host that has lost its leader decides alone
constexpr Duration readPause{500ms}; // after the loss of the host that forwards the registry
constexpr Duration saveInterval{1s};
constexpr Duration storeTime{4ms};
constexpr Duration readLimit{600ms};
constexpr Duration tick{100ms};
constexpr Duration newStreamEvery{120ms};
constexpr Duration lingers{3s}; // how long an engine serves after its row was removed
constexpr int firstEngines = 4;
constexpr int tries = 3; // of a caller that takes a stream up
const ServiceId service("llm");
const std::string firstVersion = "v1";

class Random
{
public:
    explicit Random(std::uint64_t seed)
        : numbers(seed)
    {
    }
    std::size_t below(std::size_t bound)
    {
        return this->numbers() % bound;
    }
    Duration between(Duration least, Duration most)
    {
        return least + Duration(static_cast<Duration::rep>(this->below((most - least).count() + 1)));
    }
    bool chance(double share)
    {
        return static_cast<double>(this->below(1'000'000)) < share * 1e6;
    }

private:
    std::mt19937_64 numbers;
};

// The store's table of engines: the value of a row is the engine's version.
class Table
{
public:
    void set(const std::string &key, const std::string &value)
    {
        this->changes.push_back({key, value, ++this->version, false});
    }
    void remove(const std::string &key)
    {
        this->changes.push_back({key, {}, ++this->version, true});
    }
    void dropHistory()
    {
        this->historyFrom = ++this->version;
    }
    // The current rows.
    StoreRows list() const
    {
        StoreRows listed{{}, this->version};
        for (const StoreRow &row : this->newest(0)) {
            if (!row.isRemoved) {
                listed.rows.push_back(row);
            }
        }
        return listed;
    }
    // Empty if the history is gone.
    std::optional<StoreRows> after(std::int64_t since, bool isCompact) const
    {
        if (since < this->historyFrom) {
            return std::nullopt;
        }
        StoreRows changed{{}, this->version};
        if (isCompact) {
            changed.rows = this->newest(since);
            return changed;
        }
        std::copy_if(this->changes.begin(), this->changes.end(), std::back_inserter(changed.rows),
                     [since](const StoreRow &row) { return row.version > since; });
        return changed;
    }

private:
    // The last change of each row after that version.
    std::vector<StoreRow> newest(std::int64_t since) const
    {
        std::map<std::string, StoreRow> last;
        for (const StoreRow &row : this->changes) {
            if (row.version > since) {
                last[row.key] = row;
            }
        }
        std::vector<StoreRow> rows;
        rows.reserve(last.size());
        for (const auto &[key, row] : last) {
            rows.push_back(row);
        }
        std::sort(rows.begin(), rows.end(),
                  [](const StoreRow &one, const StoreRow &other) { return one.version < other.version; });
        return rows;
    }

    std::vector<StoreRow> changes;
    std::int64_t version = 1;
    std::int64_t historyFrom = 0;
};

struct Engine {
    std::string version;
    Instant listedFrom;
    std::optional<Instant> removedAt;
};

struct Stream {
    RequestId id;
    std::string version;
    Instant begun;
    std::size_t host = 0;
};
using StreamPtr = std::shared_ptr<Stream>;

struct TakeUp {
    StreamPtr stream;
    std::size_t host = 0; // that the caller asks
    Instant asked; // of that host's clock that goes on
    int triesLeft = 0;
    bool isCounted = false;
    std::function<void(std::optional<std::string> version)> answer;
};
using TakeUpPtr = std::shared_ptr<TakeUp>;

struct Host {
    std::unique_ptr<EndpointRegistry> registry;
    std::unique_ptr<StreamOrigins> origins;
    std::unique_ptr<RegistryRelay> relay;
    std::uint64_t life = 0;
    std::uint64_t gaps = 0;
    bool isUp = false;
    bool isFrozen = false;
    bool isCut = false;
    bool isReading = false;
    bool isWaiting = false; // for a leader or a deputy; nothing is decided
    std::optional<std::size_t> uplink;
    Instant uplinkSince;
    std::optional<std::int64_t> known;
    Instant storeCutUntil;
    Instant storeSlowUntil;
    Instant readFrom; // its own reads begin
    Instant inTouchFrom;
    Instant lastSaved;
    bool mustRead = false; // what was saved
    Duration suspended{0}; // how much its steady clock is behind
    std::deque<std::function<void()>> deferred; // while it stands still
    std::vector<TakeUpPtr> waiting;
    std::vector<std::pair<TakeUpPtr, Instant>> unconfirmed; // with when this host was asked
};

class World
{
public:
    explicit World(const StreamDay &given)
        : day(given)
        , random(given.seed * 2654435761U + 7)
    {
    }
    StreamDayResult run();

private:
    Instant now() const
    {
        return this->events.now();
    }
    Instant steady(const Host &host) const
    {
        return this->now() - host.suspended;
    }
    bool isStoreAway(const Host &host) const
    {
        return this->now() < this->storeAwayUntil || this->now() < host.storeCutUntil;
    }
    bool decides(const Host &host) const
    {
        return host.isUp && !host.uplink && !host.isWaiting;
    }
    void note(const std::string &text)
    {
        this->result.history +=
            fmt::format("{:8.3f} s  {}\n", static_cast<double>((this->now() - start).count()) / 1e6, text);
    }
    // Runs what concerns a host, unless it has been started again by then; later if it stands still.
    void atHost(std::size_t index, Duration delay, std::function<void()> event);
    void transmit(std::size_t from, std::size_t to, std::function<void()> event);

    void startHost(std::size_t index, bool isFirst);
    void elect();
    void follow(std::size_t index, std::size_t other);
    void loseOthers(std::size_t index);
    void resubmitWaiting(std::size_t index);
    void read(std::size_t index);
    void take(std::size_t index, const std::vector<StoreRow> &rows, std::int64_t before, std::int64_t version);
    void list(std::size_t index, const StoreRows &rows);
    void applyUpdate(std::size_t index, const peer::RegistryUpdate &update);
    void onFleetChanged(std::size_t index);
    void check(std::size_t index);
    void onChecked(std::size_t index, std::optional<Instant> at);
    void reportNew(std::size_t index);
    void onTick();

    void strike(const StreamDay::PlannedFault &planned);
    void end(const StreamDay::PlannedFault &planned, std::size_t index);
    void release(const StreamDay::Release &planned);
    std::optional<std::string> engineOf(const Host &host, const std::optional<std::string> &version);
    bool serves(const std::string &engine) const;
    std::optional<std::size_t> anyHost();
    void begin();
    void takeUp(const StreamPtr &stream, int triesLeft, bool isCounted);
    void submit(std::size_t index, const TakeUpPtr &request);
    void decide(std::size_t index, const TakeUpPtr &request, Instant asked);
    void answer(const TakeUpPtr &request, std::size_t decider, const std::optional<std::string> &version);
    bool mustGoOn(const StreamPtr &stream, std::size_t host) const;

    StreamDay day;
    Random random;
    bench::EventQueue events;
    Table table;
    std::vector<Host> hosts;
    std::map<std::string, Engine> engines;
    std::size_t leader = 0;
    std::optional<std::size_t> deputy;
    Instant storeAwayUntil;
    Instant allKilledAt;
    std::vector<std::pair<BegunStream, Instant>> saved; // with when it began
    int number = 0;
    StreamDayResult result;
};

void World::atHost(std::size_t index, Duration delay, std::function<void()> event)
{
    const std::uint64_t life = this->hosts[index].life;
    this->events.after(delay, [this, index, life, event = std::move(event)] {
        Host &host = this->hosts[index];
        if (host.life != life || !host.isUp) {
            return;
        }
        if (host.isFrozen) {
            host.deferred.push_back(event);
        } else {
            event();
        }
    });
}

void World::transmit(std::size_t from, std::size_t to, std::function<void()> event)
{
    const std::uint64_t life = this->hosts[from].life;
    if (this->hosts[from].isCut || this->hosts[to].isCut) {
        return;
    }
    this->atHost(to, this->random.between(500us, 6ms), [this, from, to, life, event = std::move(event)] {
        if (this->hosts[from].life == life && !this->hosts[from].isCut && !this->hosts[to].isCut) {
            event();
        }
    });
}

void World::startHost(std::size_t index, bool isFirst)
{
    Host &host = this->hosts[index];
    const std::uint64_t life = host.life + 1;
    host = Host{};
    host.life = life;
    host.isUp = true;
    host.mustRead = !isFirst;
    host.inTouchFrom = this->now() + contactLimit;
    host.registry = std::make_unique<EndpointRegistry>(EndpointRegistry::Options{});
    StreamOrigins::Options options;
    options.isFirstStart = isFirst && this->day.isFirstStart;
    host.origins = std::make_unique<StreamOrigins>(options);
    host.relay = std::make_unique<RegistryRelay>();
    host.isWaiting = true;
    this->list(index, this->table.list());
}

void World::onFleetChanged(std::size_t index)
{
    Host &host = this->hosts[index];
    if (std::exchange(host.gaps, host.registry->gaps()) != host.registry->gaps()) {
        host.origins->onOutdated(this->steady(host));
    }
    host.origins->onListed(service, host.registry->versions(service), host.registry->takeSeenVersions(service),
                           this->steady(host));
}

EndpointRecord recordOf(const std::string &id, const std::string &version)
{
    EndpointRecord record;
    record.id = EndpointId(id);
    record.service = service;
    record.part = EndpointPart::Decode;
    record.version = SoftwareVersion(version);
    return record;
}

void World::list(std::size_t index, const StoreRows &rows)
{
    Host &host = this->hosts[index];
    std::vector<EndpointRecord> records;
    for (const StoreRow &row : rows.rows) {
        records.push_back(recordOf(row.key, row.value));
    }
    host.registry->onListed(records, this->steady(host));
    host.relay->onListed(rows.rows, rows.version);
    host.known = rows.version;
    this->onFleetChanged(index);
}

void World::take(std::size_t index, const std::vector<StoreRow> &rows, std::int64_t before, std::int64_t version)
{
    Host &host = this->hosts[index];
    for (const StoreRow &row : rows) {
        if (row.version <= before) {
            continue;
        }
        if (row.isRemoved) {
            host.registry->onRemoved(EndpointId(row.key), this->steady(host));
        } else {
            host.registry->onChanged(recordOf(row.key, row.value), this->steady(host));
        }
    }
    host.relay->onChanged(rows, before, version);
    host.known = version;
    this->onFleetChanged(index);
    if (host.uplink) {
        host.relay->skip();
        return;
    }
    if (const auto update = host.relay->nextUpdate()) {
        for (std::size_t other = 0; other < this->hosts.size(); ++other) {
            if (this->hosts[other].uplink == index) {
                this->transmit(index, other, [this, other, update = *update] { this->applyUpdate(other, update); });
            }
        }
    }
}

void World::applyUpdate(std::size_t index, const peer::RegistryUpdate &update)
{
    Host &host = this->hosts[index];
    const std::int64_t has = host.known.value_or(-1);
    if (static_cast<std::int64_t>(update.after) > has) {
        this->read(index);
        return;
    }
    std::vector<StoreRow> rows;
    for (const peer::RegistryRow &row : update.rows) {
        const auto version = static_cast<std::int64_t>(row.version);
        if (version > has) {
            rows.push_back({row.key, row.value, version, row.isRemoved});
        }
    }
    if (update.hasGap) {
        host.relay->onGap(static_cast<std::int64_t>(update.version));
        host.registry->onMissed();
    }
    this->take(index, rows, has, std::max(has, static_cast<std::int64_t>(update.version)));
}

// One read of the registry, from what the host knows. Lists the table if the history is gone.
void World::read(std::size_t index)
{
    Host &host = this->hosts[index];
    if (host.isReading || this->isStoreAway(host)) {
        return;
    }
    host.isReading = true;
    const Duration time = this->now() < host.storeSlowUntil ? storeTime * 50 : storeTime;
    const auto rows = this->table.after(*host.known, this->day.isStoreCompact);
    const StoreRows listed = rows ? *rows : this->table.list();
    this->atHost(index, time, [this, index, isListed = !rows, listed] {
        Host &reader = this->hosts[index];
        reader.isReading = false;
        if (this->isStoreAway(reader) || listed.version < *reader.known) {
            return;
        }
        if (isListed) {
            this->list(index, listed);
        } else {
            this->take(index, listed.rows, *reader.known, listed.version);
        }
    });
}

void World::check(std::size_t index)
{
    const Instant begin = this->now();
    Host &host = this->hosts[index];
    const Duration time = this->now() < host.storeSlowUntil ? storeTime * 50 : storeTime;
    const auto rows = this->table.after(*host.known, this->day.isStoreCompact);
    const bool isLost = this->isStoreAway(host) || !rows;
    this->atHost(index, isLost ? readLimit : time, [this, index, begin, isLost, rows] {
        Host &reader = this->hosts[index];
        if (isLost) {
            this->onChecked(index, std::nullopt);
            return;
        }
        if (rows->version >= *reader.known) {
            this->take(index, rows->rows, *reader.known, rows->version);
        }
        this->onChecked(index, begin);
    });
}

void World::onChecked(std::size_t index, std::optional<Instant> at)
{
    Host &host = this->hosts[index];
    if (at) {
        host.origins->onConfirmed(*at);
    }
    for (const auto &[request, asked] : std::exchange(host.unconfirmed, {})) {
        if (at && asked > *at) {
            host.unconfirmed.emplace_back(request, asked);
        } else if (at) {
            this->decide(index, request, asked);
        } else {
            this->answer(request, index, std::nullopt);
        }
    }
}

// Those that reach each other follow the leader, its deputy or the first of them.
void World::elect()
{
    const auto isReachable = [this](std::size_t index) {
        return this->hosts[index].isUp && !this->hosts[index].isCut && !this->hosts[index].isFrozen;
    };
    std::size_t next = this->leader;
    if (!isReachable(next)) {
        next = this->deputy && isReachable(*this->deputy) ? *this->deputy : this->hosts.size();
        for (std::size_t index = 0; index < this->hosts.size() && next == this->hosts.size(); ++index) {
            next = isReachable(index) ? index : next;
        }
        if (next == this->hosts.size()) {
            return;
        }
    }
    if (next != this->leader) {
        this->note(fmt::format("host {} leads", next));
    }
    this->leader = next;
    this->deputy.reset();
    Host &leading = this->hosts[next];
    if (leading.uplink || leading.isWaiting) {
        leading.uplink.reset();
        leading.isWaiting = false;
        leading.mustRead = leading.mustRead || this->allKilledAt != Instant();
        leading.readFrom = this->now();
        this->resubmitWaiting(next);
    }
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        if (index != next && isReachable(index)) {
            this->follow(index, next);
            this->deputy = this->deputy.value_or(index);
        }
    }
}

void World::follow(std::size_t index, std::size_t other)
{
    Host &host = this->hosts[index];
    if (host.uplink == other) {
        return;
    }
    host.uplink = other;
    host.uplinkSince = this->steady(host);
    host.isWaiting = false;
    const auto begun = host.origins->begun(this->steady(host));
    const Instant sent = this->steady(host);
    const std::uint64_t known = static_cast<std::uint64_t>(*host.known);
    this->transmit(index, other, [this, index, other, begun, sent, known] {
        Host &leading = this->hosts[other];
        for (BegunStream stream : begun) {
            stream.since = this->steady(leading) - (sent - stream.since);
            leading.origins->onBegun(stream, this->steady(leading));
        }
        const LinkId link{index + 1};
        leading.relay->addFollower(link, known);
        for (const auto &[to, update] : leading.relay->followerUpdates()) {
            if (to == link) {
                this->transmit(other, index, [this, index, update = update] { this->applyUpdate(index, update); });
            }
        }
    });
    this->resubmitWaiting(index);
}

// The host notices that it has lost the others, waits for a while, and decides alone from then on.
void World::loseOthers(std::size_t index)
{
    Host &host = this->hosts[index];
    host.uplink.reset();
    host.isWaiting = true;
    host.readFrom = this->now() + readPause;
    const std::uint64_t life = host.life;
    this->atHost(index, deputyWait, [this, index, life] {
        Host &lone = this->hosts[index];
        if (lone.life == life && !lone.uplink && lone.isWaiting) {
            lone.isWaiting = false;
            this->resubmitWaiting(index);
        }
    });
}

void World::resubmitWaiting(std::size_t index)
{
    for (const TakeUpPtr &request : std::exchange(this->hosts[index].waiting, {})) {
        this->submit(index, request);
    }
}

void World::reportNew(std::size_t index)
{
    Host &host = this->hosts[index];
    const Instant steadyNow = this->steady(host);
    const auto fresh = host.origins->takeNew(steadyNow);
    std::optional<std::size_t> to = host.uplink;
    std::vector<BegunStream> sent = fresh;
    if (to) {
        sent.erase(std::remove_if(sent.begin(), sent.end(),
                                  [&host](const BegunStream &stream) { return stream.since >= host.uplinkSince; }),
                   sent.end());
    } else if (index == this->leader) {
        to = this->deputy;
    }
    if (to && !sent.empty()) {
        const bool isFromLeader = !host.uplink;
        this->transmit(index, *to, [this, to = *to, sent, steadyNow, isFromLeader] {
            Host &receiver = this->hosts[to];
            for (BegunStream stream : sent) {
                stream.since = this->steady(receiver) - (steadyNow - stream.since);
                if (isFromLeader) {
                    receiver.origins->onKnown(stream, this->steady(receiver));
                } else {
                    receiver.origins->onBegun(stream, this->steady(receiver));
                }
            }
        });
    }
    if (index != this->leader || this->isStoreAway(host)) {
        return;
    }
    for (const BegunStream &stream : fresh) {
        this->saved.emplace_back(stream, this->now() - (steadyNow - stream.since));
    }
}

void World::onTick()
{
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        Host &host = this->hosts[index];
        if (!host.isUp || host.isFrozen) {
            continue;
        }
        this->reportNew(index);
        if (host.mustRead && this->decides(host) && !this->isStoreAway(host)) {
            host.mustRead = false;
            for (const auto &[stream, begun] : this->saved) {
                BegunStream known = stream;
                known.since = this->steady(host) - (this->now() - begun);
                host.origins->onKnown(known, this->steady(host));
            }
        }
        host.registry->expire(this->steady(host));
        if (!host.uplink && this->now() >= host.readFrom && this->random.chance(0.3)) {
            this->read(index);
        }
    }
    this->events.after(tick, [this] { this->onTick(); });
}

bool World::serves(const std::string &engine) const
{
    const auto found = this->engines.find(engine);
    return found != this->engines.end()
        && (!found->second.removedAt || this->now() < *found->second.removedAt + lingers);
}

// An engine that the host lists, and that serves.
std::optional<std::string> World::engineOf(const Host &host, const std::optional<std::string> &version)
{
    std::vector<std::string> found;
    for (const EndpointRecord *record : host.registry->usable(service)) {
        if ((!version || record->version.value() == *version) && this->serves(record->id.value())) {
            found.push_back(record->id.value());
        }
    }
    return found.empty() ? std::nullopt : std::optional(found[this->random.below(found.size())]);
}

std::optional<std::size_t> World::anyHost()
{
    std::vector<std::size_t> found;
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        if (this->hosts[index].isUp) {
            found.push_back(index);
        }
    }
    return found.empty() ? std::nullopt : std::optional(found[this->random.below(found.size())]);
}

// A caller begins a stream, which breaks off soon and is taken up, most often at another host.
void World::begin()
{
    this->events.after(newStreamEvery, [this] { this->begin(); });
    const auto index = this->anyHost();
    if (!index) {
        return;
    }
    this->atHost(*index, 0ms, [this, index = *index] {
        Host &host = this->hosts[index];
        if (host.isWaiting || (host.uplink && (host.isCut || !this->hosts[*host.uplink].isUp))) {
            return;
        }
        const Host &decider = host.uplink ? this->hosts[*host.uplink] : host;
        const auto engine = this->engineOf(decider, std::nullopt);
        const EndpointRecord *record = engine ? host.registry->find(EndpointId(*engine)) : nullptr;
        if (record == nullptr) {
            return;
        }
        const auto stream = std::make_shared<Stream>();
        stream->id = RequestId(fmt::format("r{}", ++this->number));
        stream->version = this->engines.at(*engine).version;
        stream->begun = this->now();
        stream->host = index;
        ++this->result.begun;
        host.origins->onBegun({stream->id, service, record->version, this->steady(host)}, this->steady(host));
        if (host.uplink) {
            this->transmit(index, *host.uplink, [this, to = *host.uplink, stream, version = record->version] {
                Host &leading = this->hosts[to];
                leading.origins->onBegun({stream->id, service, version, this->steady(leading)}, this->steady(leading));
            });
        }
        const Duration lasting = this->random.between(20ms, this->random.chance(0.5) ? 300ms : 4s);
        this->events.after(lasting, [this, stream] { this->takeUp(stream, tries, false); });
    });
}

// Whether the users' rule asks that it goes on: at a host in touch, while two engines of the version serve.
bool World::mustGoOn(const StreamPtr &stream, std::size_t index) const
{
    const Host &host = this->hosts[index];
    const auto isServing = [&](const auto &entry) {
        return entry.second.version == stream->version && !entry.second.removedAt
            && this->now() > entry.second.listedFrom + contactLimit;
    };
    const bool isInTouch = host.isUp && !host.isFrozen && !host.isCut && this->now() >= host.inTouchFrom
        && this->now() >= std::max({this->storeAwayUntil, host.storeCutUntil, host.storeSlowUntil}) + contactLimit;
    const bool isLost = this->allKilledAt != Instant() && stream->begun > this->allKilledAt - 2 * saveInterval
        && stream->begun <= this->allKilledAt;
    return isInTouch && !isLost && std::count_if(this->engines.begin(), this->engines.end(), isServing) >= 2;
}

void World::takeUp(const StreamPtr &stream, int triesLeft, bool isCounted)
{
    const auto index = this->anyHost();
    if (!index || triesLeft == 0 || this->now() > stream->begun + 14s) {
        return;
    }
    const auto request = std::make_shared<TakeUp>();
    request->stream = stream;
    request->host = *index;
    request->triesLeft = triesLeft;
    request->isCounted = !isCounted && this->mustGoOn(stream, *index);
    this->result.takenUp += request->isCounted ? 1 : 0;
    request->answer = [this, request = request.get(), stream, isCounted](const std::optional<std::string> &version) {
        if (!version) {
            const bool wasCounted = isCounted || request->isCounted;
            this->events.after(
                this->random.between(100ms, 700ms),
                [this, stream, left = request->triesLeft, wasCounted] { this->takeUp(stream, left - 1, wasCounted); });
            return;
        }
        this->result.goneOn += isCounted || request->isCounted ? 1 : 0;
        if (*version != stream->version) {
            ++this->result.joined;
            this->note(fmt::format("{} of {}, begun at host {}, goes on at {} at host {}", stream->id.value(),
                                   stream->version, stream->host, *version, request->host));
        }
    };
    this->atHost(*index, 0ms, [this, request] {
        request->asked = this->now();
        this->submit(request->host, request);
    });
}

void World::submit(std::size_t index, const TakeUpPtr &request)
{
    Host &host = this->hosts[index];
    if (host.isWaiting) {
        host.waiting.push_back(request);
        return;
    }
    if (!host.uplink) {
        this->decide(index, request, request->asked);
        return;
    }
    const auto own = host.origins->lookUp(request->stream->id, service, request->asked, this->steady(host));
    const auto *found = std::get_if<version_lookup::Found>(&own);
    const bool isKnown = found != nullptr && found->isReported;
    const std::size_t to = *host.uplink;
    if (host.isCut || this->hosts[to].isCut || this->hosts[to].isFrozen) {
        host.waiting.push_back(request); // until the link counts as lost
    }
    this->transmit(index, to, [this, to, request, version = isKnown ? found->version.value() : std::string(), isKnown] {
        if (isKnown) {
            this->answer(request, to, version);
        } else if (this->hosts[to].uplink || this->hosts[to].isWaiting) {
            this->answer(request, to, std::nullopt);
        } else {
            this->decide(to, request, this->now());
        }
    });
}

void World::decide(std::size_t index, const TakeUpPtr &request, Instant asked)
{
    Host &host = this->hosts[index];
    const VersionLookup found = host.origins->lookUp(request->stream->id, service, asked, this->steady(host));
    std::visit(
        Overloaded{[&](const version_lookup::Found &known) { this->answer(request, index, known.version.value()); },
                   [&](version_lookup::Unconfirmed) {
                       if (this->day.trustsOldLists) {
                           const auto only = host.origins->onlyVersion(service, this->steady(host));
                           this->answer(request, index, only->value());
                           return;
                       }
                       host.unconfirmed.emplace_back(request, asked);
                       this->check(index);
                   },
                   [&](version_lookup::Unknown) {
                       this->answer(request, index, std::nullopt);
                   }},
        found);
}

void World::answer(const TakeUpPtr &request, std::size_t decider, const std::optional<std::string> &version)
{
    const auto engine = version ? this->engineOf(this->hosts[decider], version) : std::nullopt;
    const auto deliver = [this, request, engine] {
        if (!request->answer) {
            return; // by another host before
        }
        const auto reply = std::exchange(request->answer, nullptr);
        reply(engine ? std::optional(this->engines.at(*engine).version) : std::nullopt);
    };
    if (decider == request->host) {
        deliver();
    } else {
        this->transmit(decider, request->host, deliver);
    }
}

void World::release(const StreamDay::Release &planned)
{
    for (int count = 0; count < planned.engines; ++count) {
        const std::string id = fmt::format("{}-{}", planned.version, count);
        const Duration offset = planned.gap * count;
        this->events.at(planned.at + offset, [this, id, planned] {
            this->engines[id] = {planned.version, this->now(), std::nullopt};
            this->table.set(id, planned.version);
        });
        if (planned.serving > 0ms) {
            this->events.at(planned.at + offset + planned.serving, [this, id] {
                this->engines.at(id).removedAt = this->now();
                this->table.remove(id);
            });
        }
    }
}

void World::strike(const StreamDay::PlannedFault &planned)
{
    std::size_t index = this->random.below(this->hosts.size());
    if (planned.target == StreamDay::Target::Leader) {
        index = this->leader;
    } else if (planned.target == StreamDay::Target::Deputy && this->deputy) {
        index = *this->deputy;
    }
    Host &host = this->hosts[index];
    if (!host.isUp || host.isFrozen || host.isCut) {
        return;
    }
    const Instant until = this->now() + planned.lasting;
    this->note(fmt::format("fault {} at host {}{} for {} ms", static_cast<int>(planned.fault), index,
                           index == this->leader ? ", the leader," : "", planned.lasting.count() / 1000));
    switch (planned.fault) {
    case StreamDay::Fault::Frozen:
    case StreamDay::Fault::Suspended:
        host.isFrozen = true;
        break;
    case StreamDay::Fault::Cut:
        host.isCut = true;
        if (host.uplink) {
            this->atHost(index, silence, [this, index] {
                if (this->hosts[index].isCut) {
                    this->loseOthers(index);
                }
            });
        }
        break;
    case StreamDay::Fault::StoreCut:
        host.storeCutUntil = until;
        return;
    case StreamDay::Fault::StoreSlow:
        host.storeSlowUntil = until;
        return;
    case StreamDay::Fault::StoreAway:
        this->storeAwayUntil = until;
        return;
    case StreamDay::Fault::HistoryGone:
        this->table.dropHistory();
        return;
    case StreamDay::Fault::Killed:
        host.isUp = false;
        ++host.life;
        break;
    case StreamDay::Fault::AllKilled:
        this->allKilledAt = this->now();
        for (Host &each : this->hosts) {
            each.isUp = false;
            ++each.life;
        }
        break;
    }
    this->events.after(silence, [this] { this->elect(); });
    this->events.after(planned.lasting, [this, planned, index] { this->end(planned, index); });
}

void World::end(const StreamDay::PlannedFault &planned, std::size_t index)
{
    Host &host = this->hosts[index];
    switch (planned.fault) {
    case StreamDay::Fault::Frozen:
    case StreamDay::Fault::Suspended:
        if (!host.isFrozen) {
            return;
        }
        host.isFrozen = false;
        host.suspended += planned.fault == StreamDay::Fault::Suspended ? planned.lasting : Duration(0);
        host.inTouchFrom = this->now() + contactLimit;
        // Its links are lost and its lease is over by then, which it may notice before anything else or a moment later.
        if (planned.lasting > silence) {
            host.uplink.reset();
            host.isWaiting = this->random.chance(0.5);
            host.readFrom = this->now() + (this->random.chance(0.5) ? readPause : Duration(0));
            this->atHost(index, deputyWait, [this, index] {
                this->hosts[index].isWaiting = false;
                this->resubmitWaiting(index);
            });
        }
        for (const auto &event : std::exchange(host.deferred, {})) {
            event();
        }
        break;
    case StreamDay::Fault::Cut:
        host.isCut = false;
        host.inTouchFrom = this->now() + contactLimit;
        break;
    case StreamDay::Fault::AllKilled:
        for (std::size_t each = 0; each < this->hosts.size(); ++each) {
            this->startHost(each, false);
        }
        break;
    default:
        this->startHost(index, false);
        break;
    }
    this->events.after(this->random.between(10ms, 700ms), [this] { this->elect(); });
}

StreamDayResult World::run()
{
    this->hosts.resize(static_cast<std::size_t>(this->day.hosts));
    this->events.runUntil(start);
    for (int count = 0; count < firstEngines; ++count) {
        const std::string id = fmt::format("{}-{}", firstVersion, count);
        this->engines[id] = {firstVersion, start, std::nullopt};
        this->table.set(id, firstVersion);
    }
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        this->startHost(index, true);
    }
    this->elect();
    for (const StreamDay::Release &planned : this->day.releases) {
        this->release(planned);
    }
    for (const StreamDay::PlannedFault &planned : this->day.faults) {
        this->events.at(planned.at, [this, planned] { this->strike(planned); });
    }
    this->events.at(trafficFrom, [this] { this->begin(); });
    this->onTick();
    this->events.runUntil(start + length);
    return this->result;
}

} // namespace

StreamDay StreamDay::drawn(std::uint64_t seed)
{
    Random random(seed);
    StreamDay day;
    day.seed = seed;
    day.hosts = 2 + static_cast<int>(random.below(4));
    day.isFirstStart = random.chance(0.7);
    day.isStoreCompact = random.chance(0.5);
    const std::size_t releases = 1 + random.below(3);
    for (std::size_t number = 0; number < releases; ++number) {
        Release release;
        release.version = fmt::format("v{}", number + 2);
        release.at = trafficFrom + random.between(1s, 50s);
        release.engines = 1 + static_cast<int>(random.below(3));
        release.gap = random.between(0ms, 600ms);
        release.serving = random.chance(0.4) ? random.between(500ms, 20s) : Duration(0);
        day.releases.push_back(release);
        // Most faults are close to a release.
        const std::size_t faults = 1 + random.below(4);
        for (std::size_t count = 0; count < faults; ++count) {
            const bool isRare = random.chance(0.15);
            const auto kind = static_cast<Fault>(isRare ? random.below(9) : random.below(5));
            const auto target = static_cast<Target>(random.below(3));
            day.faults.push_back({kind, target, release.at + random.between(-4s, 4s), random.between(200ms, 5s)});
        }
    }
    return day;
}

std::string StreamDay::text() const
{
    std::string text = fmt::format("seed {}: {} hosts, {}\n", this->seed, this->hosts,
                                   this->isFirstStart ? "their first start" : "started again");
    for (const Release &release : this->releases) {
        text += fmt::format("{:8.3f} s  {} engines of {} join, serve for {} ms\n",
                            static_cast<double>((release.at - start).count()) / 1e6, release.engines, release.version,
                            release.serving.count() / 1000);
    }
    return text;
}

StreamDayResult play(const StreamDay &day)
{
    return World(day).run();
}

} // namespace fescuesill
