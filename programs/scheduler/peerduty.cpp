#include "programs/scheduler/peerduty.h"

#include "programs/scheduler/cellboard.h"
#include "programs/scheduler/configfetcher.h"
#include "programs/scheduler/entrylinks.h"
#include "programs/scheduler/livehosts.h"
#include "wire/clock.h"
#include "wire/log.h"
#include "wire/ring.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <mutex>
#include <random>

// Everything here runs on the thread of the PeerNode; other duties reach it through the ring.
//
// Configuration: the platform's duty reads the table every second. The version in force also rides on the probes as the
// fact "config", with the address of a host that has it, so that hosts that cannot reach the table learn that there is
// more and fetch it from there. A host that starts, or was cut off, asks a few live hosts directly before it serves.
//
// Ownership: each tick looks whether members or declaration changed what this host owns and tells the decider.

namespace fescuesill
{
namespace
{

namespace asio = boost::asio;

constexpr const char *configFact = "config";
constexpr Duration fetchPause = 200ms;
constexpr Duration ownershipEvery = 200ms;

MemberInfo selfInfo(const PeerDuty::Options &options)
{
    MemberInfo self;
    self.host = options.host;
    self.dataCentre = options.dataCentre;
    self.address = options.address;
    // A host that starts anew must outrank what is still said of its earlier life.
    self.incarnation = static_cast<std::uint64_t>(sharedNow().time_since_epoch() / 1ms);
    return self;
}

} // namespace

struct PeerDuty::Impl {
    Impl(Options given, Decide callback)
        : options(std::move(given))
        , decide(std::move(callback))
        , random(std::random_device()())
        , membership(selfInfo(options), options.membership, random(), steadyNow())
        , store(options.config, steadyNow())
        , reading(options.reading)
    {
    }

    void open()
    {
        PeerNode::Options node;
        node.listen = this->options.address;
        node.keys = this->options.keys;
        node.host = this->options.host;
        node.maxLinks = this->options.links;
        PeerNode::Handlers handlers;
        handlers.opened = [this](LinkId link) {
            this->onOpened(link);
        };
        handlers.received = [this](LinkId link, peer::Message message) {
            this->onReceived(link, std::move(message));
        };
        handlers.closed = [this](LinkId link) {
            this->onClosed(link);
        };
        auto made = PeerNode::create(node, std::move(handlers));
        if (!made) {
            throw WireError(made.error());
        }
        this->node = std::move(*made);
        this->fetcher = std::make_unique<ConfigFetcher>(
            *this->node, peer::Hello{this->options.host, this->options.dataCentre, false});
        this->entries = std::make_unique<EntryLinks>(*this->node, this->decide, [this] {
            return EntryLinks::News{this->configInForce(true), {liveHostsOf(this->membership)}, {this->board.news()}};
        });
        std::optional<DatagramSeal> seal;
        if (this->options.keys) {
            seal.emplace(*this->options.keys, this->options.host);
        }
        auto socket = ProbeSocket::create(
            this->node->context(), this->options.address, [this](const ProbeMessage &probe) { this->onProbe(probe); },
            std::move(seal));
        if (!socket) {
            throw WireError(socket.error());
        }
        this->probes = std::move(*socket);
        this->timer = std::make_unique<asio::steady_timer>(this->node->context());
        this->ring = std::make_unique<Ring<PeerEvent>>(
            this->options.ring, [this] { asio::post(this->node->context(), [this] { this->drainRing(); }); });
    }

    void start()
    {
        asio::post(this->node->context(), [this] { this->tick(); });
        this->node->start();
    }

    void tick()
    {
        const Instant now = steadyNow();
        this->sendProbes(this->membership.tick(now));
        this->store.onReach(this->membership.reach(), now);
        this->isReadDue = this->reading.isDue(this->readSituation(now), now);
        this->fetcher->dropOld(now);
        this->fetchWhatIsMissing(now);
        this->entries->tellPendingClosed();
        if (now >= this->nextOwnership) {
            this->nextOwnership = now + ownershipEvery;
            this->refreshOwnership();
            this->publishStatus(now);
        }
        if (now >= this->nextNews) {
            this->nextNews = now + this->options.news;
            this->tellEntries();
        }
        this->timer->expires_after(this->options.tick);
        this->timer->async_wait([this](const boost::system::error_code &failed) {
            if (!failed) {
                this->tick();
            }
        });
    }

