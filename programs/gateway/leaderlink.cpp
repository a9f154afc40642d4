// The node of the links runs on its own thread and passes its events to the forwarding thread through a ring. A full
// ring drops a request or an update: a dropped request waits at its host until its caller is refused, and a dropped end
// of a generation is corrected when the link is reopened. Both need thousands of messages within one turn of the
// forwarding thread.

#include "programs/gateway/leaderlink.h"

#include "fescuesill/overloaded.h"
#include "wire/clock.h"
#include "wire/log.h"

#include <boost/asio/post.hpp>
#include <random>
#include <utility>

namespace fescuesill
{
namespace
{

constexpr std::size_t eventRingSize = 4096;
// To all followers together. Larger updates would delay placements on a leader with a slow link; followers read the
// store instead, which has the bandwidth.
constexpr std::size_t maxChangeFanOutBytes = 256 << 10;
// The same while no generation is placed or waits: a second of a link of 20 Mbit/s. After the first start of a fleet of
// 300 hosts this is enough for a configuration of dozens of routes.
constexpr std::size_t maxIdleFanOutBytes = 2560 << 10;
// How long hosts that are no longer linked may still be at work behind a cut. Longer than the window of a quota.
constexpr Duration fleetSizeWindow{10s};
// A message of a few bytes; until it succeeds, this host reads the store itself.
constexpr Duration followRequestInterval{1s};
constexpr Duration crashReportInterval{1s}; // to the deputy, of all known crashes

// The deputy claims the lease of a lost leader and names the next one. A host that expects it, or the link to a leader
// that was just named, need not read the lease: otherwise each host of the fleet would, in the same moment.
bool leavesLeaseToOthers(PlacingPath path)
{
    return path == PlacingPath::Deputy || path == PlacingPath::Waiting;
}

} // namespace

LeaderLink::LeaderLink(asio::io_context &io, const Options &options, PlacementGates &placementGates,
                       EndpointPermits &endpointPermits, EndpointSlots &endpointSlots, EndpointNotices &endpointNotices,
                       WorkspaceCredits &workspaceCredits, CrashExchange &crashExchange, EventLosses &eventLosses,
                       EndpointPaths &endpointPaths)
    : gates(placementGates)
    , permits(endpointPermits)
    , slots(endpointSlots)
    , notices(endpointNotices)
    , credits(workspaceCredits)
    , crashes(crashExchange)
    , losses(eventLosses)
    , paths(endpointPaths)
    , readers({}, std::random_device()())
    , tunnelHosts({}, std::random_device()())
    , ownAddress(options.listen)
    , ownTunnels(options.tunnels)
    , route(options.listen, PlacingRoute::Options{})
    , fleetSize(fleetSizeWindow)
    , events(eventRingSize, [this, &io] { asio::post(io, [this] { this->drain(); }); })
{
}

tl::expected<std::unique_ptr<LeaderLink>, WireError>
LeaderLink::create(asio::io_context &io, const Options &options, PlacementGates &gates, EndpointPermits &permits,
                   EndpointSlots &slots, EndpointNotices &notices, WorkspaceCredits &credits, CrashExchange &crashes,
                   EventLosses &losses, EndpointPaths &paths)
{
    std::unique_ptr<LeaderLink> link(
        new LeaderLink(io, options, gates, permits, slots, notices, credits, crashes, losses, paths));
    LeaderLink *self = link.get();
    notices.setFollowers([self](const peer::Message &message) { self->onUpdate({message, std::nullopt}); });
    permits.setFollowers([self](const peer::Message &message) { self->onUpdate({message, std::nullopt}); });
    slots.setFollowers([self](const peer::Message &message) { self->onUpdate({message, std::nullopt}); });
    crashes.setFollowers([self](const peer::Message &message) { self->notifyClients(message); });
    losses.setFollowers([self](const peer::Message &message) { self->notifyClients(message); });
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
    node.maxLinks = options.links;
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
        Log::warning("link_event_dropped", {{"reason", "the ring to the forwarding thread is full"}});
    }
}

void LeaderLink::drain()
{
    while (const auto event = this->events.tryPop()) {
        this->on(*event);
    }
}

