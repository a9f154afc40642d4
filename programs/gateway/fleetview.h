#pragma once

// The gateway's view of routes and endpoints, with the state of the decisions based on it. Used only by the forwarding
// thread.
//
//     FleetView fleet(dataCentre, budgetOptions, contactLimit, seed);
//     fleet.apply(update, now);
//     if (!fleet.isInitialised()) { ... not ready ... }
//     const std::vector<EndpointCandidate> candidates = fleet.plainCandidates(service, now);

#include "decide/endpointlimits.h"
#include "decide/endpointpicker.h"
#include "decide/endpointrests.h"
#include "decide/generationgate.h"
#include "decide/prefillchoice.h"
#include "decide/retrybudget.h"
#include "programs/gateway/storewatcher.h"

namespace fescuesill
{

class FleetView
{
public:
    FleetView(DataCentreId dataCentre, const RetryBudget::Options &retries, Duration contactLimit, std::uint64_t seed);

    void apply(const StoreUpdate &update, Instant now);
    // Whether a configuration and a list of endpoints have been read since the start.
    bool isInitialised() const
    {
        return this->config != nullptr && this->hasEndpointList;
    }
    // The configuration in force on this host; null before the first one.
    const std::shared_ptr<const RoutingConfig> &activeConfig() const
    {
        return this->config;
    }

    // The time since the configuration was last known to be the newest, for an instant of the clock that also advances
    // while the host is suspended; empty if it never was.
    std::optional<Duration> configAge(Instant bootTime) const
    {
        return this->configCurrentAt ? std::optional(bootTime - *this->configCurrentAt) : std::nullopt;
    }

    // Sets the version of the store up to which all registry changes are known here, and records when it changed. It is
    // logged, to show which state each choice of an endpoint was based on.
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
    std::vector<PrefillEngine> prefillPlaces(const ServiceId &service) const;
    std::vector<DecodeEngine> decodePlaces(const ServiceId &service, const EngineTraits &traits) const;
    std::vector<EndpointRecord> enginesOf(const ServiceId &service, EndpointPart part) const;
    // The current record of the endpoint; empty if it accepts no new work, or none from this host.
    std::optional<EndpointRecord> usable(const EndpointId &id) const;
    // Whether the endpoint is known, and not known to be leaving.
    bool isStaying(const EndpointId &id) const;
    // The slots of such an endpoint; empty for any other.
    std::optional<int> slotsOf(const EndpointId &id) const;
    // Whether the service has endpoints of that part, and all of them rest.
    bool doAllRest(const ServiceId &service, EndpointPart part) const;

    // False while the registry can't be read, so that endpoints may have come and gone unnoticed.
    bool isRegistryCurrent() const
    {
        return !this->registry.isOutdated();
    }
    // How often changes of the registry may have been missed.
    std::uint64_t registryGaps() const
    {
        return this->registry.gaps();
    }
    std::set<SoftwareVersion> versions(const ServiceId &service) const
    {
        return this->registry.versions(service);
    }
    // The versions that were listed since the last call, also of engines that have left since.
    std::set<SoftwareVersion> takeSeenVersions(const ServiceId &service)
    {
        return this->registry.takeSeenVersions(service);
    }
    std::vector<EndpointRecord> endpointsAt(const std::string &address) const;
    // Whether this host may send requests of others to that address.
    bool mayRelayTo(const std::string &address) const;

    // Marks an engine that is changing its stage and accepts no work, until its row shows the other stage or until
    // `until`.
    void setChanging(const EndpointId &id, Instant until);

    EndpointPicker &picker()
    {
        return this->plainPicker;
    }
    EndpointLimits &limits()
    {
        return this->endpointLimits;
    }
    // The endpoints that have asked this host for rest.
    EndpointRests &rests()
    {
        return this->endpointRests;
    }
    PrefillChoice &prefills()
    {
        return this->prefillChoice;
    }
    // The retry budget of one service, shared by all its routes.
    RetryBudget &budget(const ServiceId &service);
    void expire(Instant now);

    // This start of the endpoint has said that it is leaving. Returns whether that is new.
    bool onLeavingStated(const EndpointId &id, std::int64_t incarnation)
    {
        return this->registry.onLeavingStated(id, incarnation);
    }
    // The starts of endpoints that have said so.
    const std::map<EndpointId, std::int64_t> &leaving() const
    {
        return this->registry.leaving();
    }

private:
    struct Change {
        EndpointPart from = EndpointPart::Plain;
        Instant until;
    };

    void takeConfig(const std::shared_ptr<const RoutingConfig> &read);
    bool isChanging(const EndpointRecord &record) const;
    // Logs the endpoints, and drops the measurements of those that were removed. The process runs for months while
    // endpoint names come and go.
    void reportMissing(const std::vector<MissingEndpoint> &missing);

    DataCentreId dataCentre;
    RetryBudget::Options retries;
    std::shared_ptr<const RoutingConfig> config;
    std::optional<Instant> configCurrentAt;
    bool hasEndpointList = false;
    EndpointRegistry registry;
    std::uint64_t version = 0; // of the registry
    Instant versionSince;
    // Engines that are changing their stage, with at most one entry for each known engine.
    std::map<EndpointId, Change> changes;
    EndpointPicker plainPicker;
    EndpointLimits endpointLimits;
    EndpointRests endpointRests;
    PrefillChoice prefillChoice;
    std::map<ServiceId, RetryBudget> budgets; // for services of the current or an earlier configuration
};

} // namespace fescuesill
