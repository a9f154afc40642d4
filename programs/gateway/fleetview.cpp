#include "programs/gateway/fleetview.h"

#include "fescuesill/overloaded.h"
#include "wire/log.h"

#include <algorithm>

namespace fescuesill
{
namespace
{

// An endpoint that has left must get no calls once the host has been in contact with the store for the contact limit.
// The margin covers the interval of expire() and a call that has already chosen the endpoint.
constexpr Duration contactMargin{250ms};

EndpointRegistry::Options registryOptions(Duration contactLimit)
{
    EndpointRegistry::Options options;
    options.useLimit = std::max<Duration>(contactLimit - contactMargin, Duration(0));
    return options;
}

} // namespace

FleetView::FleetView(DataCentreId where, const RetryBudget::Options &retryOptions, Duration contactLimit,
                     std::uint64_t seed)
    : dataCentre(std::move(where))
    , retries(retryOptions)
    , registry(registryOptions(contactLimit))
    , plainPicker(EndpointPicker::Options{}, seed)
    , endpointLimits(EndpointLimits::Options{})
    , endpointRests(EndpointRests::Options{})
    , prefillChoice(seed + 1)
{
}

// A read that was already running may complete after a newer one. The older configuration is ignored, so the active
// configuration never reverts.
void FleetView::takeConfig(const std::shared_ptr<const RoutingConfig> &read)
{
    if (this->config != nullptr && read->version <= this->config->version) {
        return;
    }
    Log::info("config_in_force",
              {{"version", read->version.value()}, {"routes", static_cast<std::int64_t>(read->routes.all().size())}});
    this->config = read;
}

void FleetView::apply(const StoreUpdate &update, Instant now)
{
    std::visit(
        Overloaded{
            [&](const store_update::Config &read) { this->takeConfig(read.config); },
            [&](const store_update::ConfigCurrent &current) { this->configCurrentAt = current.at; },
            [&](const store_update::Listed &listed) {
                this->hasEndpointList = true;
                this->reportMissing(this->registry.onListed(listed.records, now));
                Log::info("endpoints_listed", {{"count", static_cast<std::int64_t>(listed.records.size())}});
            },
            [&](const store_update::Changed &changed) {
                const EndpointRecord &record = changed.record;
                this->registry.onChanged(record, now);
                Log::info("endpoint_changed",
                          {{"endpoint", record.id.value()},
                           {"service", record.service.value()},
                           {"address", record.address},
                           {"version", record.version.value()},
                           {"leaving", record.isLeaving}});
            },
            [&](const store_update::Removed &removed) {
                this->reportMissing(this->registry.onRemoved(removed.id, now));
            },
            [&](const store_update::Unreadable &row) { this->reportMissing(this->registry.onUnreadable(row.id, now)); },
            [&](const store_update::Missed &) { this->registry.onMissed(); },
            [&](const store_update::Lost &) { this->registry.onStoreLost(now); },
            [&](const store_update::Restored &restored) { this->registry.onStoreRecovered(restored.lastFailure, now); },
            [&](const auto &) {
            }}, // handled by LeaderLink or by PlacementGates
        update);
}

void FleetView::setRegistryVersion(std::uint64_t known, Instant now)
{
    if (known != this->version) {
        this->version = known;
        this->versionSince = now;
    }
}

std::vector<EndpointCandidate> FleetView::plainCandidates(const ServiceId &service) const
{
    std::vector<EndpointCandidate> candidates;
    for (const EndpointRecord *record : this->registry.usable(service)) {
        if (!this->endpointRests.isResting(record->id)) {
            candidates.push_back({record->id, record->slots, record->dataCentre == this->dataCentre});
        }
    }
    return candidates;
}

std::vector<PrefillCandidate> FleetView::prefillCandidates(const ServiceId &service, const DataCentreId &decode) const
{
    std::vector<PrefillCandidate> candidates;
    for (const EndpointRecord *record : this->registry.usable(service)) {
        if (record->part == EndpointPart::Prefill && !this->isChanging(*record)
            && !this->endpointRests.isResting(record->id)) {
            candidates.push_back({EngineId(record->id.value()), record->dataCentre == decode});
        }
    }
    return candidates;
}

std::vector<PrefillEngine> FleetView::prefillPlaces(const ServiceId &service) const
{
    std::vector<PrefillEngine> places;
    for (const EndpointRecord *record : this->registry.usable(service)) {
        if (record->part == EndpointPart::Prefill && !this->isChanging(*record)) {
            places.push_back({EngineId(record->id.value()), record->dataCentre});
        }
    }
    return places;
}

std::vector<DecodeEngine> FleetView::decodePlaces(const ServiceId &service, const EngineTraits &traits) const
{
    std::vector<DecodeEngine> places;
    for (const EndpointRecord *record : this->registry.usable(service)) {
        if (record->part == EndpointPart::Decode && !this->isChanging(*record)) {
            places.push_back({EngineId(record->id.value()), record->incarnation, traits.memory, record->slots,
                              record->dataCentre, record->version});
        }
    }
    return places;
}

void FleetView::reportMissing(const std::vector<MissingEndpoint> &missing)
{
    for (const MissingEndpoint &endpoint : missing) {
        Log::info(endpoint.isKept ? "endpoint_missing" : "endpoint_removed", {{"endpoint", endpoint.id.value()}});
        if (!endpoint.isKept) {
            this->plainPicker.forget(endpoint.id);
            this->endpointLimits.forget(endpoint.id);
            this->endpointRests.forget(endpoint.id);
            this->prefillChoice.forget(EngineId(endpoint.id.value()));
        }
    }
}

void FleetView::setChanging(const EndpointId &id, Instant until)
{
    if (const EndpointRecord *record = this->registry.find(id)) {
        this->changes[id] = Change{record->part, until};
    }
}

bool FleetView::isChanging(const EndpointRecord &record) const
{
    const auto found = this->changes.find(record.id);
    return found != this->changes.end() && found->second.from == record.part;
}

void FleetView::expire(Instant now)
{
    this->reportMissing(this->registry.expire(now));
    this->endpointRests.expire(now);
    for (auto change = this->changes.begin(); change != this->changes.end();) {
        const EndpointRecord *record = this->registry.find(change->first);
        const bool isOver = now >= change->second.until || record == nullptr || record->part != change->second.from;
        change = isOver ? this->changes.erase(change) : std::next(change);
    }
}

std::vector<EndpointRecord> FleetView::enginesOf(const ServiceId &service, EndpointPart part) const
{
    std::vector<EndpointRecord> found;
    for (const EndpointRecord *record : this->registry.usable(service)) {
        if (record->part == part) {
            found.push_back(*record);
        }
    }
    return found;
}

std::vector<EndpointRecord> FleetView::endpointsAt(const std::string &address) const
{
    std::vector<EndpointRecord> found;
    for (const EndpointRecord *record : this->registry.at(address)) {
        found.push_back(*record);
    }
    return found;
}

bool FleetView::mayRelayTo(const std::string &address) const
{
    const auto found = this->registry.at(address);
    const auto &leaving = this->registry.leaving();
    return std::any_of(found.begin(), found.end(), [&](const EndpointRecord *record) {
        const auto left = leaving.find(record->id);
        const bool hasSaidSo = left != leaving.end() && left->second == record->incarnation;
        return !hasSaidSo && !this->endpointRests.isResting(record->id);
    });
}

bool FleetView::isStaying(const EndpointId &id) const
{
    const EndpointRecord *record = this->registry.find(id);
    return record != nullptr && !record->isLeaving;
}

std::optional<int> FleetView::slotsOf(const EndpointId &id) const
{
    const EndpointRecord *record = this->registry.find(id);
    return record != nullptr && !record->isLeaving ? std::optional(record->slots) : std::nullopt;
}

bool FleetView::doAllRest(const ServiceId &service, EndpointPart part) const
{
    bool hasAny = false;
    for (const EndpointRecord *record : this->registry.usable(service)) {
        if (record->part == part) {
            hasAny = true;
            if (!this->endpointRests.isResting(record->id)) {
                return false;
            }
        }
    }
    return hasAny;
}

std::optional<EndpointRecord> FleetView::usable(const EndpointId &id) const
{
    const EndpointRecord *record = this->registry.find(id);
    const bool isUsable = record != nullptr && !record->isLeaving && !this->endpointRests.isResting(id);
    return isUsable ? std::optional(*record) : std::nullopt;
}

RetryBudget &FleetView::budget(const ServiceId &service)
{
    return this->budgets.try_emplace(service, this->retries).first->second;
}

} // namespace fescuesill