void LeaderLink::setLeaderReachable(bool isReachable)
{
    Log::info(isReachable ? "leader_reached" : "leader_lost", {{"address", this->leaderAddress}});
    this->store->setLeaderReachable(isReachable);
}

// The watcher learns first whether a deputy is expected, so that it does not read the lease in between.
void LeaderLink::onLeaderLost()
{
    const Instant now = steadyNow();
    this->route.onLeaderLost(now);
    this->applyRoute(now);
    this->setLeaderReachable(false);
}

bool LeaderLink::isDeputyLink(LinkId link) const
{
    return this->deputy && this->deputy->link == link;
}

void LeaderLink::applyRoute(Instant now)
{
    const auto wanted = this->route.wantedDeputy(now);
    if (this->deputy && (!wanted || *wanted != this->deputy->address)) {
        this->node->disconnect(this->deputy->link);
        this->deputy.reset();
    }
    if (wanted && !this->deputy) {
        this->deputy = DeputyLink{*wanted, this->node->connect(*wanted)};
    }
    this->switchPath(this->route.path(now));
    const bool wasActing = this->isActing;
    this->isActing = this->route.isActingLeader();
    const double ownPart = 1.0 / static_cast<double>(this->hosts);
    const bool decidesForAll = this->isLeading || this->isActing;
    this->saved->setDeciding(decidesForAll);
    this->permits.setShare(decidesForAll ? 1 : ownPart);
    this->losses.setDeciding(decidesForAll);
    this->slots.setDeciding(decidesForAll);
    this->gates.setShare(decidesForAll || this->path != PlacingPath::Alone ? 1 : ownPart);
    this->applyQuotaPart(now);
    if (this->isActing != wasActing) {
        Log::info("standing_in", {{"for_leader", this->isActing}, {"address", this->leaderAddress}});
    }
    if (wasActing && !this->isActing && !this->isLeading) {
        this->endLeading();
    }
    if (this->isActing != wasActing) {
        this->store->setActing(this->isActing);
    }
}

// A leader and the deputy that stands in for it may both account for quotas for a moment, each for the hosts that it is
// linked to. So each gives a part only, except a leader that reaches at least half of the fleet: hosts that were
// stopped are no reason to refuse the callers of the others.
void LeaderLink::applyQuotaPart(Instant now)
{
    const bool decidesForAll = this->isLeading || this->isActing;
    const std::size_t reached = this->placementClients.size() + 1;
    if (decidesForAll) {
        this->fleetSize.add(reached, now);
    }
    const std::size_t all = this->fleetSize.value(now);
    const bool isMajority = this->isLeading && reached * 2 >= all;
    const std::size_t served = decidesForAll ? reached : 1;
    const double part = isMajority ? 1 : static_cast<double>(served) / static_cast<double>(std::max(all, served));
    this->credits.setPart(decidesForAll, all == 0 ? 0 : part, all);
}

void LeaderLink::switchPath(PlacingPath next)
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
    const bool leftLease = leavesLeaseToOthers(this->path);
    const bool leavesLease = leavesLeaseToOthers(next);
    this->path = next;
    this->uplink = link;
    this->store->onRelayLost();
    this->lastFollowRequest = Instant();
    if (leavesLease != leftLease) {
        this->store->setDeputyExpected(leavesLease);
    }
    if (!link) {
        this->setUplinks({});
    }
    if (next == PlacingPath::Waiting) {
        this->gates.suspend();
    } else if (link) {
        const auto send = [this, to = *link](const peer::Message &message) {
            this->node->send(to, message);
        };
        this->gates.setUplink(send);
        this->setUplinks(send);
    } else {
        this->gates.setUplink({});
    }
}

void LeaderLink::setUplinks(const PlacementGates::Send &send)
{
    this->permits.setUplink(send);
    this->slots.setUplink(send);
    this->notices.setUplink(send);
    this->credits.setUplink(send);
    this->crashes.setUplink(send, steadyNow());
    this->losses.setUplink(send);
}

void LeaderLink::onStopping()
{
    this->route.onStopping();
    if (this->uplink) {
        this->node->send(*this->uplink, peer::FollowerAddress{});
    }
    this->applyRoute(steadyNow());
}

