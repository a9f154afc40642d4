#pragma once

// The links of entries to this scheduler: what they say goes to the deciding duty, and those that follow get the news.
// On the thread of the node.
//
//     EntryLinks entries(node, decide, [&] { return EntryLinks::News{config, hosts, cells}; });
//     entries.onMessage(link, message);
//     entries.tellFollowers(peer::AllCells{board.news()});
//     entries.onClosed(link);

#include "programs/scheduler/peerduty.h"
#include "wire/peernode.h"

#include <set>

namespace fescuesill
{

class EntryLinks
{
public:
    // Everything that an entry needs to begin with.
    struct News {
        peer::ConfigInForce config;
        peer::LiveHosts hosts;
        peer::AllCells cells;
    };

    EntryLinks(PeerNode &node, PeerDuty::Decide decide, std::function<News()> news);

    void onMessage(LinkId link, peer::Message message);
    void onFollow(LinkId link, const peer::Follow &follow);
    void onClosed(LinkId link);
    // Says again what a full ring did not take.
    void tellPendingClosed();
    void tellFollowers(const peer::Message &message);

    std::size_t followerCount() const;

private:
    void onDeciderFull(LinkId link, const std::optional<RequestId> &asked);

    PeerNode &node;
    PeerDuty::Decide decide;
    std::function<News()> news;
    std::set<LinkId> entries;
    std::set<LinkId> followers; // of the entries, those that want the news here
    std::vector<LinkId> pendingClosed; // at most the links that were open
};

} // namespace fescuesill
