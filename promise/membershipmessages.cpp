#include "promise/membership.h"

#include <algorithm>

// What a message carries, in this order: the sender itself; what the receiver should know about itself; rumours, those
// first that were passed on least; then everything in turn. The sum stays below mostPiggyback, so the traffic of a host
// does not depend on the size of the fleet or on how much happens in it: news then only takes longer.

namespace fescuesill
{

ProbeMessage Membership::message(ProbeKind kind, const HostId &to, std::uint64_t sequence)
{
    ProbeMessage message;
    message.kind = kind;
    message.from = this->me.host;
    message.to = to;
    message.sequence = sequence;
    // Itself, so that a host not yet known is, and so that its refutation arrives with the answer.
    message.members.push_back(this->me);
    // Failure: a host is suspected and never hears of it, so it cannot refute. It shows as a live host that is dropped.
    // Whoever talks to it tells it.
    const auto peer = this->peers.find(to);
    if (peer != this->peers.end() && !isHeardAlive(peer->second.info.state)) {
        message.members.push_back(peer->second.info);
    }
    this->fill(message);
    return message;
}

void Membership::fill(ProbeMessage &message)
{
    const auto most = static_cast<std::size_t>(this->options.mostPiggyback.value());
    std::size_t used = 0;
    for (const MemberInfo &info : message.members) {
        used += sizeOf(info);
    }
    std::size_t room = most > used ? most - used : 0;
    this->fillUrgent(message, room);
    this->fillRumours(message, room);
    this->fillInTurn(message, room);
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

// What was passed on least goes first; members before facts.
void Membership::fillRumours(ProbeMessage &message, std::size_t &room)
{
    struct Rumour {
        int *sent;
        const MemberInfo *member;
        const Fact *fact;
        std::size_t size;
    };
    std::vector<Rumour> rumours;
    const int limit = this->timesToSend();
    for (auto &[host, peer] : this->peers) {
        if (peer.sent < limit && host != message.to) {
            rumours.push_back({&peer.sent, &peer.info, nullptr, sizeOf(peer.info)});
        }
    }
    for (FactBoard::Held *held : this->board.rumours(limit)) {
        rumours.push_back({&held->sent, nullptr, &held->fact, sizeOf(held->fact)});
    }
    std::stable_sort(rumours.begin(), rumours.end(),
                     [](const Rumour &a, const Rumour &b) { return *a.sent < *b.sent; });
    for (const Rumour &rumour : rumours) {
        if (rumour.size > room) {
            continue;
        }
        room -= rumour.size;
        ++*rumour.sent;
        if (rumour.member != nullptr) {
            message.members.push_back(*rumour.member);
        } else {
            message.facts.push_back(*rumour.fact);
        }
    }
}

// Two facts, then a member, as long as there is room, each kind once round at most.
void Membership::fillInTurn(ProbeMessage &message, std::size_t &room)
{
    const std::size_t turns = std::max(this->board.size(), this->peers.size());
    for (std::size_t turn = 0; turn < turns; ++turn) {
        if (turn % 3 != 2) {
            const Fact *fact = this->board.nextInTurn(room);
            if (fact != nullptr) {
                room -= sizeOf(*fact);
                message.facts.push_back(*fact);
            }
        } else if (!this->fillMemberInTurn(message, room)) {
            return;
        }
    }
}

// False when the next one has no room.
bool Membership::fillMemberInTurn(ProbeMessage &message, std::size_t &room)
{
    if (this->peers.empty()) {
        return false;
    }
    auto next = this->peers.upper_bound(this->memberTurn);
    if (next == this->peers.end()) {
        next = this->peers.begin();
    }
    const std::size_t size = sizeOf(next->second.info);
    if (size > room) {
        return false;
    }
    this->memberTurn = next->first;
    if (next->second.heard && next->first != message.to) {
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
