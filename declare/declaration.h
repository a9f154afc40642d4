#pragma once

// The operators' one text, read and checked whole.
//
//     const auto declaration = Declaration::parse(text, "services.ini");
//     if (!declaration) {
//         for (const Fault &fault : declaration.error().faults) {
//             print(fault.line());
//         }
//     }
//     const Service *service = declaration->findService(ServiceId("bookings"));
//
// Section names are "[kind NAME]". Every fault of the text is reported, not only the first. canonicalText() of
// declare/declarationtext.h writes one back.

#include "declare/fault.h"
#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace fescuesill
{

enum class EngineRole {
    Prefill,
    Decode,
};

struct DataCentre {
    DataCentreId id;
    std::string region;
};

struct Engine {
    EngineId id;
    std::string address; // IP:PORT
    DataCentreId dataCentre;
    ModelId model;
    EngineRole role = EngineRole::Prefill;
    Pieces memory{20};
    bool checksFencing = false;
    bool leaving = false;
};

struct Endpoint {
    EndpointId id;
    std::string address;
    DataCentreId dataCentre;
    bool leaving = false;
};

// How urgent a class of requests is; a lower rank goes first.
struct ServiceClass {
    std::string name;
    int rank = 0;
    Duration firstToken{550ms}; // target, and the measure of a request's queueing deadline
    Duration perToken{71ms};
    Duration patience{5s}; // how long a request of this class may wait in a queue before it is refused
    double wasteWeight = 1.0; // price of one wasted prefill token against one token of goodput
    double objectivePercent = 99.0; // share of requests that has to be within the targets; the rest is the error budget
};

// A service answered by a model's pools.
struct ModelService {
    ModelId model;
    Tokens maxOutput{1024};
};

// A service answered by plain application endpoints.
struct PlainService {
    std::string route; // path prefix, for example /bookings
    std::vector<std::string> methods;
    std::vector<EndpointId> endpoints;
    bool repeatable = false; // idempotent: may be sent again
    bool resultQuery = false; // the endpoint answers GET /results/KEY
    Duration deadline{2s};
};

struct Service {
    ServiceId id;
    std::string serviceClass;
    std::vector<ServiceId> dependsOn;
    std::vector<std::string> workspaces; // who may use it; empty: all
    std::variant<ModelService, PlainService> kind;
};

struct RetryPolicy {
    int budgetPercent = 10; // retries as a share of recent successes
    int attempts = 2; // tries of one request, the first included
};

class Declaration
{
public:
    static tl::expected<Declaration, DeclareError> parse(std::string_view text, const std::string &file);

    const Service *findService(const ServiceId &id) const;
    // The plain service whose route is the longest prefix of this path.
    const Service *findRoute(std::string_view path) const;
    const ServiceClass &classOf(const Service &service) const;
    const Engine *findEngine(const EngineId &id) const;
    const Endpoint *findEndpoint(const EndpointId &id) const;

    std::vector<DataCentre> dataCentres;
    std::vector<Engine> engines;
    std::vector<Endpoint> endpoints;
    std::vector<ServiceClass> classes;
    std::vector<Service> services;
    RetryPolicy retries;
    std::string text;
};

} // namespace fescuesill