void LeaderLink::announceDeputy()
{
    if (this->announcedDeputy == this->deputies.deputy()) {
        return;
    }
    this->announcedDeputy = this->deputies.deputy();
    Log::info("deputy_named", {{"address", this->announcedDeputy}});
    std::vector<LinkId> informed;
    informed.reserve(this->deputies.followers().size());
    for (const auto &[link, address] : this->deputies.followers()) {
        informed.push_back(link);
    }
    this->node->sendToAll(std::move(informed), this->deputyAnnouncement());
}

void LeaderLink::reportToDeputy(Instant now)
{
    const std::string deputy = this->deputies.deputy();
    const bool isNew = deputy != this->informedDeputy;
    this->informedDeputy = deputy;
    peer::StreamsBegun streams = this->gates.takeNewStreams();
    this->saved->add(streams);
    if (isNew) {
        streams = this->gates.streamsBegun();
    }
    const std::uint64_t revision = this->crashes.revision();
    const bool areCrashesDue =
        isNew ? revision != 0 : revision != this->reportedCrashes && now >= this->crashesReported + crashReportInterval;
    for (const auto &[link, address] : this->deputies.followers()) {
        if (address != deputy) {
            continue;
        }
        if (!streams.streams.empty()) {
            this->node->send(link, streams);
        }
        if (areCrashesDue) {
            this->reportedCrashes = revision;
            this->crashesReported = now;
            this->node->send(link, this->crashes.known(now));
        }
    }
}

peer::DeputyNamed LeaderLink::deputyAnnouncement() const
{
    return {this->announcedDeputy, this->deputies.followers().size() + 1};
}

// Ends the placements for other hosts, since two gates would fill the same engines.
void LeaderLink::endPlacing()
{
    this->notifyClients(peer::LeadershipEnded{});
    for (const LinkId follower : this->placementClients) {
        this->gates.onFollowerLost(follower);
    }
    this->placementClients.clear();
    this->deputies.clear();
    this->tunnelHosts.clear();
    this->announcedDeputy.clear();
}

// Notifies the followers as well, which would otherwise wait for updates that no longer come.
void LeaderLink::endLeading()
{
    this->endPlacing();
    this->followers.clear();
    this->readers.clear();
}

// The hosts that this one places for, as a deputy, leave the lease to it. Without the announcement they would follow
// the next deputy, and then the one after it.
void LeaderLink::announceLeader(const store_update::Leader &leader)
{
    this->notifyClients(peer::LeaderNamed{leader.holder->host, leader.holder->address,
                                          static_cast<std::uint64_t>(leader.term.value())});
}

void LeaderLink::notifyClients(const peer::Message &message)
{
    this->node->sendToAll({this->placementClients.begin(), this->placementClients.end()}, message);
}

void LeaderLink::applyReaders(Instant now)
{
    for (const auto &change : this->readers.next(now)) {
        this->node->send(change.link, peer::DelegateReading{change.isWanted, this->store->knownVersion()});
    }
    const bool isOutage = this->readers.isOutage(now);
    if (isOutage && !this->isOutage) {
        this->store->onNoReader();
    }
    this->isOutage = isOutage;
}

void LeaderLink::onStoreLost(LinkId link)
{
    if (link == this->uplink) {
        this->store->onStoreLost();
    } else {
        this->readers.onFailed(link, steadyNow());
    }
}

void LeaderLink::onUpdate(const store_update::PeerUpdate &update)
{
    peer::Message message = update.message;
    if (auto *config = std::get_if<peer::ConfigUpdate>(&message)) {
        const bool isIdle = this->gates.placed() == 0 && this->gates.waiting() == 0;
        const std::size_t limit = isIdle ? maxIdleFanOutBytes : maxChangeFanOutBytes;
        if (config->change.size() * this->followers.size() > limit) {
            config->change.clear();
        }
    } else if (auto *current = std::get_if<peer::ConfigCurrent>(&message)) {
        current->hosts = this->fleetSize.value(steadyNow());
    }
    if (!update.follower) {
        this->node->sendToAll({this->followers.begin(), this->followers.end()}, message);
    } else if (this->followers.count(*update.follower) > 0) {
        this->node->send(*update.follower, message);
    }
}

