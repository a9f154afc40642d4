#include "promise/configstore.h"

#include <algorithm>

// The version in force never decreases: adopt() is the only function that sets it, and it accepts higher versions only.
//
// A change is in force everywhere within seconds: a host may serve only while it would learn of a new version. Contact
// is a successful table read, or answers to probes from a majority of the fleet. A single peer is not sufficient: two
// hosts that are cut off together would confirm each other indefinitely. A majority is sufficient: during a table
// outage that affects all hosts no version can be accepted, and the fleet continues to serve. A single host has no
// peers and depends on the table alone.
//
// After a start, and after being cut off or frozen, a host learns the version first. It learns from the table and from
// one peer if one answers within startWait, since a table restored from an old copy may lag behind. Without the table
// it learns from startPeers peers that serve; fewer could all be hosts that were just cut off and have not detected it.
//
// Not covered: a majority of the hosts is cut off from the table and from a minority that still reaches it. The
// majority continues to serve with its version until it reaches the table again.

namespace fescuesill
{

bool PeerReach::isMajority() const
{
    // This host counts as answering: with four of nine hosts lost, the other five are still a majority.
    return this->answered > 0 && 2 * (this->answered + 1) > this->probed + 1;
}

ConfigStore::ConfigStore(Options options, Instant now)
    : options(options)
    , learningSince(now)
{
}

bool ConfigStore::onTableRead(const std::optional<ConfigRecord> &record, Instant now)
{
    this->recordContact(now);
    this->tableRead = true;
    return record && this->adopt(*record);
}

void ConfigStore::onTableFailed(Instant now)
{
    if (this->isCutOff(now)) {
        this->restartLearning(now);
    }
    this->tableFailed = true;
}

void ConfigStore::onPeerVersion(const HostId &peer, ConfigVersion version, Instant now)
{
    if (this->isCutOff(now)) {
        this->restartLearning(now);
    }
    this->highestSeen = std::max(this->highestSeen, version);
    // A peer with a higher version does not count until its record has been received.
    const bool isUpToDate = version <= this->version() && version > ConfigVersion(0);
    if (isUpToDate && this->upToDatePeers.size() < static_cast<std::size_t>(this->options.startPeers)) {
        this->upToDatePeers.insert(peer);
    }
}

bool ConfigStore::onPeerRecord(const HostId &peer, const ConfigRecord &record, Instant now)
{
    const bool higher = this->adopt(record);
    this->onPeerVersion(peer, record.version, now);
    return higher;
}

bool ConfigStore::onOperatorPush(const ConfigRecord &record)
{
    return this->adopt(record);
}

void ConfigStore::onReach(PeerReach newReach, Instant now)
{
    this->reach = newReach;
    if (newReach.isMajority()) {
        this->recordContact(now);
    }
}

ConfigService ConfigStore::service(Instant now) const
{
    if (this->isCutOff(now)) {
        return ConfigService::CutOff;
    }
    return this->current && this->knowsHighest(now) ? ConfigService::Serving : ConfigService::Learning;
}

const ConfigRecord *ConfigStore::inForce() const
{
    return this->current ? &*this->current : nullptr;
}

ConfigVersion ConfigStore::version() const
{
    return this->current ? this->current->version : ConfigVersion(0);
}

std::optional<ConfigVersion> ConfigStore::wanted() const
{
    return this->highestSeen > this->version() ? std::optional(this->highestSeen) : std::nullopt;
}

bool ConfigStore::adopt(const ConfigRecord &record)
{
    // A late reply, a lagging peer or a table restored from an old copy can deliver a lower version, which would undo a
    // change that is in force.
    if (record.version <= this->version()) {
        return false;
    }
    this->current = record;
    this->highestSeen = std::max(this->highestSeen, record.version);
    return true;
}

void ConfigStore::recordContact(Instant now)
{
    // A host that was frozen or cut off for a long time must not serve immediately after one probe: it would handle
    // requests with a configuration that was replaced minutes ago.
    if (this->isCutOff(now)) {
        this->restartLearning(now);
    }
    this->lastContact = now;
}

void ConfigStore::restartLearning(Instant now)
{
    this->learningSince = now;
    this->tableRead = false;
    this->tableFailed = false;
    this->upToDatePeers.clear();
}

bool ConfigStore::isCutOff(Instant now) const
{
    return this->lastContact && now - *this->lastContact >= this->options.freshness;
}

bool ConfigStore::knowsHighest(Instant now) const
{
    const int upToDate = static_cast<int>(this->upToDatePeers.size());
    if (this->tableRead) {
        return upToDate > 0 || this->reach.known == 0 || now - this->learningSince >= this->options.startWait;
    }
    return this->tableFailed && this->lastContact && upToDate >= this->startPeersNeeded();
}

int ConfigStore::startPeersNeeded() const
{
    return std::max(1, std::min(this->options.startPeers, this->reach.known));
}

} // namespace fescuesill
