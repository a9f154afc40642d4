// A reference to a name whose section is missing or could not be read is a fault of its own; the checks that would
// follow it are left out, so that one slip isn't reported many times.
//
// Dependencies are walked depth first with the path in hand. A service met again on the path closes a cycle. Services
// done are not entered again, so each cycle is named once and the walk is linear.

#include "declare/declarationchecks.h"

#include "declare/values.h"

#include <algorithm>
#include <map>
#include <set>

namespace fescuesill
{

namespace
{

template<typename Items, typename Key>
std::string knownNames(const Items &items, Key key)
{
    std::vector<std::string> names;
    names.reserve(items.size());
    for (const auto &item : items) {
        names.push_back(key(item));
    }
    return names.empty() ? "none is declared" : joinList(names);
}

class WholeCheck
{
public:
    WholeCheck(const Declaration &declaration, const Places &places)
        : declaration(declaration)
        , places(places)
    {
    }

    std::vector<Fault> run()
    {
        if (this->declaration.services.empty()) {
            this->faults.push_back(this->places.fault("", "", "", "at least one [service NAME]"));
        }
        this->checkDataCentres();
        this->checkAddresses();
        this->checkServices();
        this->checkRoutes();
        this->checkDependencies();
        return std::move(this->faults);
    }

private:
    void fault(const std::string &section, const std::string &key, const std::string &given, const std::string &allowed)
    {
        this->faults.push_back(this->places.fault(section, key, given, allowed));
    }

    void checkDataCentre(const std::string &section, const DataCentreId &id)
    {
        const auto &known = this->declaration.dataCentres;
        const auto same = [&](const DataCentre &dataCentre) {
            return dataCentre.id == id;
        };
        if (!id.isEmpty() && std::none_of(known.begin(), known.end(), same)) {
            this->fault(section, "data_centre", id.value(),
                        knownNames(known, [](const DataCentre &dataCentre) { return dataCentre.id.value(); }));
        }
    }

    void checkDataCentres()
    {
        for (const Engine &engine : this->declaration.engines) {
            this->checkDataCentre("engine " + engine.id.value(), engine.dataCentre);
        }
        for (const Endpoint &endpoint : this->declaration.endpoints) {
            this->checkDataCentre("endpoint " + endpoint.id.value(), endpoint.dataCentre);
        }
    }

    // Two names for one engine would have its memory given out twice.
    void checkAddress(std::map<std::string, std::string> &owners, const std::string &section,
                      const std::string &address)
    {
        const auto [owner, inserted] = owners.emplace(address, section);
        if (!inserted && !address.empty()) {
            this->fault(section, "address", address, "an address of its own; [" + owner->second + "] has this one");
        }
    }

    void checkAddresses()
    {
        std::map<std::string, std::string> owners;
        for (const Engine &engine : this->declaration.engines) {
            this->checkAddress(owners, "engine " + engine.id.value(), engine.address);
        }
        for (const Endpoint &endpoint : this->declaration.endpoints) {
            this->checkAddress(owners, "endpoint " + endpoint.id.value(), endpoint.address);
        }
    }

    void checkServices()
    {
        for (const Service &service : this->declaration.services) {
            const std::string section = "service " + service.id.value();
            const auto same = [&](const ServiceClass &item) {
                return item.name == service.serviceClass;
            };
            const auto &classes = this->declaration.classes;
            if (!service.serviceClass.empty() && std::none_of(classes.begin(), classes.end(), same)) {
                this->fault(section, "class", service.serviceClass,
                            knownNames(classes, [](const ServiceClass &item) { return item.name; }));
            }
            if (const auto *model = std::get_if<ModelService>(&service.kind)) {
                this->checkModel(section, model->model);
            } else {
                this->checkEndpoints(section, std::get<PlainService>(service.kind));
            }
        }
    }

