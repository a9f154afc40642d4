// The node of the links has a thread of its own; what happens there comes to the forwarding thread through a ring. A
// ring that is full drops an ask or a piece of news: a dropped ask waits at its host until its caller is refused, and a
// dropped end is mended when the link is opened anew. Both need thousands of messages within one turn of the forwarding
// thread.

#include "programs/gateway/leaderlink.h"

#include "fescuesill/overloaded.h"
#include "wire/clock.h"
#include "wire/log.h"

#include <boost/asio/post.hpp>

namespace fescuesill
{
namespace
{

constexpr std::size_t eventRing = 4096;
// Bytes to all followers. More would hold up places for generations on a leader with a slow link; the store has room.
constexpr std::size_t mostChangeFanOut = 256 << 10;
constexpr Duration askToFollowAgain{1s}; // one message of a few bytes; meanwhile this host reads the store itself

} // namespace

LeaderLink::LeaderLink(asio::io_context &io, const std::string &address, GateKeeper &keeper)
    : gates(keeper)
    , ownAddress(address)
    , route(address, PlacingRoute::Options{})
    , events(eventRing, [this, &io] { asio::post(io, [this] { this->drain(); }); })
{
}

tl::expected<std::unique_ptr<LeaderLink>, WireError> LeaderLink::create(asio::io_context &io, const Options &options,
                                                                        GateKeeper &gates)
{
    std::unique_ptr<LeaderLink> link(new LeaderLink(io, options.listen, gates));
    LeaderLink *self = link.get();
    PeerNode::Handlers handlers;
    handlers.opened = [self](LinkId id) {
        self->push({Change::Opened, id, {}});
    };
    handlers.closed = [self](LinkId id) {
        self->push({Change::Closed, id, {}});
    };
    handlers.received = [self](LinkId id, peer::Message message) {
        self->push({Change::Received, id, std::move(message)});
    };
    PeerNode::Options node;
    node.listen = options.listen;
    node.heartbeat = options.heartbeat;
    node.silence = options.silence;
    auto created = PeerNode::create(node, std::move(handlers));
    if (!created) {
        return tl::make_unexpected(created.error());
    }
    link->node = std::move(*created);
    link->node->start();
    return link;
}

LeaderLink::~LeaderLink()
{
    this->stop();
}

void LeaderLink::stop()
{
    if (this->node) {
        this->node->stop();
    }
}

void LeaderLink::push(Event event)
{
    if (!this->events.tryPush(std::move(event))) {
        Log::warning("link_event_dropped", {{"reason", "the forwarding thread is behind"}});
    }
}

void LeaderLink::drain()
{
    while (const auto event = this->events.tryPop()) {
        this->on(*event);
    }
}

void LeaderLink::setSeen(bool isSeen)
{
    Log::info(isSeen ? "leader_reached" : "leader_lost", {{"address", this->leaderAddress}});
    this->store->setLeaderSeen(isSeen);
}

bool LeaderLink::isDeputyLink(LinkId link) const
{
    return this->deputy && this->deputy->link == link;
}

void LeaderLink::steer(Instant now)
{
    const auto wanted = this->route.wantedDeputy(now);
    if (this->deputy && (!wanted || *wanted != this->deputy->address)) {
        this->node->disconnect(this->deputy->link);
        this->deputy.reset();
    }
    if (wanted && !this->deputy) {
        this->deputy = DeputyLink{*wanted, this->node->connect(*wanted)};
    }
    this->takePath(this->route.path(now));
    const bool wasStandingIn = this->isStandingIn;
    this->isStandingIn = this->route.isActingLeader();
    const bool placesForAll = this->isLeading || this->isStandingIn || this->path != PlacingPath::Alone;
    this->gates.setShare(placesForAll ? 1 : 1.0 / static_cast<double>(this->hosts));
    if (this->isStandingIn != wasStandingIn) {
        Log::info("standing_in", {{"for_leader", this->isStandingIn}, {"address", this->leaderAddress}});
    }
    if (wasStandingIn && !this->isStandingIn && !this->isLeading) {
        this->endPlacing();
    }
}

void LeaderLink::takePath(PlacingPath next)
{
    std::optional<LinkId> link;
    if (next == PlacingPath::Leader) {
        link = this->leader;
    } else if (next == PlacingPath::Deputy) {
        link = this->deputy->link;
    }
    if (next == this->path && link == this->uplink) {
        return;
    }
    this->path = next;
    this->uplink = link;
    if (next == PlacingPath::Waiting) {
        this->gates.hold();
    } else if (link) {
        this->gates.setUplink([this, to = *link](const peer::Message &message) { this->node->send(to, message); });
    } else {
        this->gates.setUplink({});
    }
}

void LeaderLink::onStopping()
{
    this->route.onStopping();
    if (this->uplink) {
        this->node->send(*this->uplink, peer::FollowerAddress{});
    }
    this->steer(steadyNow());
}

void LeaderLink::nameDeputy()
{
    if (this->namedDeputy == this->deputies.deputy()) {
        return;
    }
    this->namedDeputy = this->deputies.deputy();
    for (const auto &[link, address] : this->deputies.followers()) {
        this->node->send(link, this->deputyNamed());
    }
}

peer::DeputyNamed LeaderLink::deputyNamed() const
{
    return {this->namedDeputy, this->deputies.followers().size() + 1};
}

// Two gates would fill the same engines.
void LeaderLink::endPlacing()
{
    for (const LinkId follower : this->placedFor) {
        this->node->send(follower, peer::LeadEnded{});
        this->gates.onFollowerLost(follower);
    }
    this->placedFor.clear();
    this->deputies.clear();
    this->namedDeputy.clear();
}

// Its followers would wait for news that does not come.
void LeaderLink::endLead()
{
    this->endPlacing();
    this->followers.clear();
}

void LeaderLink::onNews(const store_update::News &news)
{
    peer::Message message = news.message;
    if (auto *config = std::get_if<peer::ConfigNews>(&message)) {
        if (config->change.size() * this->followers.size() > mostChangeFanOut) {
            config->change.clear();
        }
    }
    for (const LinkId follower : this->followers) {
        if (!news.follower || *news.follower == follower) {
            this->node->send(follower, message);
        }
    }
}

void LeaderLink::onLeader(const store_update::Leader &update)
{
    if (this->isLeading && !update.isSelf) {
        this->endLead();
    }
    this->isLeading = update.isSelf;
    this->route.onLeading(update.isSelf);
    const std::string address = update.holder && !update.isSelf ? update.holder->address : std::string();
    if (address != this->leaderAddress) {
        if (this->leader) {
            this->node->disconnect(*this->leader);
            this->route.onLeaderLost(steadyNow());
            this->setSeen(false);
            this->leader.reset();
        }
        this->leaderAddress = address;
        if (!address.empty()) {
            this->leader = this->node->connect(address);
        }
    }
    this->steer(steadyNow());
}

// News may arrive too late to be of use, and a leader that lost the store may have it again.
void LeaderLink::onTick(Instant now)
{
    const bool isDue =
        this->path == PlacingPath::Leader && !this->store->isRelayed() && now >= this->askedToFollow + askToFollowAgain;
    if (isDue) {
        this->askedToFollow = now;
        this->node->send(*this->leader, peer::FollowStore{this->store->knownVersion()});
    }
    this->steer(now);
}

void LeaderLink::onOpened(LinkId link)
{
    if (this->leader && link == *this->leader) {
        this->route.onLeaderReached();
        this->setSeen(true);
        this->askedToFollow = Instant();
        this->node->send(link, peer::FollowerAddress{this->ownAddress});
    } else if (this->isDeputyLink(link)) {
        this->route.onDeputyReached();
        this->node->send(link, peer::FollowerAddress{this->ownAddress});
        Log::info("deputy_reached", {{"address", this->deputy->address}});
    }
}

void LeaderLink::onClosed(LinkId link)
{
    if (this->leader && link == *this->leader) {
        this->route.onLeaderLost(steadyNow());
        this->setSeen(false);
    } else if (this->isDeputyLink(link)) {
        this->route.onDeputyLost(steadyNow());
    } else {
        this->followers.erase(link);
        this->placedFor.erase(link);
        this->deputies.remove(link);
        this->nameDeputy();
        this->gates.onFollowerLost(link);
    }
}

void LeaderLink::on(const Event &event)
{
    switch (event.change) {
    case Change::Received:
        this->onMessage(event.link, event.message);
        break;
    case Change::Opened:
        this->onOpened(event.link);
        break;
    case Change::Closed:
        this->onClosed(event.link);
        break;
    }
    this->steer(steadyNow());
}

void LeaderLink::onFollowerAddress(LinkId link, const std::string &address)
{
    if (address.empty()) {
        this->deputies.remove(link);
    } else {
        this->deputies.add(link, address);
        this->node->send(link, this->deputyNamed());
    }
    this->nameDeputy();
}

void LeaderLink::onMessage(LinkId link, const peer::Message &message)
{
    const bool isFromLeader = this->leader && link == *this->leader;
    const bool isFromPlacer = isFromLeader || this->isDeputyLink(link);
    if (!isFromPlacer && !this->isLeading && !this->isStandingIn) {
        this->node->send(link, peer::LeadEnded{});
        return;
    }
    const GateKeeper::Send reply = [this, link](const peer::Message &answer) {
        this->node->send(link, answer);
    };
    std::visit(
        Overloaded{[&](const peer::TryPlace &place) { this->gates.onTry(place); },
                   [&](const peer::NoPlace &none) { this->gates.onNone(none); },
                   [&](const peer::RegistryNews &news) { this->store->onNews(news); },
                   [&](const peer::ConfigNews &news) {
                       if (isFromLeader) {
                           this->store->onNews(news);
                       }
                   },
                   [&](const peer::ConfigDelayed &) {
                       if (isFromLeader) {
                           this->store->onConfigDelayed();
                       }
                   },
                   [&](const peer::EngineChanging &change) { this->gates.onChanging(change); },
                   [&](const peer::StoreLost &) { this->store->onLeaderLostStore(); },
                   [&](const peer::LeadEnded &) {
                       if (isFromLeader) {
                           this->onLeader({});
                       } else {
                           this->route.onDeputyLost(steadyNow());
                       }
                   },
                   [&](const peer::AskPlace &ask) { this->gates.onAsk(link, reply, ask); },
                   [&](const peer::PlaceReport &report) { this->gates.onReport(link, report); },
                   [&](const peer::HeldPlaces &held) {
                       this->placedFor.insert(link);
                       this->gates.onHeld(link, held);
                   },
                   [&](const peer::FollowerAddress &follower) { this->onFollowerAddress(link, follower.address); },
                   [&](const peer::DeputyNamed &named) {
                       this->hosts = std::max<std::uint64_t>(1, named.hosts);
                       if (isFromLeader) {
                           this->route.onDeputyNamed(named.address);
                       } else {
                           this->route.onNextDeputyNamed(named.address);
                       }
                   },
                   [&](const peer::FollowStore &follow) {
                       this->followers.insert(link);
                       this->store->addFollower(link, follow.version);
                   },
                   [&](const auto &) {
                       Log::warning("link_message_unexpected");
                   }},
        message);
}

} // namespace fescuesill
