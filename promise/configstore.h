#pragma once

// The configuration of one node: the version in force, and whether the node may serve with it.
//
//     ConfigStore store(options, now);
//     store.onTableRead(record, now);                 // or onTableFailed(now)
//     store.onPeerVersion(peer, version, now);        // a serving peer reports its version
//     if (store.wanted()) { ... fetch: store.onPeerRecord(peer, record, now) ... }
//     store.onReach(membership.reach(), now);          // every probe period
//     if (store.service(now) == ConfigService::Serving) { ... accept new work ... }
//     store.inForce();                                // nullptr until the first version is known
//
// Only higher versions are accepted, whatever their source, so a change is never reverted.

#include "fescuesill/ids.h"
#include "promise/configrecord.h"

#include <optional>
#include <set>

namespace fescuesill
{

enum class ConfigService {
    Learning, // the highest version is not known yet
    Serving,
    CutOff, // no contact with the table or a majority of the peers within the freshness limit
};

// How much of the fleet this node reaches, itself excluded: the number of answers to the last few probes of randomly
// chosen hosts.
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
        // A node without contact to the table or a majority of the peers for this long accepts no new work.
        Duration freshness{10s};
        // Number of peers that a starting node must learn from during an outage of the table; fewer in a smaller fleet.
        int startPeers = 3;
        // How long a starting node that has read the table waits for a first peer, which may have a higher version.
        Duration startWait{2s};
    };

    ConfigStore(Options options, Instant now);

    // Returns whether the version in force has increased. No record: the table has none yet.
    bool onTableRead(const std::optional<ConfigRecord> &record, Instant now);
    void onTableFailed(Instant now);
    // Only for peers that are Serving: one that is learning or cut off may not know the highest version either.
    void onPeerVersion(const HostId &peer, ConfigVersion version, Instant now);
    bool onPeerRecord(const HostId &peer, const ConfigRecord &record, Instant now);
    // Sent by the operator's command after the table accepted the record. Does not count as contact, because this node
    // may be cut off from everything else.
    bool onOperatorPush(const ConfigRecord &record);
    void onReach(PeerReach reach, Instant now);

    ConfigService service(Instant now) const;
    const ConfigRecord *inForce() const;
    ConfigVersion version() const;
    // The highest version that a peer has reported, if it is higher than the one in force.
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
