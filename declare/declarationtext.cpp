// Long lists are broken after a comma, with an indented next line, to stay below inih's limit for a line.

#include "declare/declarationtext.h"

#include "declare/values.h"

#include <fmt/format.h>

namespace fescuesill
{

namespace
{

constexpr std::size_t longestListLine = 100;

template<typename Tag>
std::vector<std::string> names(const std::vector<Id<Tag>> &ids)
{
    std::vector<std::string> result;
    result.reserve(ids.size());
    for (const Id<Tag> &id : ids) {
        result.push_back(id.value());
    }
    return result;
}

void writeList(std::string &out, std::string_view key, const std::vector<std::string> &items)
{
    if (items.empty()) {
        return;
    }
    std::string line = fmt::format("{} = {}", key, items.front());
    for (std::size_t i = 1; i < items.size(); ++i) {
        if (line.size() + items[i].size() > longestListLine) {
            out += line + ",\n";
            line = "    " + items[i];
        } else {
            line += ", " + items[i];
        }
    }
    out += line + "\n";
}

struct KindWriter {
    std::string &out;

    void operator()(const ModelService &model) const
    {
        this->out +=
            fmt::format("kind = model\nmodel = {}\nmax_output = {}\n", model.model.value(), model.maxOutput.value());
    }
    void operator()(const PlainService &plain) const
    {
        this->out +=
            fmt::format("kind = plain\nroute = {}\nrepeatable = {}\nresult_query = {}\ndeadline = {}\n", plain.route,
                        formatFlag(plain.repeatable), formatFlag(plain.resultQuery), formatDuration(plain.deadline));
        writeList(this->out, "methods", plain.methods);
        writeList(this->out, "endpoints", names(plain.endpoints));
    }
};

std::string engineText(const Engine &engine)
{
    return fmt::format("[engine {}]\naddress = {}\ndata_centre = {}\nmodel = {}\nrole = {}\npieces = {}\n"
                       "checks_fencing = {}\nleaving = {}\n\n",
                       engine.id.value(), engine.address, engine.dataCentre.value(), engine.model.value(),
                       engine.role == EngineRole::Prefill ? "prefill" : "decode", engine.memory.value(),
                       formatFlag(engine.checksFencing), formatFlag(engine.leaving));
}

std::string endpointText(const Endpoint &endpoint)
{
    return fmt::format("[endpoint {}]\naddress = {}\ndata_centre = {}\nleaving = {}\n\n", endpoint.id.value(),
                       endpoint.address, endpoint.dataCentre.value(), formatFlag(endpoint.leaving));
}

std::string classText(const ServiceClass &item)
{
    return fmt::format("[class {}]\nrank = {}\nfirst_token = {}\nper_token = {}\npatience = {}\nwaste_weight = {}\n"
                       "objective_percent = {}\n\n",
                       item.name, item.rank, formatDuration(item.firstToken), formatDuration(item.perToken),
                       formatDuration(item.patience), item.wasteWeight, item.objectivePercent);
}

std::string serviceText(const Service &service)
{
    std::string out = fmt::format("[service {}]\nclass = {}\n", service.id.value(), service.serviceClass);
    writeList(out, "depends_on", names(service.dependsOn));
    writeList(out, "workspaces", service.workspaces);
    std::visit(KindWriter{out}, service.kind);
    return out + "\n";
}

} // namespace

std::string canonicalText(const Declaration &declaration)
{
    std::string out;
    for (const DataCentre &dataCentre : declaration.dataCentres) {
        out += fmt::format("[data_centre {}]\nregion = {}\n\n", dataCentre.id.value(), dataCentre.region);
    }
    for (const Engine &engine : declaration.engines) {
        out += engineText(engine);
    }
    for (const Endpoint &endpoint : declaration.endpoints) {
        out += endpointText(endpoint);
    }
    for (const ServiceClass &item : declaration.classes) {
        out += classText(item);
    }
    for (const Service &service : declaration.services) {
        out += serviceText(service);
    }
    out += fmt::format("[retries]\nbudget_percent = {}\nattempts = {}\n", declaration.retries.budgetPercent,
                       declaration.retries.attempts);
    return out;
}

} // namespace fescuesill
