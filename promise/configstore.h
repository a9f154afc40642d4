#pragma once

// The configuration of one node: what is in force here, and whether the node may serve with it.
//
//     ConfigStore store(options, now);
//     store.onTableRead(record, now);                 // or onTableFailed(now)
//     store.onPeerVersion(peer, record, now);         // a peer that is itself fresh
//     store.onReach(PeerReach{alive, known}, now);    // from membership, every probe period
//     if (store.service(now) == ConfigService::Serving) { ... takes new work ... }
//     store.inForce();                                // nullptr until the first version is known
//
// adopt() takes only higher versions, whoever brings them, so nothing reverts.

#include "fescuesill/ids.h"
#include "promise/configrecord.h"

#include <optional>
#include <set>

namespace fescuesill
{

enum class ConfigService {
    Learning, // started; does not know the highest version yet
    Serving,
    CutOff, // neither the table nor most peers heard within the freshness limit
};

// How much of the fleet this node hears, itself left out.
struct PeerReach {
    int alive = 0;
    int known = 0;
};

class ConfigStore
{
public:
    struct Options {
        // A node that heard neither the table nor most peers for this long takes no new work.
        Duration freshness{10s};
        // Peers that a starting node must hear in an outage of the table; fewer when the fleet is smaller.
        int startPeers = 3;
        // How long a starting node that read the table waits for the first peer, which may have a higher version.
        Duration startWait{2s};
    };

    ConfigStore(Options options, Instant now);

    // True when the version went up.
    bool onTableRead(const std::optional<ConfigRecord> &record, Instant now);
    void onTableFailed(Instant now);
    bool onPeerVersion(const HostId &peer, const std::optional<ConfigRecord> &record, Instant now);
    void onReach(PeerReach reach, Instant now);

    ConfigService service(Instant now) const;
    const ConfigRecord *inForce() const;
    ConfigVersion version() const;

private:
    bool adopt(const ConfigRecord &record);
    bool knowsHighest(Instant now) const;
    bool hearsMostPeers() const;

    Options options;
    Instant started;
    std::optional<ConfigRecord> current;
    bool tableRead = false;
    bool tableFailed = false;
    std::optional<Instant> lastTable;
    std::optional<Instant> lastReach;
    PeerReach reach;
    std::set<HostId> peersHeard; // only until learned; at most startPeers
};

} // namespace fescuesill
