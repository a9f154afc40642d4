#include "promise/membership.h"

#include <algorithm>
#include <iterator>
#include <utility>

// Follows SWIM (Das, Gupta, Motivala 2002): in each period one other host is probed, in shuffled rounds, so that every
// host is probed once a period on average and the cost per host does not grow with the fleet. If the host does not
// acknowledge, others are asked to probe it, since our own link may be at fault. If they get no reply either, the host
// is suspected, and declared dead unless it refutes the suspicion in time. Updates are piggybacked on these messages.
//
// Of two states of one host, the one with the higher incarnation wins. Within one incarnation the worse state wins, so
// that a suspicion holds until the host itself refutes it: only the host raises its incarnation.
//
// The platform's list of hosts lags. It names hosts to probe and hosts that leave; it never marks a host alive or dead.
//
// Gossip is sent a bounded number of times and may miss a host that is partitioned meanwhile. The remaining room is
// therefore filled with all facts and members round robin, so that a host that reconnects has all of them within
// seconds.
//
// Rejected: heartbeats between all hosts (340 x 339 a second); heartbeats in the table (340 writes a second, and the
// store may be unavailable when membership matters most).

namespace fescuesill
{
namespace
{

bool overrides(const MemberInfo &newer, const MemberInfo &known)
{
    if (newer.incarnation != known.incarnation) {
        return newer.incarnation > known.incarnation;
    }
    return static_cast<int>(newer.state) > static_cast<int>(known.state);
}

} // namespace

Membership::Membership(MemberInfo self, const Options &options, std::uint64_t seed, Instant now)
    : me(std::move(self))
    , options(options)
    , random(seed)
    , board(options.facts)
    , nextProbe(now)
    , lastTick(now)
{
}

void Membership::onHostList(const std::vector<MemberInfo> &hosts, Instant now)
{
    for (auto &[host, peer] : this->peers) {
        peer.listed = false;
    }
    for (const MemberInfo &info : hosts) {
        const bool leaving = info.state == MemberState::Leaving;
        if (info.host == this->me.host) {
            if (leaving) {
                this->leave();
            }
            continue;
        }
        if (this->peers.count(info.host) == 0 && this->peers.size() >= this->options.maxMembers) {
            continue;
        }
        const auto [found, inserted] = this->peers.try_emplace(info.host);
        Peer &peer = found->second;
        if (inserted) {
            peer.info = info;
            peer.info.state = MemberState::Alive;
            peer.info.incarnation = 0;
            peer.since = now;
            peer.sent = this->timesToSend(); // the platform's list is not gossiped
        }
        peer.listed = true;
        peer.listedLeaving = leaving;
    }
}

std::vector<ProbeMessage> Membership::tick(Instant now)
{
    std::vector<ProbeMessage> out;
    if (now - this->lastTick > this->options.period) {
        this->restartTimers(now);
    }
    this->lastTick = now;
    this->expire(now);
    this->pushUrgent(out);
    if (this->pending && !this->pending->indirect && now - this->pending->sentAt >= this->options.ackWait) {
        this->sendIndirectProbes(out);
    }
    if (now >= this->nextProbe) {
        this->suspectPending(now);
        this->startProbe(now, out);
        this->nextProbe = now + this->options.period;
    }
    return out;
}

std::vector<ProbeMessage> Membership::onMessage(const ProbeMessage &in, Instant now)
{
    std::vector<ProbeMessage> out;
    if (in.to != this->me.host) {
        return out; // this address belonged to another host before
    }
    for (const MemberInfo &info : in.members) {
        this->apply(info, now);
    }
    for (const Fact &fact : in.facts) {
        this->applyFact(fact, now);
    }
    switch (in.kind) {
    case ProbeKind::Probe:
        out.push_back(this->message(ProbeKind::Ack, in.from, in.sequence));
        break;
    case ProbeKind::Ack:
        this->onAck(in, out);
        break;
    case ProbeKind::IndirectProbe:
        this->onIndirectProbe(in, now, out);
        break;
    case ProbeKind::IndirectAck:
        if (this->pending && this->pending->sequence == in.sequence && this->pending->target == in.target) {
            this->recordProbe(true);
        }
        break;
    }
    return out;
}

void Membership::publish(const std::string &name, std::uint64_t version, std::string bytes, Instant now)
{
    this->applyFact(Fact{name, version, std::move(bytes), false}, now);
}

void Membership::publishUrgent(const std::string &name, std::uint64_t version, std::string bytes, Instant now)
{
    this->applyFact(Fact{name, version, std::move(bytes), true}, now);
}

void Membership::applyFact(const Fact &fact, Instant now)
{
    const bool isNewer = this->board.apply(fact, now);
    this->hasUrgentUpdate = this->hasUrgentUpdate || (isNewer && fact.urgent);
}

// Without pushes, a change right before the table fails would spread only by one probe a second with room for a few
// facts, and hosts would use the old configuration for minutes. A push is a probe to a random host whose reply is not
// waited for; the reply carries that host's updates.
void Membership::pushUrgent(std::vector<ProbeMessage> &out)
{
    if (!this->hasUrgentUpdate || this->peers.empty()) {
        return;
    }
    this->hasUrgentUpdate = false;
    std::vector<HostId> targets;
    for (const auto &[host, peer] : this->peers) {
        targets.push_back(host);
    }
    std::shuffle(targets.begin(), targets.end(), this->random);
    targets.resize(std::min(targets.size(), static_cast<std::size_t>(this->options.urgentPushes)));
    for (const HostId &target : targets) {
        out.push_back(this->message(ProbeKind::Probe, target, ++this->lastSequence));
    }
}

void Membership::leave()
{
    if (this->me.state != MemberState::Leaving) {
        this->me.state = MemberState::Leaving;
        ++this->me.incarnation;
    }
}

const MemberInfo &Membership::self() const
{
    return this->me;
}

std::vector<MemberInfo> Membership::members() const
{
    std::vector<MemberInfo> all{this->me};
    for (const auto &[host, peer] : this->peers) {
        all.push_back(peer.info);
        if (peer.listedLeaving && peer.info.state == MemberState::Alive) {
            all.back().state = MemberState::Leaving;
        }
    }
    return all;
}

std::string Membership::addressOf(const HostId &host) const
{
    const auto found = this->peers.find(host);
    return found == this->peers.end() ? std::string() : found->second.info.address;
}

std::vector<HostId> Membership::owners(const DataCentreId &dataCentre) const
{
    std::vector<HostId> hosts;
    for (const MemberInfo &info : this->members()) {
        const bool canOwn = info.state == MemberState::Alive || info.state == MemberState::Suspect;
        if (canOwn && info.dataCentre == dataCentre) {
            hosts.push_back(info.host);
        }
    }
    return hosts;
}

PeerReach Membership::reach() const
{
    PeerReach reach;
    reach.answered = static_cast<int>(std::count(this->recentProbes.begin(), this->recentProbes.end(), true));
    reach.probed = static_cast<int>(this->recentProbes.size());
    reach.known = static_cast<int>(this->peers.size());
    return reach;
}

std::vector<Fact> Membership::facts() const
{
    return this->board.all();
}

void Membership::apply(const MemberInfo &info, Instant now)
{
    if (info.host == this->me.host) {
        this->applySelf(info);
        return;
    }
    const auto found = this->peers.find(info.host);
    if (found == this->peers.end()) {
        if (info.state != MemberState::Dead && this->peers.size() < this->options.maxMembers) {
            Peer peer;
            peer.info = info;
            peer.since = now;
            peer.reportedByHost = true;
            this->peers.emplace(info.host, peer);
        }
        return;
    }
    Peer &peer = found->second;
    const bool firstReported = !peer.reportedByHost && isAliveOrLeaving(info.state);
    if (overrides(info, peer.info)) {
        const MemberState state = info.state;
        peer.info = info;
        this->setState(peer, state, now);
    }
    peer.reportedByHost = peer.reportedByHost || firstReported;
}

void Membership::applySelf(const MemberInfo &info)
{
    const bool isSuspected = !isAliveOrLeaving(info.state) && info.incarnation >= this->me.incarnation;
    const bool isFromEarlierProcess = info.incarnation > this->me.incarnation;
    if (isSuspected || isFromEarlierProcess) {
        this->me.incarnation = info.incarnation + 1;
    }
}

void Membership::onAck(const ProbeMessage &ack, std::vector<ProbeMessage> &out)
{
    if (this->pending && this->pending->sequence == ack.sequence && this->pending->target == ack.from) {
        this->recordProbe(true);
        return;
    }
    const auto relay = this->relays.find(ack.sequence);
    if (relay == this->relays.end()) {
        return;
    }
    out.push_back(this->message(ProbeKind::IndirectAck, relay->second.requester, relay->second.requesterSequence));
    out.back().target = ack.from;
    this->relays.erase(relay);
}

void Membership::onIndirectProbe(const ProbeMessage &request, Instant now, std::vector<ProbeMessage> &out)
{
    if (this->relays.size() >= this->options.maxRelays || this->peers.count(request.target) == 0) {
        return;
    }
    ++this->lastSequence;
    this->relays[this->lastSequence] = Relay{request.from, request.sequence, now};
    out.push_back(this->message(ProbeKind::Probe, request.target, this->lastSequence));
}

void Membership::setState(Peer &peer, MemberState state, Instant now)
{
    peer.info.state = state;
    peer.since = now;
    peer.sent = 0;
}

// After this process was suspended, timeouts that expired meanwhile do not count. Otherwise it would at once suspect
// the host that it had probed and declare suspected hosts dead, although it was itself not receiving.
void Membership::restartTimers(Instant now)
{
    this->pending.reset();
    this->recentProbes.clear();
    this->nextProbe = now;
    for (auto &[host, peer] : this->peers) {
        if (peer.info.state == MemberState::Suspect) {
            peer.since = now;
        }
    }
}

void Membership::expire(Instant now)
{
    for (auto peer = this->peers.begin(); peer != this->peers.end();) {
        const MemberState state = peer->second.info.state;
        const Duration age = now - peer->second.since;
        if (state == MemberState::Suspect && age >= this->options.suspicion) {
            this->setState(peer->second, MemberState::Dead, now);
        }
        const bool forgotten = state == MemberState::Dead && !peer->second.listed && age >= this->options.forget;
        peer = forgotten ? this->peers.erase(peer) : std::next(peer);
    }
    for (auto relay = this->relays.begin(); relay != this->relays.end();) {
        const bool late = now - relay->second.since >= this->options.period;
        relay = late ? this->relays.erase(relay) : std::next(relay);
    }
}

void Membership::recordProbe(bool answered)
{
    this->pending.reset();
    this->recentProbes.push_back(answered);
    if (this->recentProbes.size() > this->options.reachProbes) {
        this->recentProbes.pop_front();
    }
}

void Membership::suspectPending(Instant now)
{
    if (!this->pending) {
        return;
    }
    const auto peer = this->peers.find(this->pending->target);
    this->recordProbe(false);
    if (peer != this->peers.end() && isAliveOrLeaving(peer->second.info.state)) {
        this->setState(peer->second, MemberState::Suspect, now);
    }
}

void Membership::sendIndirectProbes(std::vector<ProbeMessage> &out)
{
    this->pending->indirect = true;
    std::vector<HostId> candidates;
    for (const auto &[host, peer] : this->peers) {
        if (isAliveOrLeaving(peer.info.state) && host != this->pending->target) {
            candidates.push_back(host);
        }
    }
    std::vector<HostId> chosen;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(chosen), this->options.indirectProbes,
                this->random);
    for (const HostId &host : chosen) {
        out.push_back(this->message(ProbeKind::IndirectProbe, host, this->pending->sequence));
        out.back().target = this->pending->target;
    }
}

void Membership::startProbe(Instant now, std::vector<ProbeMessage> &out)
{
    const std::optional<HostId> target = this->nextTarget();
    if (!target) {
        return;
    }
    ++this->lastSequence;
    this->pending = Pending{*target, now, this->lastSequence, false};
    out.push_back(this->message(ProbeKind::Probe, *target, this->lastSequence));
}

// Probes the hosts in rounds of shuffled order, so that every host is probed within two rounds. Dead hosts are probed
// too until they are removed, so that the two sides of a healed partition find each other.
std::optional<HostId> Membership::nextTarget()
{
    for (int round = 0; round < 2; ++round) {
        while (!this->order.empty()) {
            const HostId host = this->order.back();
            this->order.pop_back();
            if (this->peers.count(host) != 0) {
                return host;
            }
        }
        for (const auto &[host, peer] : this->peers) {
            this->order.push_back(host);
        }
        std::shuffle(this->order.begin(), this->order.end(), this->random);
    }
    return std::nullopt;
}

} // namespace fescuesill
