#include "promise/membership.h"

#include <algorithm>

// A message carries, in this order: the sender; the state of the receiver if it has to refute it; urgent facts; gossip,
// the least often sent first; then all facts and members round robin. The total stays below maxPiggyback, so the
// traffic of a host does not depend on the size of the fleet or the rate of changes: with many changes, updates take
// longer.

namespace fescuesill
{

ProbeMessage Membership::message(ProbeKind kind, const HostId &to, std::uint64_t sequence)
{
    ProbeMessage message;
    message.kind = kind;
    message.from = this->me.host;
    message.to = to;
    message.sequence = sequence;
    // The sender, so that a new host becomes known and a refutation arrives with the reply.
    message.members.push_back(this->me);
    // A suspected host has to learn of the suspicion to refute it, or a live host would be declared dead. Every message
    // to it therefore carries its state.
    const auto peer = this->peers.find(to);
    if (peer != this->peers.end() && !isAliveOrLeaving(peer->second.info.state)) {
        message.members.push_back(peer->second.info);
    }
    this->fill(message);
    return message;
}

void Membership::fill(ProbeMessage &message)
{
    const auto limit = static_cast<std::size_t>(this->options.maxPiggyback.value());
    std::size_t used = 0;
    for (const MemberInfo &info : message.members) {
        used += sizeOf(info);
    }
    std::size_t room = limit > used ? limit - used : 0;
    this->fillUrgent(message, room);
    this->fillGossip(message, room);
    this->fillRoundRobin(message, room);
}

void Membership::fillUrgent(ProbeMessage &message, std::size_t &room)
{
    for (const Fact &fact : this->board.urgent()) {
        const std::size_t size = sizeOf(fact);
        if (size <= room) {
            room -= size;
            message.facts.push_back(fact);
        }
    }
}

// Items that were sent the least often go first; members before facts.
void Membership::fillGossip(ProbeMessage &message, std::size_t &room)
{
    struct GossipItem {
        int *sent;
        const MemberInfo *member;
        const Fact *fact;
        std::size_t size;
    };
    std::vector<GossipItem> items;
    const int limit = this->timesToSend();
    for (auto &[host, peer] : this->peers) {
        if (peer.sent < limit && host != message.to) {
            items.push_back({&peer.sent, &peer.info, nullptr, sizeOf(peer.info)});
        }
    }
    for (FactBoard::Entry *entry : this->board.gossip(limit)) {
        items.push_back({&entry->sent, nullptr, &entry->fact, sizeOf(entry->fact)});
    }
    std::stable_sort(items.begin(), items.end(),
                     [](const GossipItem &a, const GossipItem &b) { return *a.sent < *b.sent; });
    for (const GossipItem &item : items) {
        if (item.size > room) {
            continue;
        }
        room -= item.size;
        ++*item.sent;
        if (item.member != nullptr) {
            message.members.push_back(*item.member);
        } else {
            message.facts.push_back(*item.fact);
        }
    }
}

// Adds two facts, then a member, and so on while there is room, each at most once.
void Membership::fillRoundRobin(ProbeMessage &message, std::size_t &room)
{
    const std::size_t turns = std::max(this->board.size(), this->peers.size());
    for (std::size_t turn = 0; turn < turns; ++turn) {
        if (turn % 3 != 2) {
            const Fact *fact = this->board.nextRoundRobin(room);
            if (fact != nullptr) {
                room -= sizeOf(*fact);
                message.facts.push_back(*fact);
            }
        } else if (!this->fillMemberRoundRobin(message, room)) {
            return;
        }
    }
}

// Returns false if there is no member or the next one does not fit.
bool Membership::fillMemberRoundRobin(ProbeMessage &message, std::size_t &room)
{
    if (this->peers.empty()) {
        return false;
    }
    auto next = this->peers.upper_bound(this->lastMemberSent);
    if (next == this->peers.end()) {
        next = this->peers.begin();
    }
    const std::size_t size = sizeOf(next->second.info);
    if (size > room) {
        return false;
    }
    this->lastMemberSent = next->first;
    if (next->second.reportedByHost && next->first != message.to) {
        room -= size;
        message.members.push_back(next->second.info);
    }
    return true;
}

int Membership::timesToSend() const
{
    int log = 1;
    for (std::size_t hosts = this->peers.size() + 1; hosts > 1; hosts /= 2) {
        ++log;
    }
    return this->options.retransmit * log;
}

} // namespace fescuesill
