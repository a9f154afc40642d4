#pragma once

// Which hosts are live, and small facts that spread with it (SWIM: random probes, suspicion, piggy-backed deltas).
//
//     Membership membership(self, options, seed, now);
//     membership.onHostList(platformHosts, now);                       // the platform's lagging list, when it comes
//     for (const ProbeMessage &m : membership.tick(now)) { send(m); }   // every few tens of milliseconds
//     for (const ProbeMessage &m : membership.onMessage(in, now)) { send(m); }
//     membership.publish("cell/motor-7b/athens", version, bytes, now); // newest version spreads to all
//     membership.publishUrgent("config", version, bytes, now);         // pushed on at once, by every host that hears
//     it membership.facts(); membership.members(); membership.reach();
//
// Messages go to `to`; the address stands in the member. Start with an incarnation that grows over restarts (seconds of
// the Unix epoch), so that a new process is believed over what is said of the old one.

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
        // One probe a period: in a fleet of 340 each host is then probed once a second on average.
        Duration period{1s};
        // Within a period; the rest of it goes to indirect probes. Data centres are a few milliseconds apart.
        Duration ackWait{300ms};
        int indirectProbes = 2;
        // A suspected host has this long to refute: several times the spread of a rumour over 340 hosts.
        Duration suspicion{4s};
        // A dead host is forgotten after this long, so that a late rumour does not bring it back.
        Duration forget{60s};
        // Deltas and facts in one message. A host sends and gets about four messages a second: under 2 KB/s in all.
        Bytes maxPiggyback{300};
        // Every rumour is sent retransmit * log2(hosts) times by each host that hears it. Two cover one lost packet in
        // two; what is missed all the same comes in turn, in the room that rumours leave.
        int retransmit = 2;
        // Hosts that are told at once when an urgent fact turns newer. Each tells as many, so 340 hosts have it after
        // some five hops; a few hundred changes a day cost nothing.
        int urgentPushes = 3;
        // The two-year fleet and a margin; more are ignored.
        std::size_t maxMembers = 1024;
        FactBoard::Options facts;
        // Probes that reach() counts: a cut shows after half as many periods.
        std::size_t reachProbes = 8;
        // Probes made for others at once; a host is asked for some two a period.
        std::size_t maxRelays = 64;
    };

    Membership(MemberInfo self, const Options &options, std::uint64_t seed, Instant now);

    // Seeds members that are not known, and marks hosts that the platform says are leaving.
    void onHostList(const std::vector<MemberInfo> &hosts, Instant now);
    std::vector<ProbeMessage> tick(Instant now);
    std::vector<ProbeMessage> onMessage(const ProbeMessage &message, Instant now);
    // Ignored where the version is not higher than the one held.
    void publish(const std::string &name, std::uint64_t version, std::string bytes, Instant now);
    void publishUrgent(const std::string &name, std::uint64_t version, std::string bytes, Instant now);
    // Says to all that this host leaves. There is no way back but a new process.
    void leave();

    const MemberInfo &self() const;
    std::vector<MemberInfo> members() const;
    // Where another host is reached; empty where it is not known.
    std::string addressOf(const HostId &host) const;
    // Hosts of the data centre that can own cells: alive or only suspected, not leaving; this one included.
    std::vector<HostId> owners(const DataCentreId &dataCentre) const;
    PeerReach reach() const;
    std::vector<Fact> facts() const;

private:
    struct Peer {
        MemberInfo info;
        Instant since; // when the state was entered
        int sent = 0; // times that this delta was passed on
        bool reportedByHost = false; // some host said so; not only the platform's list
        bool listed = false; // in the platform's list as last read
        bool listedLeaving = false;
    };
    struct Pending {
        HostId target;
        Instant sentAt;
        std::uint64_t sequence = 0;
        bool indirect = false;
    };
    // A probe made for another host.
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
    bool hasUrgentUpdate = false; // not yet pushed on
    HostId lastMemberSent; // the last member that was sent in turn
};

} // namespace fescuesill
