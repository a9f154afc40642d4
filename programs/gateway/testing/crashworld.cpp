// The world follows LeaderLink and SavedState in what they do with a CrashExchange: hosts report to the leader, the
// leader notifies its deputy once a second and saves what changes, and whoever begins to decide reads that first.
//
// A host counts as in touch unless it is cut off, was so within the contact limit, or has just started. Ends under
// requests of a host that is cut off count once it is back.

#include "programs/gateway/testing/crashworld.h"

#include "programs/gateway/crashexchange.h"
#include "programs/gateway/doubtfulcrashes.h"
#include "testing/bench/eventqueue.h"

#include <algorithm>
#include <fmt/format.h>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace fescuesill
{
namespace
{

constexpr Instant start{1h};
constexpr Duration length{70s};
constexpr Duration contactLimit{3s};
constexpr Duration settled{500ms}; // after its start, a host has read what is saved
constexpr Duration detection{700ms}; // of a lost leader
constexpr Duration tick{50ms};
constexpr Duration saveInterval{250ms};
constexpr Duration deputyInterval{1s};
constexpr Duration readRetry{1s};
constexpr Duration registryLag{400ms};
constexpr Duration rowExpiry{3400ms}; // of an endpoint that is silent
constexpr Duration replyLimit{100ms};
constexpr Duration firstEventAfter{60ms};
constexpr Duration deadline{4s};
constexpr Duration reportTime{10ms};
constexpr std::size_t rackSize = 4;
constexpr int crashesOfRequest = 3;
constexpr int crashesOfPart = 5;
const std::string firstPart = "first";
const std::string deadlyPart = "deadly";

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

RequestTraits traitsOf(const std::string &content, const std::vector<std::string> &parts)
{
    RequestTraits traits{RequestTrait::wholeRequest(content)};
    for (const std::string &part : parts) {
        traits.push_back(RequestTrait::promptPart(part));
    }
    return traits;
}

struct Request {
    RequestTraits traits;
    bool isDeadly = false;
    bool isPopular = false;
    int attempts = 1;
};

class World
{
public:
    explicit World(const CrashDay &given)
        : day(given)
        , random(given.seed * 2654435761U + 1)
    {
    }
    CrashDayResult run();

private:
    struct Endpoint;
    struct Run {
        std::size_t host;
        std::uint64_t life; // of the host
        Request request;
        Instant begun;
        EndpointStart at;
        bool isOver = false;
    };
    using RunPtr = std::shared_ptr<Run>;
    struct RowChange {
        Instant at;
        std::optional<EndpointRecord> row;
    };
    struct Endpoint {
        std::string address;
        EndpointRecord record;
        bool isUp = true;
        std::vector<RowChange> rows;
        std::vector<RunPtr> runs;
    };
    struct Host {
        std::unique_ptr<CrashExchange> exchange;
        std::unique_ptr<DoubtfulCrashes> doubtful;
        std::uint64_t life = 0;
        bool isUp = false;
        bool isCut = false;
        Instant inTouchFrom;
        std::optional<std::size_t> uplink;
        bool isDeciding = false;
        bool mustRead = false;
        bool isCalling = false;
        std::uint64_t saved = 0;
        std::uint64_t reported = 0; // to the deputy
        Instant lastWrite;
        Instant lastReport;
        std::uint64_t lastNumber = 0;
        std::map<std::uint64_t, std::function<void()>> unanswered;
    };

    Instant now() const
    {
        return this->events.now();
    }
    bool isStoreAway() const
    {
        return this->now() < this->storeAwayUntil;
    }
    void note(const std::string &text);

    void startHost(std::size_t index, bool isFirst);
    void killHost(std::size_t index, Duration lasting);
    void elect();
    void follow(std::size_t index, std::optional<std::size_t> leader);
    void decide(std::size_t index);
    void transmit(std::size_t from, std::size_t to, const peer::Message &message);
    void receive(std::size_t from, std::size_t to, const peer::Message &message);
    void onTick();
    void readSaved(std::size_t index);
    void strike(const CrashDay::PlannedFault &planned);
    bool isAllSaved() const;

    std::vector<EndpointRecord> listed(const std::string &address) const;
    // An endpoint that runs, and the start of it that the registry lists; it turns others away.
    std::pair<Endpoint *, EndpointStart> choose();
    void call(std::size_t host, const Request &request);
    void send(std::size_t host, const Request &request);
    void finish(Endpoint &endpoint, const RunPtr &run);
    void crash(Endpoint &endpoint);
    void onBrokenOff(Endpoint &endpoint, const RunPtr &run);
    void onCrashKnown(const RunPtr &run, const SuspectedRun &suspected);
    SuspectedRun suspectedBy(const Run &run) const;
    void backAgain(Endpoint &endpoint);

    std::optional<std::size_t> anyHost();
    void callDeadly();
    void callSound();
    void callPopular();
    int crashLimit() const
    {
        return this->day.cause == CrashDay::Cause::Request ? crashesOfRequest : crashesOfPart;
    }
    // When the last of the crashes that may happen was known to hosts in touch.
    std::optional<Instant> limitReached() const;

    CrashDay day;
    Random random;
    bench::EventQueue events;
    std::vector<Host> hosts;
    std::vector<Endpoint> endpoints;
    std::size_t leader = 0;
    std::optional<std::size_t> deputy;
    Instant storeAwayUntil;
    std::optional<peer::CrashesKnown> row;
    std::map<std::pair<std::size_t, std::size_t>, Instant> lastDelivery;
    struct End {
        Instant shown; // to the host of the request
        std::size_t host;
    };
    std::vector<End> ends; // under the cause
    Instant lastEnd; // that may be shown yet
    std::uint64_t number = 0; // of requests that differ
    CrashDayResult result;
};

void World::note(const std::string &text)
{
    this->result.history +=
        fmt::format("{:8.3f} s  {}\n", static_cast<double>((this->now() - start).count()) / 1e6, text);
}

void World::startHost(std::size_t index, bool isFirst)
{
    Host &host = this->hosts[index];
    const std::uint64_t life = host.life + 1;
    host = Host{};
    host.life = life;
    host.isUp = true;
    host.mustRead = !isFirst;
    host.inTouchFrom = isFirst ? start : std::max(this->now(), this->storeAwayUntil + readRetry) + settled;
    host.exchange = std::make_unique<CrashExchange>();
    host.doubtful =
        std::make_unique<DoubtfulCrashes>([this](const std::string &address) { return this->listed(address); });
    host.exchange->setBlockedHandler([] {});
    host.exchange->setCountedHandler([this, index](std::uint64_t counted) {
        const auto waiting = this->hosts[index].unanswered.find(counted);
        if (waiting != this->hosts[index].unanswered.end()) {
            const auto goOn = std::move(waiting->second);
            this->hosts[index].unanswered.erase(waiting);
            goOn();
        }
    });
    host.exchange->setFollowers([this, index](const peer::Message &message) {
        for (std::size_t other = 0; other < this->hosts.size(); ++other) {
            if (this->hosts[other].uplink == index) {
                this->transmit(index, other, message);
            }
        }
    });
}

void World::killHost(std::size_t index, Duration lasting)
{
    Host &host = this->hosts[index];
    if (!host.isUp) {
        return;
    }
    this->note(fmt::format("host {} is killed{}", index, index == this->leader ? ", the leader" : ""));
    host.isUp = false;
    host.uplink.reset();
    ++host.life;
    for (Endpoint &endpoint : this->endpoints) {
        const auto isLost = [&](const RunPtr &run) {
            return run->host == index;
        };
        endpoint.runs.erase(std::remove_if(endpoint.runs.begin(), endpoint.runs.end(), isLost), endpoint.runs.end());
    }
    this->events.after(detection, [this] { this->elect(); });
    this->events.after(lasting, [this, index] {
        this->startHost(index, false);
        this->note(fmt::format("host {} is back", index));
        this->elect();
    });
}

// A link that is lost is noticed a while later; those that remain follow the leader, its deputy or the first of them.
void World::elect()
{
    const auto isReachable = [this](std::size_t index) {
        return this->hosts[index].isUp && !this->hosts[index].isCut;
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
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        Host &host = this->hosts[index];
        if (!host.isUp) {
            continue;
        }
        if (index == next) {
            this->decide(index);
        } else if (host.isCut) {
            host.isDeciding = false;
            this->follow(index, std::nullopt);
        } else {
            host.isDeciding = false;
            this->follow(index, next);
            this->deputy = this->deputy.value_or(index);
        }
    }
}

void World::decide(std::size_t index)
{
    Host &host = this->hosts[index];
    if (host.isDeciding) {
        return;
    }
    host.isDeciding = true;
    host.mustRead = true;
    host.uplink.reset();
    host.exchange->setUplink({}, this->now());
}

void World::follow(std::size_t index, std::optional<std::size_t> other)
{
    Host &host = this->hosts[index];
    if (host.uplink == other) {
        return;
    }
    host.uplink = other;
    if (!other) {
        host.exchange->setUplink({}, this->now());
        return;
    }
    host.exchange->setUplink(
        [this, index, to = *other](const peer::Message &message) { this->transmit(index, to, message); }, this->now());
    this->hosts[*other].exchange->sendTo(
        [this, index, from = *other](const peer::Message &message) { this->transmit(from, index, message); },
        this->now());
}

// In order on each link. What is on its way is lost with either host and with the link.
void World::transmit(std::size_t from, std::size_t to, const peer::Message &message)
{
    Instant &last = this->lastDelivery[{from, to}];
    last = std::max(last + 1us, this->now() + this->random.between(200us, 3ms));
    const std::uint64_t lifeFrom = this->hosts[from].life;
    const std::uint64_t lifeTo = this->hosts[to].life;
    this->events.at(last, [this, from, to, lifeFrom, lifeTo, message] {
        const Host &sender = this->hosts[from];
        const Host &receiver = this->hosts[to];
        const bool isLinked = sender.uplink == to || receiver.uplink == from;
        if (isLinked && !sender.isCut && !receiver.isCut && sender.life == lifeFrom && receiver.life == lifeTo) {
            this->receive(from, to, message);
        }
    });
}

void World::receive(std::size_t from, std::size_t to, const peer::Message &message)
{
    CrashExchange &exchange = *this->hosts[to].exchange;
    const Instant now = this->now();
    const auto reply = [this, from, to](const peer::Message &answer) {
        this->transmit(to, from, answer);
    };
    if (const auto *crashed = std::get_if<peer::EndpointCrashed>(&message)) {
        exchange.onReported(reply, *crashed, now);
    } else if (const auto *known = std::get_if<peer::CrashesKnown>(&message)) {
        exchange.onMessage(*known, now);
    } else if (const auto *counted = std::get_if<peer::CrashCounted>(&message)) {
        exchange.onMessage(*counted);
    } else if (const auto *watched = std::get_if<peer::TraitsWatched>(&message)) {
        exchange.onMessage(*watched, now);
    } else if (const auto *served = std::get_if<peer::TraitsServed>(&message)) {
        exchange.onMessage(*served, now);
    } else if (const auto *blocked = std::get_if<peer::RequestsBlocked>(&message)) {
        exchange.onMessage(*blocked, now);
    }
}

void World::readSaved(std::size_t index)
{
    Host &host = this->hosts[index];
    host.isCalling = true;
    const std::uint64_t life = host.life;
    this->events.after(this->random.between(3ms, 30ms), [this, index, life] {
        Host &reader = this->hosts[index];
        if (reader.life != life) {
            return;
        }
        if (this->isStoreAway()) {
            reader.mustRead = reader.isDeciding;
            this->events.after(readRetry, [this, index, life] {
                this->hosts[index].isCalling = this->hosts[index].isCalling && this->hosts[index].life != life;
            });
            return;
        }
        reader.isCalling = false;
        reader.mustRead = false;
        if (this->row) {
            reader.exchange->onMessage(*this->row, this->now());
        }
    });
}

void World::onTick()
{
    const Instant now = this->now();
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        Host &host = this->hosts[index];
        if (!host.isUp) {
            continue;
        }
        for (const SuspectedRun &run : host.doubtful->takeConfirmed(now)) {
            this->note(fmt::format("host {} finds {} {} ended", index, run.run.endpoint.endpoint.value(),
                                   run.run.endpoint.incarnation));
            host.exchange->report(run, now);
        }
        host.exchange->onTick(now);
        if (host.mustRead && !host.isCalling) {
            this->readSaved(index);
        }
        const std::uint64_t revision = host.exchange->revision();
        const bool isWriteDue = host.isDeciding && !host.mustRead && !host.isCalling && revision != host.saved;
        if (isWriteDue && now >= host.lastWrite + saveInterval && !this->isStoreAway()) {
            host.lastWrite = now;
            host.saved = revision;
            this->row = host.exchange->known(now);
        }
        const bool isReportDue = index == this->leader && this->deputy && revision != host.reported;
        if (isReportDue && now >= host.lastReport + deputyInterval) {
            host.lastReport = now;
            host.reported = revision;
            this->transmit(index, *this->deputy, host.exchange->known(now));
        }
    }
    this->events.after(tick, [this] { this->onTick(); });
}

// What no process could have kept must not be lost: a crash that only hosts know that are lost at once.
bool World::isAllSaved() const
{
    const Host &host = this->hosts[this->leader];
    const bool isQuiet = this->now() - this->lastEnd > detection;
    return host.isUp && !this->isStoreAway() && host.saved == host.exchange->revision() && isQuiet;
}

void World::strike(const CrashDay::PlannedFault &planned)
{
    using Fault = CrashDay::Fault;
    const bool losesLeader = planned.fault == Fault::LeaderKilled || planned.fault == Fault::AllKilled;
    const bool isOfHosts = planned.fault != Fault::StoreAway && planned.fault != Fault::RackLost;
    const bool mustWait = losesLeader && !this->isAllSaved();
    const bool areAllUp =
        std::all_of(this->hosts.begin(), this->hosts.end(), [](const Host &host) { return host.isUp && !host.isCut; });
    if (mustWait || (isOfHosts && !areAllUp)) {
        this->events.after(200ms, [this, planned] { this->strike(planned); });
        return;
    }
    switch (planned.fault) {
    case Fault::LeaderKilled:
        this->killHost(this->leader, planned.lasting);
        break;
    case Fault::HostKilled:
        this->killHost((this->leader + 1 + this->random.below(this->hosts.size() - 1)) % this->hosts.size(),
                       planned.lasting);
        break;
    case Fault::AllKilled:
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            this->killHost(index, planned.lasting + this->random.between(0ms, 400ms));
        }
        break;
    case Fault::HostCut: {
        const std::size_t index = this->random.below(this->hosts.size());
        this->note(fmt::format("host {} is cut off", index));
        this->hosts[index].isCut = true;
        this->events.after(detection, [this] { this->elect(); });
        this->events.after(planned.lasting, [this, index] {
            this->note(fmt::format("host {} is reached again", index));
            this->hosts[index].isCut = false;
            this->hosts[index].inTouchFrom = std::max(this->hosts[index].inTouchFrom, this->now() + contactLimit);
            this->elect();
        });
        break;
    }
    case Fault::RackLost: {
        this->note("a rack is lost");
        const std::size_t first = this->random.below(this->endpoints.size());
        for (std::size_t index = 0; index < rackSize; ++index) {
            Endpoint &endpoint = this->endpoints[(first + index) % this->endpoints.size()];
            if (endpoint.isUp) {
                this->crash(endpoint);
            }
        }
        break;
    }
    case Fault::StoreAway:
        this->note("the store is away");
        this->storeAwayUntil = this->now() + planned.lasting;
        for (Host &host : this->hosts) {
            if (host.mustRead) {
                host.inTouchFrom = this->storeAwayUntil + readRetry + settled;
            }
        }
        break;
    }
}

