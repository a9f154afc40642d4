// A removed row means "takes no new work" at once, with one exception: rows lapse by themselves while the table is
// away, and treating those as gone would empty the fleet at the very moment the table returns. So what is found missing
// from the moment the table was lost until a grace after its return is kept until that grace ends; by then a live
// endpoint has written its row again, and what is still missing is gone.

#include "promise/endpointregistry.h"

#include <set>

namespace fescuesill
{

bool EndpointRegistry::isWithinGrace(Instant now) const
{
    return this->isStoreLost || (this->recoveredAt && now < *this->recoveredAt + this->options.returnGrace);
}

void EndpointRegistry::onMissing(std::map<EndpointId, Entry>::iterator entry, Instant now)
{
    // An endpoint that said it leaves and is gone from the table has left; an outage does not explain it.
    if (!this->isWithinGrace(now) || entry->second.record.isLeaving) {
        this->entries.erase(entry);
        return;
    }
    const Instant recovered = this->isStoreLost ? now : *this->recoveredAt;
    entry->second.missingUntil = recovered + this->options.returnGrace;
}

void EndpointRegistry::onListed(const std::vector<EndpointRecord> &records, Instant now)
{
    std::set<EndpointId> listed;
    for (const EndpointRecord &record : records) {
        listed.insert(record.id);
        this->onChanged(record, now);
    }
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        const auto current = entry++;
        if (listed.count(current->first) == 0 && !current->second.missingUntil) {
            this->onMissing(current, now);
        }
    }
}

void EndpointRegistry::onChanged(const EndpointRecord &record, Instant)
{
    this->entries[record.id] = Entry{record, std::nullopt};
}

void EndpointRegistry::onRemoved(const EndpointId &id, Instant now)
{
    const auto found = this->entries.find(id);
    if (found != this->entries.end()) {
        this->onMissing(found, now);
    }
}

void EndpointRegistry::onStoreLost(Instant)
{
    this->isStoreLost = true;
}

void EndpointRegistry::onStoreRecovered(Instant now)
{
    if (!this->isStoreLost) {
        return;
    }
    this->isStoreLost = false;
    this->recoveredAt = now;
}

void EndpointRegistry::expire(Instant now)
{
    if (this->isStoreLost) {
        return;
    }
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        const auto current = entry++;
        if (current->second.missingUntil && now >= *current->second.missingUntil) {
            this->entries.erase(current);
        }
    }
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

const EndpointRecord *EndpointRegistry::find(const EndpointId &id) const
{
    const auto found = this->entries.find(id);
    return found == this->entries.end() ? nullptr : &found->second.record;
}

bool EndpointRegistry::mayUse(const EndpointRecord &start) const
{
    const EndpointRecord *current = this->find(start.id);
    return current != nullptr && current->isSameStart(start) && !current->isLeaving;
}

} // namespace fescuesill
