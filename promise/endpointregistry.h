#pragma once

// Which endpoints and engines exist, by what they wrote of themselves into the platform's table.
//
//     EndpointRegistry registry(EndpointRegistry::Options{});
//     registry.onListed(records, now);                  // the whole list, at the start and after a gap
//     registry.onChanged(record, now);                  // one row
//     registry.onRemoved(EndpointId("e7"), now);
//     registry.onStoreLost(now);                        // the table cannot be read
//     registry.onStoreRecovered(now);
//     for (const EndpointRecord *record : registry.usable(service)) { ... }
//     registry.expire(now);                             // now and then

#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <map>
#include <optional>
#include <vector>

namespace fescuesill
{

enum class EndpointPart {
    Plain, // an application endpoint
    Prefill,
    Decode,
};

// One start of an endpoint. An endpoint that starts again is another incarnation and holds nothing of before.
struct EndpointRecord {
    EndpointId id;
    std::int64_t incarnation = 0;
    ServiceId service;
    std::string address; // IP:PORT
    DataCentreId dataCentre;
    EndpointPart part = EndpointPart::Plain;
    int slots = 1; // requests at once
    bool isLeaving = false; // takes no new work

    bool isSameStart(const EndpointRecord &other) const
    {
        return this->id == other.id && this->incarnation == other.incarnation && this->address == other.address;
    }
};

class EndpointRegistry
{
public:
    struct Options {
        // A row that vanished while the table could not be read is kept this long after the table came back: an
        // outage makes rows of live endpoints lapse, and they write them again within two seconds.
        Duration returnGrace{2s};
    };

    explicit EndpointRegistry(const Options &options)
        : options(options)
    {
    }

    void onListed(const std::vector<EndpointRecord> &records, Instant now);
    void onChanged(const EndpointRecord &record, Instant now);
    void onRemoved(const EndpointId &id, Instant now);
    void onStoreLost(Instant now);
    void onStoreRecovered(Instant now);
    // Forgets what stayed missing past its grace.
    void expire(Instant now);

    // Not leaving, in order of their ids.
    std::vector<const EndpointRecord *> usable(const ServiceId &service) const;
    // Null for an endpoint that is not known.
    const EndpointRecord *find(const EndpointId &id) const;
    // Whether new work may still be sent to this start of an endpoint.
    bool mayUse(const EndpointRecord &start) const;
    std::size_t size() const
    {
        return this->entries.size();
    }

private:
    struct Entry {
        EndpointRecord record;
        std::optional<Instant> missingUntil; // not in the table; dropped then
    };

    bool isWithinGrace(Instant now) const;
    void onMissing(std::map<EndpointId, Entry>::iterator entry, Instant now);

    Options options;
    std::map<EndpointId, Entry> entries;
    bool isStoreLost = false;
    std::optional<Instant> recoveredAt;
};

} // namespace fescuesill