std::vector<EndpointRecord> World::listed(const std::string &address) const
{
    std::vector<EndpointRecord> found;
    for (const Endpoint &endpoint : this->endpoints) {
        std::optional<EndpointRecord> row;
        for (const RowChange &change : endpoint.rows) {
            row = change.at + registryLag <= this->now() ? change.row : row;
        }
        if (row && row->address == address) {
            found.push_back(*row);
        }
    }
    return found;
}

std::pair<World::Endpoint *, EndpointStart> World::choose()
{
    for (int tries = 0; tries < 20; ++tries) {
        Endpoint &endpoint = this->endpoints[this->random.below(this->endpoints.size())];
        const auto rows = this->listed(endpoint.address);
        if (endpoint.isUp && !rows.empty() && rows.front().id == endpoint.record.id) {
            return {&endpoint, {rows.front().id, rows.front().incarnation}};
        }
    }
    return {nullptr, {}};
}

std::optional<Instant> World::limitReached() const
{
    std::vector<Instant> known;
    for (const End &end : this->ends) {
        const Host &host = this->hosts[end.host];
        if (!host.isCut) {
            known.push_back(std::max(end.shown, host.inTouchFrom - contactLimit));
        }
    }
    const auto limit = static_cast<std::size_t>(this->crashLimit());
    if (known.size() < limit) {
        return std::nullopt;
    }
    std::sort(known.begin(), known.end());
    return known[limit - 1];
}

