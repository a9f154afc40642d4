#pragma once

// The links between gateways: to the leader if this host follows one, and from the followers if it leads.
//
//     auto link = LeaderLink::create(io, options, gates, permits, slots, notices, credits, crashes, losses, paths);
//     link.value()->setStore(store);
//     link.value()->onLeader(update);          // the current leader, according to the lease

#include "decide/endpointpaths.h"
#include "decide/recentmaximum.h"
#include "decide/tunnelhostchoice.h"
#include "programs/gateway/crashexchange.h"
#include "programs/gateway/endpointnotices.h"
#include "programs/gateway/endpointpermits.h"
#include "programs/gateway/endpointslots.h"
#include "programs/gateway/eventlosses.h"
#include "programs/gateway/placementgates.h"
#include "programs/gateway/savedstate.h"
#include "programs/gateway/storewatcher.h"
#include "programs/gateway/workspacecredits.h"
#include "promise/deputychoice.h"
#include "promise/peerclock.h"
#include "promise/placingroute.h"
#include "promise/readerchoice.h"
#include "wire/peernode.h"

#include <set>

namespace fescuesill
{

class LeaderLink
{
public:
    struct Options {
        std::string listen; // IP:PORT
        std::size_t links = PeerNode::Options{}.maxLinks;
        std::string tunnels; // IP:PORT at which this host opens tunnels to endpoints; empty if it does not
        // A leader that hangs or is unreachable is detected within this time, and this host then places the generations
        // that wait there. Otherwise they would lose a fifth of the caller's target.
        Duration silence{900ms};
        Duration heartbeat{300ms};
    };

    static tl::expected<std::unique_ptr<LeaderLink>, WireError>
    create(asio::io_context &io, const Options &options, PlacementGates &gates, EndpointPermits &permits,
           EndpointSlots &slots, EndpointNotices &notices, WorkspaceCredits &credits, CrashExchange &crashes,
           EventLosses &losses, EndpointPaths &paths);
    // Sets the watcher of the store, which outlives the links.
    void setStore(StoreWatcher &watcher)
    {
        this->store = &watcher;
    }
    // Sets what saves the state of a host that decides for all. It outlives the links.
    void setSavedState(SavedState &state)
    {
        this->saved = &state;
    }
    ~LeaderLink();
    LeaderLink(const LeaderLink &) = delete;
    LeaderLink &operator=(const LeaderLink &) = delete;

    void onLeader(const store_update::Leader &leader);
    // Sends the update to one follower or to all.
    void onUpdate(const store_update::PeerUpdate &update);
    // Sends the update to the host that this one follows.
    void onUpdate(const store_update::LeaderUpdate &update);
    // Asks followers to read the store for this host while its own reads fail.
    void onUpdate(const store_update::OwnReads &reads);
    bool leads() const
    {
        return this->isLeading;
    }
    // This host is stopping and places for no other host from now on.
    void onStopping();
    // Connections at the port for links that were closed for new ones before they became links.
    std::uint64_t replacedConnections() const
    {
        return this->node->replacedConnections();
    }
    // Called periodically.
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

    LeaderLink(asio::io_context &io, const Options &options, PlacementGates &gates, EndpointPermits &permits,
               EndpointSlots &slots, EndpointNotices &notices, WorkspaceCredits &credits, CrashExchange &crashes,
               EventLosses &losses, EndpointPaths &paths);
    void push(Event event);
    void drain();
    void on(const Event &event);
    void onMessage(LinkId link, const peer::Message &message);
    void onOpened(LinkId link);
    void onClosed(LinkId link);
    void setLeaderReachable(bool isReachable);
    void onLeaderLost();
    bool isDeputyLink(LinkId link) const;
    // Updates the links and the gates to match the route.
    void applyRoute(Instant now);
    void switchPath(PlacingPath next);
    // Of all parts that ask the leader or its deputy, but the gates.
    void setUplinks(const PlacementGates::Send &send);
    void announceDeputy();
    // Reports to the deputy what it would need to know in the place of this host, and has it saved.
    void reportToDeputy(Instant now);
    peer::DeputyNamed deputyAnnouncement() const;
    void onFollowerAddressReceived(LinkId link, const peer::FollowerAddress &follower);
    // Requests hosts that open tunnels if this host needs them.
    void requestTunnelHosts(Instant now);
    void onTunnelHostsRequested(LinkId link, bool isCutOff);
    void nameTunnelHosts(LinkId link, Instant now);
    void applyReaders(Instant now);
    // Sets what this host may give of the workspaces' quotas.
    void applyQuotaPart(Instant now);
    void requestClock(LinkId link);
    void onConfigCurrent(LinkId link, const peer::ConfigCurrent &current);
    void onClockReply(LinkId link, const peer::ClockReply &reply);
    void onStoreLost(LinkId link);
    void announceLeader(const store_update::Leader &leader);
    void notifyClients(const peer::Message &message);
    void endPlacing();
    void endLeading();

    PlacementGates &gates;
    EndpointPermits &permits;
    EndpointSlots &slots;
    EndpointNotices &notices;
    WorkspaceCredits &credits;
    CrashExchange &crashes;
    EventLosses &losses;
    EndpointPaths &paths;
    StoreWatcher *store = nullptr;
    SavedState *saved = nullptr;
    std::set<LinkId> followers; // links of the hosts that this one forwards the store's changes to
    ReaderChoice<LinkId> readers;
    bool isOutage = false; // neither this host nor its readers can read the store
    std::set<LinkId> placementClients; // links to hosts that this one places for
    DeputyChoice<LinkId> deputies;
    TunnelHostChoice<LinkId> tunnelHosts; // of this host and of those that it places for
    std::string announcedDeputy; // the deputy last announced to the followers
    std::string informedDeputy; // the deputy that knows all streams but the newest
    std::uint64_t reportedCrashes = 0; // the revision that it knows
    Instant crashesReported;
    std::string ownAddress;
    std::string ownTunnels;
    PlacingRoute route;
    struct DeputyLink {
        std::string address;
        LinkId link{};
    };
    std::optional<DeputyLink> deputy;
    PlacingPath path = PlacingPath::Alone; // the path that the gates use now
    std::optional<LinkId> uplink;
    std::uint64_t hosts = 1; // in the fleet, as last stated by the leader or its deputy
    RecentMaximum fleetSize;
    // The clocks of hosts that report when the configuration was current, and the last report of each.
    struct Reporter {
        PeerClock clock{PeerClock::Options{}};
        std::optional<peer::ConfigCurrent> last;
    };
    std::map<LinkId, Reporter> reporters;
    bool isActing = false;
    Ring<Event> events;
    std::unique_ptr<PeerNode> node;
    std::optional<LinkId> leader; // the link to the leader, if this host follows one
    std::string leaderAddress;
    bool isLeading = false;
    Instant lastFollowRequest;
};

} // namespace fescuesill