    void drainRing()
    {
        while (auto event = this->ring->tryPop()) {
            std::visit([this](const auto &alternative) { this->handle(alternative); }, *event);
        }
    }

    void handle(const TableConfig &read)
    {
        this->tableReachable = true;
        if (this->store.onTableRead(read.record, steadyNow())) {
            this->putInForce("table");
        }
        this->noteRead();
    }

    // Failure: a text that does not parse is read here and not passed on; with the age of the read passed on all the
    // same, no other host would look. It shows as a fleet in which one host alone says that the text is malformed.
    void noteRead()
    {
        if (this->store.version() == this->versionInForce) {
            this->reading.onRead(steadyNow());
        }
    }

    TableReading::Situation readSituation(Instant now) const
    {
        const auto owners = this->membership.owners(this->options.dataCentre);
        TableReading::Situation situation;
        situation.isReader = isTableReader(this->options.host, owners, this->options.reading.readers);
        situation.isServing = this->store.service(now) == ConfigService::Serving;
        situation.reachesMajority = this->membership.reach().isMajority();
        situation.isBehind = this->isBehind || this->store.wanted().has_value();
        return situation;
    }

    void handle(const ToldConfig &told)
    {
        if (this->store.onOperatorPush(told.record)) {
            this->putInForce("operator");
        }
    }

    void handle(const TableUnchanged & /*read*/)
    {
        this->tableReachable = true;
        this->store.onTableRead(std::nullopt, steadyNow());
        this->noteRead();
    }

    void handle(const TableFailed & /*failed*/)
    {
        this->tableReachable = false;
        this->store.onTableFailed(steadyNow());
        this->reading.onFailed(steadyNow());
    }

    void handle(const HostList &list)
    {
        this->membership.onHostList(membersOf(list.hosts), steadyNow());
    }

    void handle(const PublishSummary &summary)
    {
        // Whoever owned the cell before may have a clock ahead of ours by the clock margin; that costs as much delay.
        const auto version = static_cast<std::uint64_t>(sharedNow().time_since_epoch() / 1ms);
        this->membership.publish(CellBoard::factName(summary.cell), version, CellBoard::encode(summary.summary),
                                 steadyNow());
    }

    void handle(const LeaveFleet & /*leave*/)
    {
        this->membership.leave();
        this->refreshOwnership();
    }

    void onProbe(const ProbeMessage &probe)
    {
        const auto answers = this->membership.onMessage(probe, steadyNow());
        if (probe.tableReadAge) {
            this->reading.onPeerReadAge(*probe.tableReadAge, steadyNow());
        }
        this->sendProbes(answers);
    }

    void sendProbes(std::vector<ProbeMessage> messages)
    {
        for (ProbeMessage &message : messages) {
            message.tableReadAge = this->reading.age(steadyNow());
            const std::string address = this->membership.addressOf(message.to);
            if (!address.empty()) {
                this->probes->send(address, message);
            }
        }
    }

    void onOpened(LinkId link)
    {
        ++this->links;
        this->fetcher->onOpened(link);
    }

    void onClosed(LinkId link)
    {
        --this->links;
        this->fetcher->onClosed(link);
        this->entries->onClosed(link);
    }

    void onReceived(LinkId link, peer::Message message)
    {
        if (std::holds_alternative<peer::FetchConfig>(message)) {
            this->node->send(link, peer::LiveHosts{liveHostsOf(this->membership)});
            this->node->send(link, this->configInForce(true));
        } else if (const auto *hosts = std::get_if<peer::LiveHosts>(&message)) {
            this->onLiveHosts(*hosts);
        } else if (const auto *config = std::get_if<peer::ConfigInForce>(&message)) {
            this->onFetched(link, *config);
        } else if (const auto *follow = std::get_if<peer::Follow>(&message)) {
            this->entries->onFollow(link, *follow);
        } else {
            this->entries->onMessage(link, std::move(message));
        }
    }

