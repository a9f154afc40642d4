#pragma once

// The configuration of one node: what is in force here, and whether the node may serve with it.
//
//     ConfigStore store(options, now);
//     store.onTableRead(record, now);                 // or onTableFailed(now)
//     store.onPeerVersion(peer, version, now);        // a peer that serves says what it has in force
//     if (store.wanted()) { ... fetch it: store.onPeerRecord(peer, record, now) ... }
//     store.onReach(membership.reach(), now);          // every probe period
//     if (store.service(now) == ConfigService::Serving) { ... takes new work ... }
//     store.inForce();                                // nullptr until the first version is known
//
// Only a higher version is taken, whoever brings it, so nothing reverts.

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

// How much of the fleet this node hears, itself left out: of the last few probes of hosts picked at random, how many
// were answered.
struct PeerReach {
    int answered = 0;
    int probed = 0;
    int known = 0; // hosts

    bool isMajority() const;
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

    // True when the version in force went up. No record: the table has none yet.
    bool onTableRead(const std::optional<ConfigRecord> &record, Instant now);
    void onTableFailed(Instant now);
    // Only from peers that are Serving: one that learns or is cut off knows no more than we do.
    void onPeerVersion(const HostId &peer, ConfigVersion version, Instant now);
    bool onPeerRecord(const HostId &peer, const ConfigRecord &record, Instant now);
    // By the operator's command, which has seen the table accept it. No contact: it may be the only thing heard.
    bool onOperatorPush(const ConfigRecord &record);
    void onReach(PeerReach reach, Instant now);

    ConfigService service(Instant now) const;
    const ConfigRecord *inForce() const;
    ConfigVersion version() const;
    // A version higher than the one in force that somebody has; none when there is none.
    std::optional<ConfigVersion> wanted() const;

private:
    bool adopt(const ConfigRecord &record);
    void recordContact(Instant now);
    void restartLearning(Instant now);
    bool isCutOff(Instant now) const;
    bool knowsHighest(Instant now) const;
    int startPeersNeeded() const;

    Options options;
    Instant learningSince;
    std::optional<ConfigRecord> current;
    ConfigVersion highestSeen;
    bool tableRead = false;
    bool tableFailed = false;
    std::optional<Instant> lastContact;
    PeerReach reach;
    std::set<HostId> upToDatePeers; // since learning began; at most startPeers are kept
};

} // namespace fescuesill
