#pragma once

// What a gateway knows of routes and endpoints, and the decisions that rest on it. Used by the forwarding thread alone.
//
//     FleetView fleet(dataCentre, budgetOptions, seed);
//     fleet.apply(update, now);
//     if (!fleet.isInitialised()) { ... not ready ... }
//     const std::vector<EndpointCandidate> candidates = fleet.plainCandidates(service, now);

#include "decide/endpointpicker.h"
#include "decide/generationgate.h"
#include "decide/prefillchoice.h"
#include "decide/retrybudget.h"
#include "programs/gateway/storewatcher.h"

namespace fescuesill
{

class FleetView
{
public:
    FleetView(DataCentreId dataCentre, const RetryBudget::Options &retries, std::uint64_t seed);

    void apply(const StoreUpdate &update, Instant now);
    // A configuration and a list of endpoints have been read since the start.
    bool isInitialised() const
    {
        return this->config != nullptr && this->hasEndpointList;
    }
    // In force here; null before the first.
    const std::shared_ptr<const RoutingConfig> &activeConfig() const
    {
        return this->config;
    }

    // Which state of the registry this is: all changes up to that version of the store, and since when. For the log: it
    // is what each choice of an endpoint was made by.
    void setRegistryVersion(std::uint64_t version, Instant now);
    std::uint64_t registryVersion() const
    {
        return this->version;
    }
    Duration registryAge(Instant now) const
    {
        return now - this->versionSince;
    }

    std::vector<EndpointCandidate> plainCandidates(const ServiceId &service) const;
    std::vector<PrefillCandidate> prefillCandidates(const ServiceId &service, const DataCentreId &decode) const;
    std::vector<PrefillPlace> prefillPlaces(const ServiceId &service) const;
    std::vector<DecodePlaces> decodePlaces(const ServiceId &service, const EngineTraits &traits) const;
    std::vector<EndpointRecord> enginesOf(const ServiceId &service, EndpointPart part) const;
    // The endpoint as it is now; empty where it takes no new work.
    std::optional<EndpointRecord> usable(const EndpointId &id) const;

    // The engine is changing its stage and takes no work; over when its row shows the other stage, or then.
    void setChanging(const EndpointId &id, Instant until);

    EndpointPicker &picker()
    {
        return this->plainPicker;
    }
    PrefillChoice &prefills()
    {
        return this->prefillChoice;
    }
    // Retries towards one service, shared by all its routes.
    RetryBudget &budget(const ServiceId &service);
    void expire(Instant now);

private:
    struct Change {
        EndpointPart from = EndpointPart::Plain;
        Instant until;
    };

    void takeConfig(const std::shared_ptr<const RoutingConfig> &read);
    bool isChanging(const EndpointRecord &record) const;
    // What was measured of an endpoint that is gone for good is of no use, and names come and go for months.
    void forgetRemoved(const EndpointId &id);

    DataCentreId dataCentre;
    RetryBudget::Options retries;
    std::shared_ptr<const RoutingConfig> config;
    bool hasEndpointList = false;
    EndpointRegistry registry;
    std::uint64_t version = 0; // of the registry
    Instant versionSince;
    std::map<EndpointId, Change> changes; // one for each engine that was ever ordered, while it is known
    EndpointPicker plainPicker;
    PrefillChoice prefillChoice;
    std::map<ServiceId, RetryBudget> budgets; // of the services that the configuration names or named
};

} // namespace fescuesill
