#include "promise/configstore.h"

#include <algorithm>

// Never reverts: adopt() is the only place that sets the version in force, and it takes a higher one only.
//
// In force everywhere within seconds: a host that hears nothing new may only serve while it would have heard. Contact
// is a table read, or membership that hears most of the fleet. One peer is not enough: two hosts cut off together would
// vouch for each other for ever. Most of the fleet is: in a table outage that all see, no version can be accepted, and
// the fleet goes on. A single host has no peers and lives by the table alone.
//
// A fresh start, and the return from being cut off (also a thaw), learn first: from the table, and from a peer where
// one answers in startWait, since a table restored from an old copy may be behind; or, without the table, from
// startPeers that serve themselves. Fewer could all be hosts that have just been cut off and do not know it yet.
//
// Not covered: most hosts cut off from the table and from a minority that still reaches it. The majority serves on with
// the version it has until it hears the table again.

namespace fescuesill
{

bool PeerReach::isMajority() const
{
    // This host counts as one that answers: with four of nine hosts lost, five are still most.
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
    // A peer with a higher version has not been heard out before its record is here.
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
    // Failure: a late reply, a peer that lags or a table restored from an old copy brings a lower version. It shows as
    // a change that was in force and is undone.
    if (record.version <= this->version()) {
        return false;
    }
    this->current = record;
    this->highestSeen = std::max(this->highestSeen, record.version);
    return true;
}

void ConfigStore::recordContact(Instant now)
{
    // Failure: a host frozen or cut off for long hears one probe and serves at once with what it had. It shows as
    // requests handled by a text that was replaced minutes ago.
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
