// A table of kinds names the function that reads a section of that kind. A section is read whole even when a part of
// it is wrong, so that checks of the whole see as much as can be seen; a declaration with a fault is never handed out.
//
// Defaults are the careful choice: an engine is taken not to check fencing numbers, a plain service not to be
// repeatable.

#include "declare/declarationreader.h"

#include "declare/values.h"

#include <algorithm>

namespace fescuesill
{

namespace
{

// The whole text is one row of the platform's table and is sent to every host. 600 engines take some 100 KB.
constexpr std::size_t largestText = 512 * 1024;
// inih cuts a section name off after 49 bytes, "data_centre " included.
constexpr std::size_t longestName = 32;

constexpr Range<Duration> targetRange{1ms, 10min};
constexpr Range<Duration> patienceRange{0s, 1h};
constexpr Range<std::int64_t> rankRange{0, 9};
constexpr Range<double> wasteWeightRange{0.0, 1000.0};
// An objective of 100 leaves no error budget to burn.
constexpr Range<double> objectiveRange{50.0, 99.99};
constexpr Range<std::int64_t> piecesRange{1, 65536};
constexpr Range<std::int64_t> outputRange{1, 131072};
// A retry budget of over half of the successes would let retries carry on an overload by themselves.
constexpr Range<std::int64_t> budgetRange{0, 50};
constexpr Range<std::int64_t> attemptsRange{1, 5};

const std::vector<std::string> methodNames{"DELETE", "GET", "HEAD", "PATCH", "POST", "PUT"};

template<typename IdType>
std::vector<IdType> toIds(const std::vector<std::string> &names)
{
    std::vector<IdType> ids;
    ids.reserve(names.size());
    for (const std::string &name : names) {
        ids.emplace_back(name);
    }
    return ids;
}

bool contains(const std::vector<std::string> &items, const std::string &item)
{
    return std::find(items.begin(), items.end(), item) != items.end();
}

std::string readRoute(SectionReader &reader)
{
    std::string route = reader.text("route");
    const bool ours = route == "/v1" || route.rfind("/v1/", 0) == 0;
    const bool plain = route.find_first_of(" ?#") == std::string::npos;
    if (reader.has("route") && (route.empty() || route.front() != '/' || ours || !plain)) {
        reader.fault("route", route, "a path prefix that begins with / and is not below /v1, without blank, ? or #");
    }
    return route;
}

std::vector<std::string> readMethods(SectionReader &reader, bool repeatable)
{
    std::vector<std::string> methods = reader.names("methods");
    if (methods.empty()) {
        reader.fault("methods", "", joinList(methodNames) + " (at least one)");
    }
    for (const std::string &method : methods) {
        if (!contains(methodNames, method)) {
            reader.fault("methods", method, joinList(methodNames));
        }
        // Callers' libraries and proxies repeat a GET by themselves, so a GET that may not run twice can't be kept to
        // it.
        if (!repeatable && (method == "GET" || method == "HEAD")) {
            reader.fault("methods", method, "POST, PUT, PATCH, DELETE where repeatable = no");
        }
    }
    return methods;
}

PlainService readPlain(SectionReader &reader)
{
    PlainService plain;
    plain.route = readRoute(reader);
    plain.repeatable = reader.flag("repeatable", plain.repeatable);
    plain.methods = readMethods(reader, plain.repeatable);
    plain.endpoints = toIds<EndpointId>(reader.names("endpoints"));
    if (plain.endpoints.empty()) {
        reader.fault("endpoints", "", "the names of one or more [endpoint] sections");
    }
    plain.resultQuery = reader.flag("result_query", plain.resultQuery);
    plain.deadline = reader.duration("deadline", plain.deadline, targetRange);
    return plain;
}

ModelService readModel(SectionReader &reader)
{
    ModelService model;
    model.model = ModelId(reader.name("model"));
    model.maxOutput = Tokens(reader.number("max_output", model.maxOutput.value(), outputRange));
    return model;
}

} // namespace

Fault Places::fault(const std::string &section, const std::string &key, const std::string &given,
                    const std::string &allowed) const
{
    Fault fault{this->file, 0, section, key, given, allowed};
    const auto found = this->sections.find(section);
    if (found == this->sections.end()) {
        return fault;
    }
    fault.lineNumber = found->second.lineNumber;
    for (const IniEntry &entry : found->second.entries) {
        if (entry.key == key) {
            fault.lineNumber = entry.lineNumber;
        }
    }
    return fault;
}

DeclarationReader::DeclarationReader(std::string_view text, std::string file)
    : text(text)
    , where{std::move(file), {}}
{
}

std::vector<Fault> DeclarationReader::read()
{
    if (this->text.size() > largestText) {
        return {{this->where.file, 0, "", "", std::to_string(this->text.size()) + " bytes", "at most 524288 bytes"}};
    }
    IniText ini = IniText::read(this->text, this->where.file);
    this->faults = std::move(ini.faults);
    for (const IniSection &section : ini.sections) {
        this->where.sections.emplace(section.name, section);
        this->readSection(section);
    }
    this->result.text = this->text;
    return this->faults;
}

void DeclarationReader::readSection(const IniSection &section)
{
    struct Kind {
        std::string_view name;
        void (DeclarationReader::*read)(SectionReader &, const std::string &);
    };
    static const std::vector<Kind> kinds{
        {"data_centre", &DeclarationReader::readDataCentre}, {"engine", &DeclarationReader::readEngine},
        {"endpoint", &DeclarationReader::readEndpoint},      {"class", &DeclarationReader::readClass},
        {"service", &DeclarationReader::readService},        {"retries", &DeclarationReader::readRetries},
    };
    const auto blank = std::min(section.name.find(' '), section.name.size());
    const std::string kindName = section.name.substr(0, blank);
    const std::string name = section.name.substr(std::min(blank + 1, section.name.size()));
    const auto kind =
        std::find_if(kinds.begin(), kinds.end(), [&](const Kind &candidate) { return candidate.name == kindName; });
    SectionReader reader(this->where.file, section);
    if (kind == kinds.end()) {
        reader.fault("", section.name,
                     "[data_centre NAME], [engine NAME], [endpoint NAME], [class NAME], [service NAME], [retries]");
    } else {
        if (kindName == "retries" ? !name.empty() : !isName(name) || name.size() > longestName) {
            reader.fault("", section.name,
                         kindName == "retries"
                             ? "[retries]"
                             : "a name of at most 32 letters, digits, '.', '_' and '-', a letter or digit first");
        }
        (this->*kind->read)(reader, name);
    }
    const std::vector<Fault> found = kind != kinds.end() ? reader.finish() : reader.faultsSoFar();
    this->faults.insert(this->faults.end(), found.begin(), found.end());
}

void DeclarationReader::readDataCentre(SectionReader &reader, const std::string &name)
{
    this->result.dataCentres.push_back({DataCentreId(name), reader.name("region")});
}

void DeclarationReader::readEngine(SectionReader &reader, const std::string &name)
{
    Engine engine;
    engine.id = EngineId(name);
    engine.address = reader.address("address", Port::Fixed);
    engine.dataCentre = DataCentreId(reader.name("data_centre"));
    engine.model = ModelId(reader.name("model"));
    const std::string role = reader.choice("role", std::nullopt, {"prefill", "decode"});
    engine.role = role == "decode" ? EngineRole::Decode : EngineRole::Prefill;
    engine.memory = Pieces(reader.number("pieces", engine.memory.value(), piecesRange));
    engine.checksFencing = reader.flag("checks_fencing", engine.checksFencing);
    engine.leaving = reader.flag("leaving", engine.leaving);
    this->result.engines.push_back(std::move(engine));
}

void DeclarationReader::readEndpoint(SectionReader &reader, const std::string &name)
{
    Endpoint endpoint;
    endpoint.id = EndpointId(name);
    endpoint.address = reader.address("address", Port::Fixed);
    endpoint.dataCentre = DataCentreId(reader.name("data_centre"));
    endpoint.leaving = reader.flag("leaving", endpoint.leaving);
    this->result.endpoints.push_back(std::move(endpoint));
}

void DeclarationReader::readClass(SectionReader &reader, const std::string &name)
{
    ServiceClass item;
    item.name = name;
    item.rank = static_cast<int>(reader.number("rank", std::nullopt, rankRange));
    item.firstToken = reader.duration("first_token", std::nullopt, targetRange);
    item.perToken = reader.duration("per_token", item.perToken, targetRange);
    item.patience = reader.duration("patience", item.patience, patienceRange);
    item.wasteWeight = reader.fraction("waste_weight", item.wasteWeight, wasteWeightRange);
    item.objectivePercent = reader.fraction("objective_percent", item.objectivePercent, objectiveRange);
    this->result.classes.push_back(std::move(item));
}

void DeclarationReader::readService(SectionReader &reader, const std::string &name)
{
    Service service;
    service.id = ServiceId(name);
    service.serviceClass = reader.name("class");
    service.dependsOn = toIds<ServiceId>(reader.names("depends_on"));
    service.workspaces = reader.names("workspaces");
    const std::string kind = reader.choice("kind", std::nullopt, {"model", "plain"});
    if (kind == "plain") {
        service.kind = readPlain(reader);
    } else {
        service.kind = readModel(reader);
    }
    this->result.services.push_back(std::move(service));
}

void DeclarationReader::readRetries(SectionReader &reader, const std::string & /*name*/)
{
    RetryPolicy &retries = this->result.retries;
    retries.budgetPercent = static_cast<int>(reader.number("budget_percent", retries.budgetPercent, budgetRange));
    retries.attempts = static_cast<int>(reader.number("attempts", retries.attempts, attemptsRange));
}

} // namespace fescuesill
