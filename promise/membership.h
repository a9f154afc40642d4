#pragma once

// Tracks which hosts are live and spreads small facts (SWIM: random probes, suspicion, piggybacked deltas).
//
//     Membership membership(self, options, seed, now);
//     membership.onHostList(platformHosts, now);                       // the platform's lagging list, when received
//     for (const ProbeMessage &m : membership.tick(now)) { send(m); }   // every few tens of milliseconds
//     for (const ProbeMessage &m : membership.onMessage(in, now)) { send(m); }
//     membership.publish("cell/motor-7b/athens", version, bytes, now); // the newest version spreads to all hosts
//     membership.publishUrgent("config", version, bytes, now);         // every host that receives it pushes it at once
//     membership.facts(); membership.members(); membership.reach();
//
// Messages go to the host `to`, whose address is in its member. Start with an incarnation that increases over restarts
// (seconds of the Unix epoch), so that the state of a new process overrides that of the old one.

#include "fescuesill/ids.h"
#include "fescuesill/units.h"
#include "promise/configstore.h"
#include "promise/factboard.h"
#include "promise/probemessage.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fescuesill
{

class Membership
{
public:
    struct Options {
        // Each host sends one probe per period, so each host is also probed once a second on average in a fleet of 340.
        Duration period{1s};
        // Must be shorter than a period; the rest is left for indirect probes. Data centres are a few milliseconds
        // apart.
        Duration ackWait{300ms};
        int indirectProbes = 2;
        // How long a suspected host has to refute the suspicion: several times what gossip takes to reach 340 hosts.
        Duration suspicion{4s};
        // A dead host is kept for this long before it is removed, so that late gossip does not add it again.
        Duration forget{60s};
        // Deltas and facts in one message. A host sends and receives about four messages a second: under 2 KB/s in
        // total.
        Bytes maxPiggyback{300};
        // Each host that receives a gossip item sends it retransmit * log2(hosts) times. Two tolerate a loss of every
        // second packet. Hosts that still miss it receive it round robin, in the room that gossip leaves.
        int retransmit = 2;
        // Hosts that are probed at once when an urgent fact has a new version. Each of them does the same, so 340 hosts
        // have it after some five hops. The cost of a few hundred changes a day is negligible.
        int urgentPushes = 3;
        // The fleet size expected in two years and a margin; more are ignored.
        std::size_t maxMembers = 1024;
        FactBoard::Options facts;
        // The number of latest probes that reach() counts. A partition is visible after half as many periods.
        std::size_t reachProbes = 8;
        // Concurrent probes on behalf of others. A host is asked for about two a period.
        std::size_t maxRelays = 64;
    };

    Membership(MemberInfo self, const Options &options, std::uint64_t seed, Instant now);

    // Adds members that are not known, and marks hosts that the platform lists as leaving.
    void onHostList(const std::vector<MemberInfo> &hosts, Instant now);
    std::vector<ProbeMessage> tick(Instant now);
    std::vector<ProbeMessage> onMessage(const ProbeMessage &message, Instant now);
    // Ignored where the version is not higher than the one held.
    void publish(const std::string &name, std::uint64_t version, std::string bytes, Instant now);
    void publishUrgent(const std::string &name, std::uint64_t version, std::string bytes, Instant now);
    // Announces to all hosts that this host leaves. Only a new process can join again.
    void leave();

    const MemberInfo &self() const;
    std::vector<MemberInfo> members() const;
    // The address of another host; empty if the host is not known.
    std::string addressOf(const HostId &host) const;
    // Hosts of the data centre that can own cells, including this one: alive or suspected, not leaving.
    std::vector<HostId> owners(const DataCentreId &dataCentre) const;
    PeerReach reach() const;
    std::vector<Fact> facts() const;

private:
    struct Peer {
        MemberInfo info;
        Instant since; // when the state was entered
        int sent = 0; // how often this delta was sent
        bool reportedByHost = false; // by any host, not only by the platform's list
        bool listed = false; // in the platform's list as last read
        bool listedLeaving = false;
    };
    struct Pending {
        HostId target;
        Instant sentAt;
        std::uint64_t sequence = 0;
        bool indirect = false;
    };
    // A probe on behalf of another host.
    struct Relay {
        HostId requester;
        std::uint64_t requesterSequence = 0;
        Instant since;
    };

    ProbeMessage message(ProbeKind kind, const HostId &to, std::uint64_t sequence);
    void fill(ProbeMessage &message);
    void fillUrgent(ProbeMessage &message, std::size_t &room);
    void fillGossip(ProbeMessage &message, std::size_t &room);
    void fillRoundRobin(ProbeMessage &message, std::size_t &room);
    bool fillMemberRoundRobin(ProbeMessage &message, std::size_t &room);
    int timesToSend() const;
    void apply(const MemberInfo &info, Instant now);
    void applySelf(const MemberInfo &info);
    void applyFact(const Fact &fact, Instant now);
    void pushUrgent(std::vector<ProbeMessage> &out);
    void onAck(const ProbeMessage &ack, std::vector<ProbeMessage> &out);
    void onIndirectProbe(const ProbeMessage &request, Instant now, std::vector<ProbeMessage> &out);
    void setState(Peer &peer, MemberState state, Instant now);
    void restartTimers(Instant now);
    void expire(Instant now);
    void recordProbe(bool answered);
    void suspectPending(Instant now);
    void sendIndirectProbes(std::vector<ProbeMessage> &out);
    void startProbe(Instant now, std::vector<ProbeMessage> &out);
    std::optional<HostId> nextTarget();

    MemberInfo me;
    Options options;
    std::mt19937_64 random;
    std::map<HostId, Peer> peers;
    FactBoard board;
    std::vector<HostId> order; // this round's targets, shuffled
    std::optional<Pending> pending;
    std::deque<bool> recentProbes; // answered or not
    std::map<std::uint64_t, Relay> relays;
    Instant nextProbe;
    Instant lastTick;
    std::uint64_t lastSequence = 0;
    bool hasUrgentUpdate = false; // not yet pushed to other hosts
    HostId lastMemberSent; // in round-robin order
};

} // namespace fescuesill