void World::call(std::size_t host, const Request &request)
{
    const auto blocked = this->hosts[host].exchange->blockedFor(request.traits, this->now());
    const bool isTrial = blocked && this->hosts[host].exchange->takeTrial(request.traits, this->now());
    const bool isRefused = blocked && !isTrial;
    const auto limit = this->limitReached();
    if (request.isPopular) {
        ++this->result.popularAsked;
        this->result.popularRefused += isRefused ? 1 : 0;
    } else if (!request.isDeadly && limit && this->now() > *limit + 2 * contactLimit) {
        ++this->result.soundAsked;
        this->result.soundRefused += isRefused ? 1 : 0;
    }
    if (isTrial) {
        this->note(fmt::format("host {} makes a trial", host));
    }
    if (!isRefused) {
        this->send(host, request);
    }
}

void World::send(std::size_t host, const Request &request)
{
    const auto [endpoint, at] = this->choose();
    if (endpoint == nullptr) {
        return;
    }
    const auto run = std::make_shared<Run>(Run{host, this->hosts[host].life, request, this->now(), at});
    endpoint->runs.push_back(run);
    if (request.isDeadly) {
        const auto limit = this->limitReached();
        const Host &sender = this->hosts[host];
        const bool isInTouch = !sender.isCut && this->now() >= sender.inTouchFrom;
        const bool isTooLate = limit && isInTouch && this->now() > *limit + contactLimit;
        this->result.sentTooLate += isTooLate ? 1 : 0;
        this->note(fmt::format("host {} sends to {} {}{}", host, run->at.endpoint.value(), run->at.incarnation,
                               isTooLate ? ", TOO LATE" : ""));
    }
    const bool ends = request.isDeadly && this->random.chance(this->day.crashShare);
    Duration took = request.isPopular ? this->random.between(10ms, 40ms) : this->random.between(300ms, 1500ms);
    if (ends) {
        took = this->day.isLate ? this->random.between(1500ms, 3s) : this->random.between(30ms, 180ms);
    }
    this->events.after(took, [this, endpoint = endpoint, run, ends] {
        if (run->isOver) {
            return;
        }
        if (ends) {
            this->crash(*endpoint);
        } else {
            this->finish(*endpoint, run);
        }
    });
}

