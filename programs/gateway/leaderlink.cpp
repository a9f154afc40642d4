// The node of the links has a thread of its own; what happens there comes to the forwarding thread through a ring. A
// ring that is full drops an ask or a piece of news: a dropped ask waits at its host until its caller is refused, and a
// dropped end is mended when the link is opened anew. Both need thousands of messages within one turn of the forwarding
// thread.

#include "programs/gateway/leaderlink.h"

#include "fescuesill/overloaded.h"
#include "wire/log.h"

#include <boost/asio/post.hpp>

namespace fescuesill
{
namespace
{

constexpr std::size_t eventRing = 4096;
constexpr Duration askToFollowAgain{1s}; // one message of a few bytes; meanwhile this host reads the store itself

} // namespace

LeaderLink::LeaderLink(asio::io_context &io, GateKeeper &keeper)
    : gates(keeper)
    , events(eventRing, [this, &io] { asio::post(io, [this] { this->drain(); }); })
{
}

tl::expected<std::unique_ptr<LeaderLink>, WireError> LeaderLink::create(asio::io_context &io, const Options &options,
                                                                        GateKeeper &gates)
{
    std::unique_ptr<LeaderLink> link(new LeaderLink(io, gates));
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
    this->isReached = isSeen;
    Log::info(isSeen ? "leader_reached" : "leader_lost", {{"address", this->leaderAddress}});
    this->store->setLeaderSeen(isSeen);
}

// Its followers would wait for news that does not come, and two gates would fill the same engines.
void LeaderLink::endLead()
{
    for (const LinkId follower : this->followers) {
        this->node->send(follower, peer::LeadEnded{});
        this->gates.onFollowerLost(follower);
    }
    this->followers.clear();
}

void LeaderLink::onNews(const store_update::News &news)
{
    for (const LinkId follower : this->followers) {
        if (!news.follower || *news.follower == follower) {
            this->node->send(follower, news.message);
        }
    }
}

void LeaderLink::onLeader(const store_update::Leader &update)
{
    if (this->isLeading && !update.isSelf) {
        this->endLead();
    }
    this->isLeading = update.isSelf;
    const std::string address = update.holder && !update.isSelf ? update.holder->address : std::string();
    if (address == this->leaderAddress) {
        return;
    }
    if (this->leader) {
        this->node->disconnect(*this->leader);
        this->gates.setUplink({});
        this->setSeen(false);
        this->leader.reset();
    }
    this->leaderAddress = address;
    if (!address.empty()) {
        this->leader = this->node->connect(address);
    }
}

// News may arrive too late to be of use, and a leader that lost the store may have it again.
void LeaderLink::onTick(Instant now)
{
    const bool isDue = this->isReached && !this->store->isRelayed() && now >= this->askedToFollow + askToFollowAgain;
    if (isDue) {
        this->askedToFollow = now;
        this->node->send(*this->leader, peer::FollowStore{this->store->knownVersion()});
    }
}

void LeaderLink::on(const Event &event)
{
    const bool isLeader = this->leader && event.link == *this->leader;
    switch (event.change) {
    case Change::Received:
        this->onMessage(event.link, event.message);
        return;
    case Change::Opened:
        if (isLeader) {
            this->gates.setUplink(
                [this, link = event.link](const peer::Message &message) { this->node->send(link, message); });
            this->setSeen(true);
            this->askedToFollow = Instant();
        }
        return;
    case Change::Closed:
        if (isLeader) {
            this->gates.setUplink({});
            this->setSeen(false);
        } else {
            this->followers.erase(event.link);
            this->gates.onFollowerLost(event.link);
        }
        return;
    }
}

void LeaderLink::onMessage(LinkId link, const peer::Message &message)
{
    const bool isFromLeader = this->leader && link == *this->leader;
    if (!isFromLeader && !this->isLeading) {
        this->node->send(link, peer::LeadEnded{});
        return;
    }
    const GateKeeper::Send reply = [this, link](const peer::Message &answer) {
        this->node->send(link, answer);
    };
    std::visit(Overloaded{[&](const peer::TryPlace &place) { this->gates.onTry(place); },
                          [&](const peer::NoPlace &none) { this->gates.onNone(none); },
                          [&](const peer::RegistryNews &news) { this->store->onNews(news); },
                          [&](const peer::ConfigNews &news) { this->store->onNews(news); },
                          [&](const peer::EngineChanging &change) { this->gates.onChanging(change); },
                          [&](const peer::StoreLost &) { this->store->onLeaderLostStore(); },
                          [&](const peer::LeadEnded &) { this->onLeader({}); },
                          [&](const peer::AskPlace &ask) { this->gates.onAsk(link, reply, ask); },
                          [&](const peer::PlaceNews &news) { this->gates.onNews(link, news); },
                          [&](const peer::HeldPlaces &held) { this->gates.onHeld(link, held); },
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