void LeaderLink::onUpdate(const store_update::LeaderUpdate &update)
{
    if (this->uplink) {
        this->node->send(*this->uplink, update.message);
    }
}

void LeaderLink::onUpdate(const store_update::OwnReads &reads)
{
    const Instant now = steadyNow();
    if (reads.isWorking) {
        this->readers.stop();
    } else if (this->isLeading || this->isActing) {
        this->readers.start(now);
    }
    this->applyReaders(now);
}

void LeaderLink::onLeader(const store_update::Leader &update)
{
    const bool isNewHolder = update.holder && update.holder->address != this->leaderAddress;
    if (this->isActing && isNewHolder) {
        this->announceLeader(update);
    }
    if (this->isLeading && !update.isSelf) {
        this->endLeading();
    }
    this->isLeading = update.isSelf;
    this->route.onLeading(update.isSelf);
    // After a restart the row may name this host before it leads again.
    const bool isOther = update.holder && !update.isSelf && update.holder->address != this->ownAddress;
    const std::string address = isOther ? update.holder->address : std::string();
    if (address != this->leaderAddress) {
        if (address.empty()) {
            this->route.onLeaderUnknown();
        } else {
            this->route.onLeaderNamed(steadyNow());
        }
        if (this->leader) {
            this->node->disconnect(*this->leader);
            this->leader.reset();
            this->onLeaderLost();
        }
        this->leaderAddress = address;
        if (!address.empty()) {
            this->leader = this->node->connect(address);
        }
    }
    this->applyRoute(steadyNow());
}

// Repeats the request to follow: an update may have come too late to apply, and a leader that lost the store may have
// reconnected to it.
void LeaderLink::onTick(Instant now)
{
    const bool isDue =
        this->uplink && !this->store->isRelayed() && now >= this->lastFollowRequest + followRequestInterval;
    if (isDue) {
        this->lastFollowRequest = now;
        this->node->send(*this->uplink, peer::FollowStore{this->store->knownVersion()});
    }
    this->applyRoute(now);
    this->applyReaders(now);
    this->requestTunnelHosts(now);
    this->reportToDeputy(now);
    this->credits.onTick(now);
}

void LeaderLink::requestTunnelHosts(Instant now)
{
    const bool decidesForAll = this->isLeading || this->isActing;
    if ((!this->uplink && !decidesForAll) || !this->paths.takeTunnelHostsDue(now)) {
        return;
    }
    if (decidesForAll) {
        this->paths.setTunnelHosts(this->tunnelHosts.choose(LinkId{}, now),
                                   this->tunnelHosts.areOthersCutOff(LinkId{}, now));
    } else {
        this->node->send(*this->uplink, peer::RequestTunnelHosts{this->paths.isCutOff()});
    }
}

void LeaderLink::onTunnelHostsRequested(LinkId link, bool isCutOff)
{
    const Instant now = steadyNow();
    if (isCutOff) {
        this->tunnelHosts.onCutOff(link, now);
    }
    this->nameTunnelHosts(link, now);
}

void LeaderLink::nameTunnelHosts(LinkId link, Instant now)
{
    this->tunnelHosts.add(LinkId{}, this->ownTunnels);
    if (this->paths.isCutOff()) {
        this->tunnelHosts.onCutOff(LinkId{}, now);
    }
    this->node->send(
        link,
        peer::TunnelHostsNamed{this->tunnelHosts.choose(link, now), this->tunnelHosts.areOthersCutOff(link, now)});
}

void LeaderLink::requestClock(LinkId link)
{
    const Instant now = bootNow();
    PeerClock &clock = this->reporters[link].clock;
    if (clock.isProbeDue(now)) {
        clock.onProbeSent(now);
        this->node->send(link, peer::RequestClock{static_cast<std::uint64_t>(now.time_since_epoch().count())});
    }
}