void World::finish(Endpoint &endpoint, const RunPtr &run)
{
    run->isOver = true;
    endpoint.runs.erase(std::remove(endpoint.runs.begin(), endpoint.runs.end(), run), endpoint.runs.end());
    Host &host = this->hosts[run->host];
    if (host.isUp && host.life == run->life) {
        if (run->request.isDeadly) {
            this->note(fmt::format("host {} is answered by {}", run->host, run->at.endpoint.value()));
        }
        const bool wasRead = this->day.stage != CrashDay::Stage::Plain && !run->request.isPopular;
        host.exchange->onServed(run->request.traits, run->begun, wasRead, this->now());
    }
}

void World::crash(Endpoint &endpoint)
{
    const auto isOfCause = [](const RunPtr &run) {
        return run->request.isDeadly;
    };
    const auto last = std::find_if(endpoint.runs.rbegin(), endpoint.runs.rend(), isOfCause);
    const RunPtr cause = last == endpoint.runs.rend() ? nullptr : *last;
    if (cause) {
        ++this->result.crashes;
        this->note(fmt::format("{} {} ends under it, the {}th", cause->at.endpoint.value(), cause->at.incarnation,
                               this->result.crashes));
    }
    endpoint.isUp = false;
    const std::vector<RunPtr> runs = std::exchange(endpoint.runs, {});
    const bool isSilent = this->day.ending == CrashDay::Ending::Silent || this->day.ending == CrashDay::Ending::Gone;
    for (const RunPtr &run : runs) {
        run->isOver = true;
        const Instant seen = isSilent ? run->begun + deadline : this->now() + this->random.between(500us, 5ms);
        this->events.at(seen, [this, &endpoint, run] { this->onBrokenOff(endpoint, run); });
    }
    Duration away{0};
    Instant shown = this->now(); // at the latest
    switch (this->day.ending) {
    case CrashDay::Ending::Visible:
        away = this->random.between(1s, 6s);
        break;
    case CrashDay::Ending::BackAtOnce:
        shown += registryLag;
        break;
    case CrashDay::Ending::Silent:
        away = this->random.between(1s, 3s);
        shown += std::max<Duration>(deadline, away + registryLag);
        break;
    case CrashDay::Ending::Gone:
        away = rowExpiry + 20s;
        shown += std::max<Duration>(deadline, rowExpiry + registryLag);
        break;
    }
    this->lastEnd = std::max(this->lastEnd, shown);
    if (cause) { // a host that is killed before it can have reported it has told nobody
        this->events.at(shown + reportTime, [this, cause] {
            if (this->hosts[cause->host].life == cause->life) {
                this->ends.push_back({this->now(), cause->host});
            }
        });
    }
    if (away > rowExpiry) {
        this->events.after(rowExpiry, [this, &endpoint] { endpoint.rows.push_back({this->now(), std::nullopt}); });
    }
    this->events.after(away, [this, &endpoint] { this->backAgain(endpoint); });
}