    void onLiveHosts(const peer::LiveHosts &live)
    {
        this->membership.onHostList(membersOf(live.hosts), steadyNow());
    }

    void onFetched(LinkId link, const peer::ConfigInForce &config)
    {
        const std::optional<HostId> host = this->fetcher->take(link);
        const auto record = decodeConfigRecord(config.record);
        if (!host || !record || !config.serving) {
            return;
        }
        if (this->store.onPeerRecord(*host, *record, steadyNow())) {
            this->putInForce("peer");
        }
    }

    void fetchWhatIsMissing(Instant now)
    {
        if (now < this->nextFetch) {
            return;
        }
        this->nextFetch = now + fetchPause;
        const bool wasBehind = this->isBehind;
        this->isBehind = false;
        for (const Fact &fact : this->membership.facts()) {
            if (fact.name == configFact && fact.version > static_cast<std::uint64_t>(this->store.version().value())) {
                this->isBehind = true;
                this->fetcher->fetch(HostId(fact.bytes), fact.bytes, steadyNow());
            }
        }
        // Failure: the host that the fact names dies right after the change, and nobody else is asked. So from the
        // second time on any other is asked too.
        const bool isStillBehind = wasBehind && this->isBehind;
        if (isStillBehind || this->store.service(now) != ConfigService::Serving || this->store.wanted()) {
            this->fetchFromAnyone();
        }
    }

    // Failure: all hosts start together while the platform is down, and a seed that is asked once is not up yet. It
    // shows as hosts that never find each other. So seeds are asked again for as long as no other host is known.
    void fetchFromAnyone()
    {
        std::vector<MemberInfo> others;
        for (const MemberInfo &member : this->membership.members()) {
            if (member.host != this->options.host && member.state != MemberState::Dead) {
                others.push_back(member);
            }
        }
        if (!others.empty()) {
            const MemberInfo &chosen = others[this->random() % others.size()];
            this->fetcher->fetch(chosen.host, chosen.address, steadyNow());
        } else if (!this->options.seeds.empty()) {
            const std::string &seed = this->options.seeds[this->random() % this->options.seeds.size()];
            this->fetcher->fetch(HostId(seed), seed, steadyNow());
        }
    }

    // Failure: a text that does not parse reaches the table past fescuesillctl. It shows as a fleet that loses its
    // services at once. So what was in force stays in force here, and the status says so.
    void putInForce(const char *source)
    {
        const ConfigRecord &record = *this->store.inForce();
        const std::string name = "version " + std::to_string(record.version.value());
        auto parsed = Declaration::parse(record.text, name);
        if (!parsed) {
            this->isDeclarationMalformed = true;
            Log::error("declaration_malformed",
                       {{"version", record.version.value()},
                        {"fault", parsed.error().faults.empty() ? "" : parsed.error().faults.front().line()}});
            return;
        }
        this->isDeclarationMalformed = false;
        this->versionInForce = record.version;
        this->declaration = std::make_shared<const Declaration>(std::move(*parsed));
        Log::info("config_in_force",
                  {{"version", record.version.value()},
                   {"from", source},
                   {"author", record.author},
                   {"change", record.changeId}});
        this->membership.publishUrgent(configFact, static_cast<std::uint64_t>(record.version.value()),
                                       this->options.address, steadyNow());
        this->isDeclarationTold = false;
        this->entries->tellFollowers(this->configInForce(true));
        this->refreshOwnership();
    }

    peer::ConfigInForce configInForce(bool withRecord) const
    {
        peer::ConfigInForce message;
        const ConfigRecord *record = this->store.inForce();
        if (withRecord && record != nullptr) {
            message.record = encode(*record);
        }
        message.serving = this->store.service(steadyNow()) == ConfigService::Serving;
        return message;
    }

