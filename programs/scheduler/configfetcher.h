#pragma once

// Asks other schedulers for the configuration they have in force, one short link for each.
//
//     ConfigFetcher fetcher(node, hello);
//     fetcher.fetch(host, address, now);                  // PeerNode's handlers call the on...() below
//     if (const auto host = fetcher.take(link)) { ... the ConfigInForce that came on this link is that host's ... }
//
// Used on the thread of the node.

#include "wire/peernode.h"

#include <map>
#include <optional>

namespace fescuesill
{

class ConfigFetcher
{
public:
    ConfigFetcher(PeerNode &node, peer::Hello hello);

    void fetch(const HostId &host, const std::string &address, Instant now);
    void onOpened(LinkId link);
    void onClosed(LinkId link);
    // Ends the fetch of this link and says whom it asked; none where the link is no fetch.
    std::optional<HostId> take(LinkId link);
    void dropOld(Instant now);

private:
    struct Fetch {
        HostId host;
        Instant since;
    };

    PeerNode &node;
    peer::Hello hello;
    std::map<LinkId, Fetch> fetches;
};

} // namespace fescuesill