void World::backAgain(Endpoint &endpoint)
{
    ++endpoint.record.incarnation;
    if (this->random.chance(0.5)) {
        endpoint.record.id = EndpointId(fmt::format("{}'", endpoint.record.id.value()));
    }
    endpoint.isUp = true;
    endpoint.rows.push_back({this->now(), endpoint.record});
}

SuspectedRun World::suspectedBy(const Run &run) const
{
    const Duration written = this->now() - run.begun - firstEventAfter;
    const bool isReading = this->day.stage == CrashDay::Stage::Reader;
    return {{run.at, run.begun, this->now()}, suspectedTraits(run.request.traits, written, isReading)};
}

void World::onBrokenOff(Endpoint &endpoint, const RunPtr &run)
{
    Host &host = this->hosts[run->host];
    if (!host.isUp || host.life != run->life) {
        return;
    }
    const bool isEnded = this->day.ending == CrashDay::Ending::Visible && !endpoint.isUp;
    const SuspectedRun suspected = this->suspectedBy(*run);
    if (!isEnded) {
        host.doubtful->add(endpoint.address, suspected);
        return;
    }
    this->events.after(this->random.between(200us, 2ms), [this, run, suspected] {
        const Host &prober = this->hosts[run->host];
        if (prober.isUp && prober.life == run->life) {
            this->onCrashKnown(run, suspected);
        }
    });
}