void LeaderLink::onConfigCurrent(LinkId link, const peer::ConfigCurrent &current)
{
    const bool isFromRelay = this->uplink && link == *this->uplink;
    if (!isFromRelay && !this->readers.isReader(link)) {
        return;
    }
    if (isFromRelay && current.hosts > 0) {
        this->fleetSize.add(current.hosts, steadyNow());
    }
    Reporter &reporter = this->reporters[link];
    reporter.last = current;
    this->requestClock(link);
    const Instant peerTime{Duration(static_cast<std::int64_t>(current.at))};
    if (const auto at = reporter.clock.notAfter(peerTime, bootNow())) {
        this->store->onConfigCurrent(RowVersion(static_cast<std::int64_t>(current.rowVersion)), *at);
    }
}

void LeaderLink::onClockReply(LinkId link, const peer::ClockReply &reply)
{
    const auto found = this->reporters.find(link);
    if (found == this->reporters.end()) {
        return;
    }
    found->second.clock.onReply(Instant(Duration(static_cast<std::int64_t>(reply.sent))),
                                Instant(Duration(static_cast<std::int64_t>(reply.clock))), bootNow());
    if (const auto last = std::exchange(found->second.last, std::nullopt)) {
        this->onConfigCurrent(link, *last);
    }
}

void LeaderLink::onOpened(LinkId link)
{
    if (this->leader && link == *this->leader) {
        this->requestClock(link);
        this->route.onLeaderReached();
        this->setLeaderReachable(true);
        this->node->send(link, peer::FollowerAddress{this->ownAddress, this->ownTunnels});
    } else if (this->isDeputyLink(link)) {
        this->requestClock(link);
        this->route.onDeputyReached();
        this->node->send(link, peer::FollowerAddress{this->ownAddress, this->ownTunnels});
        Log::info("deputy_reached", {{"address", this->deputy->address}});
    }
}

