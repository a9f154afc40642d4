// An endpoint whose row is removed takes no new work from then on, with one exception: rows expire while the table is
// unavailable, and treating those as removed would empty the fleet as soon as the table recovers. Therefore endpoints
// found missing between the loss of the table and the end of a grace period after its recovery are kept until that
// grace period ends. By then every live endpoint has written its row again, and those still missing are removed. The
// table recovered at an unknown time between the last failed read and the first successful one. The grace period counts
// from the latter, for live endpoints, but ends a bounded time after the former, for those that have left.

#include "promise/endpointregistry.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fescuesill
{

bool EndpointRegistry::isWithinGrace(Instant now) const
{
    return this->isStoreLost || (this->graceEnd && now < *this->graceEnd);
}

MissingEndpoint EndpointRegistry::onMissing(std::map<EndpointId, Entry>::iterator entry, Instant now)
{
    const EndpointId id = entry->first;
    // An endpoint that announced that it is leaving and is missing from the table has left; the outage is not the
    // cause.
    if (!this->isWithinGrace(now) || entry->second.record.isLeaving) {
        this->entries.erase(entry);
        return {id, false};
    }
    entry->second.missingUntil = this->isStoreLost ? now + this->options.returnGrace : *this->graceEnd;
    return {id, true};
}

std::vector<MissingEndpoint> EndpointRegistry::onListed(const std::vector<EndpointRecord> &records, Instant now)
{
    std::vector<MissingEndpoint> missing;
    this->missed += this->hasList ? 1 : 0;
    this->hasList = true;
    std::set<EndpointId> listed;
    for (const EndpointRecord &record : records) {
        listed.insert(record.id);
        this->onChanged(record, now);
    }
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        const auto current = entry++;
        if (listed.count(current->first) == 0 && !current->second.missingUntil) {
            missing.push_back(this->onMissing(current, now));
        }
    }
    return missing;
}

void EndpointRegistry::onChanged(const EndpointRecord &record, Instant)
{
    this->unreadable.erase(record.id);
    if (record.part != EndpointPart::Plain) {
        this->noteVersion(record);
    }
    Entry &entry = this->entries[record.id];
    entry = Entry{record, std::nullopt};
    const auto left = this->leavingStarts.find(record.id);
    if (left == this->leavingStarts.end()) {
        return;
    }
    if (left->second == record.incarnation) {
        entry.record.isLeaving = true; // the row may be older than what the endpoint has said
    } else {
        this->leavingStarts.erase(left);
    }
}

void EndpointRegistry::noteVersion(const EndpointRecord &record)
{
    if (this->seenVersions.size() >= this->options.maxSeenServices && this->seenVersions.count(record.service) == 0) {
        this->seenVersions.clear();
        ++this->missed;
    }
    this->seenVersions[record.service].insert(record.version);
}

std::set<SoftwareVersion> EndpointRegistry::takeSeenVersions(const ServiceId &service)
{
    const auto seen = this->seenVersions.find(service);
    if (seen == this->seenVersions.end()) {
        return {};
    }
    std::set<SoftwareVersion> taken = std::move(seen->second);
    this->seenVersions.erase(seen);
    return taken;
}

bool EndpointRegistry::onLeavingStated(const EndpointId &id, std::int64_t incarnation)
{
    const auto known = this->leavingStarts.find(id);
    if (known != this->leavingStarts.end() && known->second >= incarnation) {
        return false;
    }
    const auto entry = this->entries.find(id);
    if (entry != this->entries.end() && entry->second.record.incarnation > incarnation) {
        return false; // it has started again since
    }
    if (known == this->leavingStarts.end() && this->leavingStarts.size() >= this->options.maxLeaving) {
        this->leavingStarts.erase(this->leavingStarts.begin());
    }
    this->leavingStarts[id] = incarnation;
    if (entry != this->entries.end() && entry->second.record.incarnation == incarnation) {
        entry->second.record.isLeaving = true;
    }
    return true;
}

std::vector<MissingEndpoint> EndpointRegistry::onRemoved(const EndpointId &id, Instant now)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end()) {
        // A change that is followed by another one of its row may not be reported by itself.
        this->missed += this->unreadable.erase(id) == 0 ? 1 : 0;
        return {};
    }
    return {this->onMissing(found, now)};
}

std::vector<MissingEndpoint> EndpointRegistry::onUnreadable(const EndpointId &id, Instant now)
{
    const auto found = this->entries.find(id);
    auto missing = found == this->entries.end() ? std::vector<MissingEndpoint>()
                                                : std::vector<MissingEndpoint>{this->onMissing(found, now)};
    if (this->unreadable.size() < this->options.maxUnreadable) {
        this->unreadable.insert(id);
    }
    return missing;
}

void EndpointRegistry::onStoreLost(Instant)
{
    this->isStoreLost = true;
}

void EndpointRegistry::onStoreRecovered(Instant lastFailure, Instant now)
{
    if (!this->isStoreLost) {
        return;
    }
    this->isStoreLost = false;
    this->graceEnd = std::min(now + this->options.returnGrace, lastFailure + this->options.useLimit);
}

std::vector<MissingEndpoint> EndpointRegistry::expire(Instant now)
{
    std::vector<MissingEndpoint> removed;
    if (this->isStoreLost) {
        return removed;
    }
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        const auto current = entry++;
        if (current->second.missingUntil && now >= *current->second.missingUntil) {
            removed.push_back({current->first, false});
            this->entries.erase(current);
        }
    }
    return removed;
}

std::vector<const EndpointRecord *> EndpointRegistry::usable(const ServiceId &service) const
{
    std::vector<const EndpointRecord *> found;
    for (const auto &[id, entry] : this->entries) {
        if (entry.record.service == service && !entry.record.isLeaving) {
            found.push_back(&entry.record);
        }
    }
    return found;
}

std::set<SoftwareVersion> EndpointRegistry::versions(const ServiceId &service) const
{
    std::set<SoftwareVersion> found;
    for (const auto &[id, entry] : this->entries) {
        if (entry.record.service == service && entry.record.part != EndpointPart::Plain) {
            found.insert(entry.record.version);
        }
    }
    return found;
}

const EndpointRecord *EndpointRegistry::find(const EndpointId &id) const
{
    const auto found = this->entries.find(id);
    return found == this->entries.end() ? nullptr : &found->second.record;
}

std::vector<const EndpointRecord *> EndpointRegistry::at(const std::string &address) const
{
    std::vector<const EndpointRecord *> found;
    for (const auto &[id, entry] : this->entries) {
        if (entry.record.address == address) {
            found.push_back(&entry.record);
        }
    }
    return found;
}

bool EndpointRegistry::mayUse(const EndpointRecord &start) const
{
    const EndpointRecord *current = this->find(start.id);
    return current != nullptr && current->isSameStart(start) && !current->isLeaving;
}

} // namespace fescuesill