// A call with attempts left goes on once the host that counts has replied.
void World::onCrashKnown(const RunPtr &run, const SuspectedRun &suspected)
{
    Host &host = this->hosts[run->host];
    Request next = run->request;
    --next.attempts;
    const auto goOn = [this, index = run->host, life = host.life, next] {
        const Host &sender = this->hosts[index];
        const bool isAlive = sender.isUp && sender.life == life;
        if (isAlive && next.attempts > 0 && !sender.exchange->blockedFor(next.traits, this->now())) {
            this->send(index, next);
        }
    };
    if (!host.exchange->hasUplink()) {
        host.exchange->report(suspected, this->now());
        goOn();
        return;
    }
    const std::uint64_t waiting = ++host.lastNumber;
    host.unanswered[waiting] = goOn;
    this->events.after(replyLimit, [this, index = run->host, life = host.life, waiting, goOn] {
        Host &sender = this->hosts[index];
        if (sender.life == life && sender.unanswered.erase(waiting) > 0) {
            goOn();
        }
    });
    host.exchange->report(suspected, this->now(), waiting);
}

std::optional<std::size_t> World::anyHost()
{
    for (int tries = 0; tries < 20; ++tries) {
        const std::size_t index = this->random.below(this->hosts.size());
        if (this->hosts[index].isUp) {
            return index;
        }
    }
    return std::nullopt;
}

void World::callDeadly()
{
    for (int copy = 0; copy < this->day.copies; ++copy) {
        Request request;
        request.isDeadly = true;
        request.attempts = this->day.attempts;
        if (this->day.cause == CrashDay::Cause::Part) {
            const std::string unique = fmt::format("d{}", ++this->number);
            request.traits = traitsOf(unique, {firstPart, deadlyPart, unique});
        } else if (this->day.stage == CrashDay::Stage::Plain) {
            request.traits = traitsOf("deadly", {});
        } else {
            request.traits = traitsOf("deadly", {firstPart, "own"});
        }
        if (const auto host = this->anyHost()) {
            this->call(*host, request);
        }
    }
    this->events.after(this->random.between(this->day.pause / 2, this->day.pause * 3 / 2),
                       [this] { this->callDeadly(); });
}