void LeaderLink::onClosed(LinkId link)
{
    this->reporters.erase(link); // the host may start again with another clock
    if (this->leader && link == *this->leader) {
        this->onLeaderLost();
    } else if (this->isDeputyLink(link)) {
        this->route.onDeputyLost(steadyNow());
    } else {
        this->followers.erase(link);
        this->readers.removeFollower(link, steadyNow());
        this->placementClients.erase(link);
        this->deputies.remove(link);
        this->tunnelHosts.remove(link);
        this->announceDeputy();
        this->gates.onFollowerLost(link);
        this->slots.onLinkLost(link);
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
    const Instant now = steadyNow();
    this->applyRoute(now);
    this->applyReaders(now);
}

void LeaderLink::onFollowerAddressReceived(LinkId link, const peer::FollowerAddress &follower)
{
    if (follower.address.empty()) {
        this->deputies.remove(link);
        this->tunnelHosts.remove(link);
    } else {
        this->deputies.add(link, follower.address);
        this->tunnelHosts.add(link, follower.tunnels);
        this->nameTunnelHosts(link, steadyNow());
        this->node->send(link, this->deputyAnnouncement());
        const auto send = [this, link](const peer::Message &message) {
            this->node->send(link, message);
        };
        this->permits.sendLimits(send);
        this->slots.sendLimits(send);
        this->notices.sendLeaving(send);
    }
    this->announceDeputy();
}

void LeaderLink::onMessage(LinkId link, const peer::Message &message)
{
    const bool isFromLeader = this->leader && link == *this->leader;
    const bool isFromPlacer = isFromLeader || this->isDeputyLink(link);
    const bool isFromRelay = this->uplink && link == *this->uplink;
    if (!isFromPlacer && !this->isLeading && !this->isActing) {
        this->node->send(link, peer::LeadershipEnded{});
        return;
    }
    const PlacementGates::Send reply = [this, link](const peer::Message &answer) {
        this->node->send(link, answer);
    };
    std::visit(
        Overloaded{
            [&](const peer::OfferPlacement &place) { this->gates.onPlacementOffered(place); },
            [&](const peer::RejectPlacement &none) { this->gates.onPlacementRejected(none); },
            [&](const peer::RegistryUpdate &update) {
                if (isFromRelay) {
                    this->store->onUpdate(update);
                } else if (this->readers.isReader(link)) {
                    this->readers.onRead(link, steadyNow());
                    this->store->onReaderUpdate(update);
                }
            },
            [&](const peer::ConfigUpdate &update) {
                if (isFromRelay) {
                    this->store->onUpdate(update);
                } else if (this->readers.isReader(link)) {
                    this->store->onReaderUpdate(update);
                }
            },
            [&](const peer::ConfigDelayed &) {
                if (isFromRelay) {
                    this->store->onConfigDelayed();
                }
            },
            [&](const peer::DelegateReading &request) {
                if (isFromRelay) {
                    this->store->onReadingDelegated(request);
                }
            },
            [&](const peer::StoreRestored &restored) {
                if (isFromRelay) {
                    this->store->onStoreRestored(restored);
                }
            },
            [&](const peer::LeaderNamed &named) {
                if (isFromRelay) {
                    this->route.onLeaderNamed(steadyNow());
                    this->store->onLeaderNamed(named);
                }
            },
            [&](const peer::EngineChanging &change) { this->gates.onChanging(change); },
            [&](const peer::EndpointLimit &limit) { this->permits.onLimit(limit); },
            [&](const peer::EndpointLeaving &leaving) { this->notices.onMessage(leaving); },
            [&](const peer::RequestPermit &request) { this->permits.onRequested(reply, request); },
            [&](const peer::PermitReply &answer) { this->permits.onReply(answer); },
            [&](const peer::StoreLost &) { this->onStoreLost(link); },
            [&](const peer::LeadershipEnded &) {
                if (isFromLeader) {
                    this->onLeader({});
                } else {
                    this->route.onDeputyLost(steadyNow());
                }
            },
            [&](const peer::RequestPlacement &request) { this->gates.onPlacementRequested(link, reply, request); },
            [&](const peer::PlacementReport &report) { this->gates.onPlacementReport(link, report); },
            [&](const peer::HeldPlacements &held) {
                this->placementClients.insert(link);
                this->gates.onHeldPlacements(link, held);
                this->crashes.sendTo(reply, steadyNow());
                this->losses.sendVerdict(reply);
            },
            [&](const peer::EndpointCrashed &crash) { this->crashes.onReported(reply, crash, steadyNow()); },
            [&](const peer::CrashesKnown &known) { this->crashes.onMessage(known, steadyNow()); },
            [&](const peer::CrashCounted &counted) { this->crashes.onMessage(counted); },
            [&](const peer::TraitsWatched &watched) { this->crashes.onMessage(watched, steadyNow()); },
            [&](const peer::TraitsServed &served) { this->crashes.onMessage(served, steadyNow()); },
            [&](const peer::RequestsBlocked &blocked) { this->crashes.onMessage(blocked, steadyNow()); },
            [&](const peer::EventCounts &counts) { this->losses.onCounts(this->deputies.address(link), counts); },
            [&](const peer::EventLoss &loss) {
                if (isFromPlacer) {
                    this->losses.onVerdict(loss);
                }
            },
            [&](const peer::RequestCredit &request) { this->credits.onRequested(reply, request); },
            [&](const peer::CreditReply &answer) { this->credits.onReply(answer); },
            [&](const peer::QuotaReport &report) { this->credits.onReported(reply, report); },
            [&](const peer::QuotaUsedUp &usedUp) { this->credits.onUsedUp(usedUp); },
            [&](const peer::RequestClock &request) {
                reply(peer::ClockReply{request.sent, static_cast<std::uint64_t>(bootNow().time_since_epoch().count())});
            },
            [&](const peer::ClockReply &answer) { this->onClockReply(link, answer); },
            [&](const peer::ConfigCurrent &current) { this->onConfigCurrent(link, current); },
            [&](const peer::StreamsBegun &begun) { this->gates.onStreamsBegun(begun); },
            [&](const peer::FollowerAddress &follower) { this->onFollowerAddressReceived(link, follower); },
            [&](const peer::RequestTunnelHosts &request) { this->onTunnelHostsRequested(link, request.isCutOff); },
            [&](const peer::TunnelHostsNamed &named) {
                if (isFromPlacer) {
                    this->paths.setTunnelHosts(named.addresses, named.areOthersCutOff);
                }
            },
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
                this->readers.addFollower(link);
                this->store->addFollower(link, follow.version);
            },
            [&](const auto &) {
                if (!this->slots.onMessage(link, reply, message)) {
                    Log::warning("link_message_unexpected");
                }
            }},
        message);
}

} // namespace fescuesill