    void refreshOwnership()
    {
        if (!this->declaration) {
            return;
        }
        if (!this->isDeclarationTold) {
            this->isDeclarationTold = this->decide(NewDeclaration{this->declaration});
        }
        this->board = CellBoard::build(*this->declaration, this->membership);
        const auto live = liveHostsOf(this->membership);
        const auto owned = this->board.ownedBy(this->options.host);
        const bool isChanged = owned != this->toldOwned || !sameHosts(live, this->toldLive);
        if (!isChanged || !this->isDeclarationTold) {
            return;
        }
        Ownership ownership;
        ownership.cells = owned;
        for (const peer::LiveHost &host : live) {
            ownership.liveHosts.insert(host.host);
        }
        if (!this->decide(std::move(ownership))) {
            return;
        }
        this->toldOwned = owned;
        this->toldLive = live;
        this->entries->tellFollowers(peer::LiveHosts{live});
        this->entries->tellFollowers(peer::AllCells{this->board.news()});
    }

    void tellEntries()
    {
        this->entries->tellFollowers(this->configInForce(false));
        this->entries->tellFollowers(peer::AllCells{this->board.news()});
    }

    void publishStatus(Instant now)
    {
        PeerStatus made;
        made.version = this->versionInForce;
        made.isDeclarationMalformed = this->isDeclarationMalformed;
        made.service = this->store.service(now);
        made.members = this->membership.members();
        made.cells = this->board.news();
        made.owned = this->toldOwned.size();
        made.links = this->links;
        made.followers = this->entries->followerCount();
        made.traffic = this->probes->traffic();
        made.refusedLinks = this->node->refusedLinks();
        made.replacedConnections = this->node->replacedConnections();
        made.hasRefusedLately = this->node->hasRefusedLately();
        made.tableReachable = this->tableReachable;
        made.tableReadAge = this->reading.age(now);
        const std::lock_guard<std::mutex> lock(this->statusMutex);
        this->status = std::move(made);
    }

    Options options;
    Decide decide;
    std::mt19937_64 random;
    Membership membership;
    ConfigStore store;
    TableReading reading;
    std::shared_ptr<const Declaration> declaration;
    CellBoard board;
    std::set<CellId> toldOwned;
    std::vector<peer::LiveHost> toldLive;
    ConfigVersion versionInForce;
    bool isDeclarationMalformed = false; // of the highest version known here
    bool isDeclarationTold = false;
    bool tableReachable = false;
    bool isBehind = false; // of a version that a fact names
    std::atomic<bool> isReadDue{true};
    std::size_t links = 0;
    Instant nextOwnership;
    Instant nextNews;
    Instant nextFetch;
    mutable std::mutex statusMutex;
    PeerStatus status;
    std::unique_ptr<Ring<PeerEvent>> ring;
    // Stopped before anything is destroyed; the socket and the timer live in its event loop.
    std::unique_ptr<PeerNode> node;
    std::unique_ptr<ConfigFetcher> fetcher;
    std::unique_ptr<EntryLinks> entries;
    std::unique_ptr<ProbeSocket> probes;
    std::unique_ptr<asio::steady_timer> timer;
};

PeerDuty::PeerDuty(std::unique_ptr<Impl> made)
    : impl(std::move(made))
{
}

PeerDuty::~PeerDuty()
{
    this->impl->node->stop();
}

tl::expected<std::unique_ptr<PeerDuty>, WireError> PeerDuty::create(Options options, Decide decide)
{
    auto made = std::make_unique<Impl>(std::move(options), std::move(decide));
    try {
        made->open();
    } catch (const WireError &failed) {
        return tl::unexpected(failed);
    }
    return std::unique_ptr<PeerDuty>(new PeerDuty(std::move(made)));
}

void PeerDuty::start()
{
    this->impl->start();
}

bool PeerDuty::isTableReadDue() const
{
    return this->impl->isReadDue;
}

bool PeerDuty::push(PeerEvent &&event)
{
    return this->impl->ring->tryPush(std::move(event));
}

void PeerDuty::send(LinkId link, const peer::Message &message)
{
    this->impl->node->send(link, message);
}

PeerStatus PeerDuty::status() const
{
    const std::lock_guard<std::mutex> lock(this->impl->statusMutex);
    return this->impl->status;
}

} // namespace fescuesill