void World::callSound()
{
    const std::string unique = fmt::format("s{}", ++this->number);
    const bool isPlain = this->day.stage == CrashDay::Stage::Plain;
    const auto parts = isPlain ? std::vector<std::string>{} : std::vector<std::string>{firstPart, unique};
    if (const auto host = this->anyHost()) {
        this->call(*host, {traitsOf(unique, parts)});
    }
    this->events.after(this->random.between(20ms, 80ms), [this] { this->callSound(); });
}

void World::callPopular()
{
    if (const auto host = this->anyHost()) {
        this->call(*host, {traitsOf("popular", {}), false, true});
    }
    this->events.after(this->random.between(100ms, 300ms), [this] { this->callPopular(); });
}

CrashDayResult World::run()
{
    this->events.runUntil(start);
    this->hosts.resize(static_cast<std::size_t>(this->day.hosts));
    this->endpoints.resize(static_cast<std::size_t>(this->day.endpoints));
    for (std::size_t index = 0; index < this->endpoints.size(); ++index) {
        Endpoint &endpoint = this->endpoints[index];
        endpoint.address = fmt::format("10.0.0.{}:80", index + 1);
        endpoint.record.id = EndpointId(fmt::format("e{}", index));
        endpoint.record.incarnation = 1;
        endpoint.record.address = endpoint.address;
        endpoint.rows.push_back({Instant(), endpoint.record});
    }
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        this->startHost(index, true);
    }
    this->elect();
    this->onTick();
    this->events.after(1s, [this] { this->callSound(); });
    this->events.after(1s, [this] { this->callPopular(); });
    this->events.after(2s, [this] { this->callDeadly(); });
    for (const CrashDay::PlannedFault &planned : this->day.faults) {
        this->events.at(planned.at, [this, planned] { this->strike(planned); });
    }
    this->events.runUntil(start + length);
    return this->result;
}

template<typename Value>
Value drawnOf(Random &random, std::initializer_list<Value> values)
{
    return *(values.begin() + random.below(values.size()));
}

} // namespace

CrashDay CrashDay::drawn(std::uint64_t seed)
{
    Random random(seed);
    CrashDay day;
    day.seed = seed;
    day.hosts = 3 + static_cast<int>(random.below(4));
    day.endpoints = 8 + static_cast<int>(random.below(10));
    day.stage = drawnOf(random, {Stage::Plain, Stage::Reader, Stage::Writer, Stage::Writer});
    day.ending = drawnOf(random, {Ending::Visible, Ending::Visible, Ending::BackAtOnce});
    day.attempts = drawnOf(random, {1, 1, 2, 3});
    day.pause = random.between(50ms, 2s);
    const std::size_t faults = random.below(4);
    for (std::size_t index = 0; index < faults; ++index) {
        const auto fault = drawnOf(random,
                                   {Fault::LeaderKilled, Fault::HostKilled, Fault::AllKilled, Fault::HostCut,
                                    Fault::StoreAway, Fault::RackLost});
        day.faults.push_back({fault, start + random.between(2s, 50s), random.between(500ms, 8s)});
    }
    return day;
}

std::string CrashDay::text() const
{
    static const char *const stages[] = {"plain", "reader", "writer"};
    static const char *const endings[] = {"visible", "back at once", "silent", "gone"};
    static const char *const faultNames[] = {"leader killed", "host killed", "all killed",
                                             "host cut",      "store away",  "rack lost"};
    std::string text =
        fmt::format("seed {}: {} at {} hosts, {}, {}, share {}{}, {} copies, {} attempts, every {} ms", this->seed,
                    this->cause == Cause::Request ? "request" : "part", this->hosts,
                    stages[static_cast<int>(this->stage)], endings[static_cast<int>(this->ending)], this->crashShare,
                    this->isLate ? ", late" : "", this->copies, this->attempts, this->pause.count() / 1000);
    for (const PlannedFault &planned : this->faults) {
        text += fmt::format(", {} at {} s", faultNames[static_cast<int>(planned.fault)],
                            static_cast<double>((planned.at - start).count()) / 1e6);
    }
    return text + "\n";
}

CrashDayResult play(const CrashDay &day)
{
    return World(day).run();
}

} // namespace fescuesill
