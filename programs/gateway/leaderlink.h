#pragma once

// The links between gateways: to the leader where this host follows one, from the followers where it leads.
//
//     auto link = LeaderLink::create(io, options, gates);
//     link.value()->setStore(store);
//     link.value()->onLeader(update);          // who leads, as the lease says

#include "programs/gateway/placementgates.h"
#include "promise/deputychoice.h"
#include "promise/placingroute.h"
#include "wire/peernode.h"

#include <set>

namespace fescuesill
{

class LeaderLink
{
public:
    struct Options {
        std::string listen; // IP:PORT
        // A leader that froze or was cut off is noticed within this, and generations that wait with it are placed
        // from here: a fifth of a caller's target would be lost otherwise.
        Duration silence{900ms};
        Duration heartbeat{300ms};
    };

    static tl::expected<std::unique_ptr<LeaderLink>, WireError> create(asio::io_context &io, const Options &options,
                                                                       PlacementGates &gates);
    // Which follows the store; outlives the links.
    void setStore(StoreWatcher &duty)
    {
        this->store = &duty;
    }
    ~LeaderLink();
    LeaderLink(const LeaderLink &) = delete;
    LeaderLink &operator=(const LeaderLink &) = delete;

    void onLeader(const store_update::Leader &leader);
    // Hands it to one follower or to all.
    void onUpdate(const store_update::PeerUpdate &update);
    bool leads() const
    {
        return this->isLeading;
    }
    // This host stops: it will place for no other.
    void onStopping();
    // Now and then.
    void onTick(Instant now);
    void stop();

private:
    enum class Change {
        Opened,
        Received,
        Closed,
    };
    struct Event {
        Change change = Change::Opened;
        LinkId link{};
        peer::Message message;
    };

    LeaderLink(asio::io_context &io, const std::string &ownAddress, PlacementGates &gates);
    void push(Event event);
    void drain();
    void on(const Event &event);
    void onMessage(LinkId link, const peer::Message &message);
    void onOpened(LinkId link);
    void onClosed(LinkId link);
    void setLeaderReachable(bool isReachable);
    bool isDeputyLink(LinkId link) const;
    // Brings links and the gates in line with the route.
    void applyRoute(Instant now);
    void switchPath(PlacingPath next);
    void announceDeputy();
    peer::DeputyNamed deputyAnnouncement() const;
    void onFollowerAddress(LinkId link, const std::string &address);
    void endPlacing();
    void endLeading();

    PlacementGates &gates;
    StoreWatcher *store = nullptr;
    std::set<LinkId> followers; // links to this host while it leads
    std::set<LinkId> placementClients; // hosts that this one places for
    DeputyChoice<LinkId> deputies;
    std::string announcedDeputy; // as the followers know it
    std::string ownAddress;
    PlacingRoute route;
    struct DeputyLink {
        std::string address;
        LinkId link{};
    };
    std::optional<DeputyLink> deputy;
    PlacingPath path = PlacingPath::Alone; // that the gates take
    std::optional<LinkId> uplink;
    std::uint64_t hosts = 1; // of the fleet, as the last leader said
    bool isActing = false;
    Ring<Event> events;
    std::unique_ptr<PeerNode> node;
    std::optional<LinkId> leader; // the link to it, where this host follows
    std::string leaderAddress;
    bool isLeading = false;
    Instant lastFollowRequest;
};

} // namespace fescuesill
