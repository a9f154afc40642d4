#pragma once

// The endpoints and engines that exist, according to the rows that they write into the platform's table.
//
//     EndpointRegistry registry(EndpointRegistry::Options{});
//     registry.onListed(records, now);                  // the whole list, at start-up and after a gap
//     registry.onChanged(record, now);                  // one row
//     for (const MissingEndpoint &missing : registry.onRemoved(EndpointId("e7"), now)) { ... }
//     registry.onStoreLost(now);                        // the table is unavailable
//     registry.onStoreRecovered(lastFailure, now);
//     for (const EndpointRecord *record : registry.usable(service)) { ... }
//     registry.expire(now);                             // periodically

#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace fescuesill
{

enum class EndpointPart {
    Plain, // an application endpoint
    Prefill,
    Decode,
};

// One incarnation of an endpoint. A restarted endpoint is a new incarnation and keeps no state of the previous one.
struct EndpointRecord {
    EndpointId id;
    std::int64_t incarnation = 0;
    ServiceId service;
    std::string address; // IP:PORT
    DataCentreId dataCentre;
    EndpointPart part = EndpointPart::Plain;
    SoftwareVersion version;
    int slots = 1; // concurrent requests
    bool isLeaving = false; // takes no new work

    bool isSameStart(const EndpointRecord &other) const
    {
        return this->id == other.id && this->incarnation == other.incarnation && this->address == other.address;
    }
};

// An endpoint whose row is missing from the table.
struct MissingEndpoint {
    EndpointId id;
    bool isKept = false; // until its row returns or its grace period ends; otherwise it was removed
};

class EndpointRegistry
{
public:
    struct Options {
        // How long after the table's recovery a row that disappeared during the outage is kept: rows of live endpoints
        // expire during an outage, and the endpoints write them again within two seconds.
        Duration returnGrace{2s};
        // Starts of endpoints that have said that they are leaving; the newest is remembered instead of any other.
        std::size_t maxLeaving = 4096;
        std::size_t maxSeenServices = 4096; // whose versions wait to be taken; the loss of more counts as a gap
        std::size_t maxUnreadable = 4096; // rows that are remembered; the removal of any other counts as a gap
        // The longest that such an endpoint may be used after the table was last known to be unavailable. The recovery
        // may be noticed late, and an endpoint that left during the outage never returns.
        Duration useLimit{2750ms};
    };

    explicit EndpointRegistry(const Options &options)
        : options(options)
    {
    }

    // Return the endpoints that are newly missing. Any list but the first one follows a gap.
    std::vector<MissingEndpoint> onListed(const std::vector<EndpointRecord> &records, Instant now);
    std::vector<MissingEndpoint> onRemoved(const EndpointId &id, Instant now);
    // The row of this id names no endpoint. Its removal will be no sign of an endpoint that was missed.
    std::vector<MissingEndpoint> onUnreadable(const EndpointId &id, Instant now);
    void onChanged(const EndpointRecord &record, Instant now);
    // This start of the endpoint has said that it is leaving, whatever the table says. Returns whether that is new.
    bool onLeavingStated(const EndpointId &id, std::int64_t incarnation);
    void onStoreLost(Instant now);
    // `lastFailure`: the start of the last read that failed. The table recovered between then and now.
    void onStoreRecovered(Instant lastFailure, Instant now);
    // Removes endpoints that are still missing after their grace period, and returns them.
    std::vector<MissingEndpoint> expire(Instant now);

    // Endpoints of the service that are not leaving, in order of their IDs.
    std::vector<const EndpointRecord *> usable(const ServiceId &service) const;
    // Null if the endpoint is unknown.
    const EndpointRecord *find(const EndpointId &id) const;
    // Endpoints may have come and gone without a change that was passed to this object.
    void onMissed()
    {
        ++this->missed;
    }
    // How often changes of the table may have been missed since the first list, so that endpoints came and went unseen.
    std::uint64_t gaps() const
    {
        return this->missed;
    }
    // The table is unavailable.
    bool isOutdated() const
    {
        return this->isStoreLost;
    }
    // The versions of the service's engines, also of those that are leaving.
    std::set<SoftwareVersion> versions(const ServiceId &service) const;
    // The versions of all its engines that were listed since the last call, also of those that have left since.
    std::set<SoftwareVersion> takeSeenVersions(const ServiceId &service);
    // The endpoints with this address, also those that are leaving.
    std::vector<const EndpointRecord *> at(const std::string &address) const;
    // Whether new work may still be sent to this incarnation of an endpoint.
    bool mayUse(const EndpointRecord &start) const;
    // The starts that have said that they are leaving.
    const std::map<EndpointId, std::int64_t> &leaving() const
    {
        return this->leavingStarts;
    }
    std::size_t size() const
    {
        return this->entries.size();
    }

private:
    struct Entry {
        EndpointRecord record;
        std::optional<Instant> missingUntil; // missing from the table; removed at this time
    };
    using Starts = std::map<EndpointId, std::int64_t>;

    bool isWithinGrace(Instant now) const;
    void noteVersion(const EndpointRecord &record);
    MissingEndpoint onMissing(std::map<EndpointId, Entry>::iterator entry, Instant now);

    Options options;
    std::map<EndpointId, Entry> entries;
    // Starts that have said that they are leaving, also those that are missing: their rows may return unchanged.
    Starts leavingStarts;
    std::set<EndpointId> unreadable;
    std::map<ServiceId, std::set<SoftwareVersion>> seenVersions; // until they are taken
    bool isStoreLost = false;
    std::optional<Instant> graceEnd; // of the last recovery
    bool hasList = false;
    std::uint64_t missed = 0;
};

} // namespace fescuesill