    // A model that has no engine of a role can answer nothing.
    void checkModel(const std::string &section, const ModelId &model)
    {
        bool prefill = false;
        bool decode = false;
        for (const Engine &engine : this->declaration.engines) {
            if (engine.model == model) {
                (engine.role == EngineRole::Prefill ? prefill : decode) = true;
            }
        }
        if (!model.isEmpty() && !(prefill && decode)) {
            this->fault(section, "model", model.value(), "a model with a prefill and a decode [engine]");
        }
    }

    void checkEndpoints(const std::string &section, const PlainService &plain)
    {
        for (const EndpointId &endpoint : plain.endpoints) {
            if (this->declaration.findEndpoint(endpoint) == nullptr) {
                this->fault(
                    section, "endpoints", endpoint.value(),
                    knownNames(this->declaration.endpoints, [](const Endpoint &item) { return item.id.value(); }));
            }
        }
    }

    void checkRoutes()
    {
        std::map<std::string, std::string> owners;
        for (const Service &service : this->declaration.services) {
            const auto *plain = std::get_if<PlainService>(&service.kind);
            if (plain == nullptr || plain->route.empty()) {
                continue;
            }
            const std::string section = "service " + service.id.value();
            const auto [owner, inserted] = owners.emplace(plain->route, section);
            if (!inserted) {
                this->fault(section, "route", plain->route, "a route of its own; [" + owner->second + "] has this one");
            }
        }
    }

    void checkDependencies()
    {
        for (const Service &service : this->declaration.services) {
            for (const ServiceId &needed : service.dependsOn) {
                this->checkDependency(service, needed);
            }
            std::vector<std::string> path;
            this->walk(service, path);
        }
    }

    void checkDependency(const Service &service, const ServiceId &needed)
    {
        const std::string section = "service " + service.id.value();
        const Service *other = this->declaration.findService(needed);
        if (other == nullptr) {
            this->fault(section, "depends_on", needed.value(),
                        knownNames(this->declaration.services, [](const Service &item) { return item.id.value(); }));
        } else if (!takesNewWork(this->declaration, *other) && takesNewWork(this->declaration, service)) {
            this->fault(section, "depends_on", needed.value(),
                        "a service that still takes work; all of this one's leaves");
        }
    }

    void walk(const Service &service, std::vector<std::string> &path)
    {
        const auto met = std::find(path.begin(), path.end(), service.id.value());
        if (met != path.end()) {
            std::vector<std::string> cycle(met, path.end());
            cycle.push_back(service.id.value());
            this->fault("service " + path.back(), "depends_on", joinList(cycle), "dependencies without a cycle");
            return;
        }
        if (!this->walked.insert(service.id.value()).second) {
            return;
        }
        path.push_back(service.id.value());
        for (const ServiceId &needed : service.dependsOn) {
            if (const Service *other = this->declaration.findService(needed)) {
                this->walk(*other, path);
            }
        }
        path.pop_back();
    }

    const Declaration &declaration;
    const Places &places;
    std::vector<Fault> faults;
    std::set<std::string> walked;
};

} // namespace

std::vector<Fault> checkWhole(const Declaration &declaration, const Places &places)
{
    return WholeCheck(declaration, places).run();
}

bool takesNewWork(const Declaration &declaration, const Service &service)
{
    if (const auto *plain = std::get_if<PlainService>(&service.kind)) {
        return std::any_of(plain->endpoints.begin(), plain->endpoints.end(), [&](const EndpointId &id) {
            const Endpoint *endpoint = declaration.findEndpoint(id);
            return endpoint != nullptr && !endpoint->leaving;
        });
    }
    const ModelId &model = std::get<ModelService>(service.kind).model;
    const auto staying = [&](EngineRole role) {
        return std::any_of(declaration.engines.begin(), declaration.engines.end(), [&](const Engine &engine) {
            return engine.model == model && engine.role == role && !engine.leaving;
        });
    };
    return staying(EngineRole::Prefill) && staying(EngineRole::Decode);
}

} // namespace fescuesill
