// Both declarations are written as canonical text and compared section by section, key by key. So a key that is added
// to the declaration later is compared without a line here, and defaults written out or left out are equal. Comparing
// the operators' own texts was rejected: comments, order and defaults would show as changes.

#include "declare/difference.h"

#include "declare/declarationtext.h"
#include "declare/initext.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace fescuesill
{

namespace
{

using Keys = std::map<std::string, std::string>;

std::map<std::string, Keys> sectionsOf(const Declaration &declaration)
{
    std::map<std::string, Keys> sections;
    for (const IniSection &section : IniText::read(canonicalText(declaration), "").sections) {
        Keys &keys = sections[section.name];
        for (const IniEntry &entry : section.entries) {
            keys.emplace(entry.key, entry.value);
        }
    }
    return sections;
}

bool uses(const Declaration &declaration, const Service &service, const std::string &kind, const std::string &name)
{
    if (kind == "service") {
        return service.id.value() == name
            || std::find(service.dependsOn.begin(), service.dependsOn.end(), ServiceId(name))
            != service.dependsOn.end();
    }
    if (kind == "class") {
        return service.serviceClass == name;
    }
    if (kind == "engine") {
        const Engine *engine = declaration.findEngine(EngineId(name));
        const auto *model = std::get_if<ModelService>(&service.kind);
        return engine != nullptr && model != nullptr && model->model == engine->model;
    }
    if (kind == "endpoint") {
        const auto *plain = std::get_if<PlainService>(&service.kind);
        return plain != nullptr
            && std::find(plain->endpoints.begin(), plain->endpoints.end(), EndpointId(name)) != plain->endpoints.end();
    }
    // A data centre and the retry policy are everyone's.
    return true;
}

std::vector<ServiceId> affectedBy(const std::string &section, const Declaration &before, const Declaration &after)
{
    const auto blank = std::min(section.find(' '), section.size());
    const std::string kind = section.substr(0, blank);
    const std::string name = section.substr(std::min(blank + 1, section.size()));
    std::set<ServiceId> affected;
    for (const Declaration *declaration : {&before, &after}) {
        for (const Service &service : declaration->services) {
            if (uses(*declaration, service, kind, name)) {
                affected.insert(service.id);
            }
        }
    }
    return {affected.begin(), affected.end()};
}

std::vector<DeclarationChange> keyChanges(const std::string &section, const Keys &before, const Keys &after,
                                          const std::vector<ServiceId> &affected)
{
    std::set<std::string> names;
    for (const Keys *keys : {&before, &after}) {
        for (const auto &[name, value] : *keys) {
            names.insert(name);
        }
    }
    const auto valueOf = [](const Keys &keys, const std::string &name) {
        const auto found = keys.find(name);
        return found != keys.end() ? found->second : std::string();
    };
    std::vector<DeclarationChange> changes;
    for (const std::string &name : names) {
        if (valueOf(before, name) != valueOf(after, name)) {
            changes.emplace_back(KeyChanged{section, name, valueOf(before, name), valueOf(after, name), affected});
        }
    }
    return changes;
}

std::vector<DeclarationChange> changesBetween(const Declaration &before, const Declaration &after)
{
    const std::map<std::string, Keys> old = sectionsOf(before);
    const std::map<std::string, Keys> fresh = sectionsOf(after);
    std::set<std::string> names;
    for (const auto *sections : {&old, &fresh}) {
        for (const auto &[name, keys] : *sections) {
            names.insert(name);
        }
    }
    std::vector<DeclarationChange> changes;
    for (const std::string &name : names) {
        const std::vector<ServiceId> affected = affectedBy(name, before, after);
        if (old.count(name) == 0) {
            changes.emplace_back(SectionAdded{name, affected});
        } else if (fresh.count(name) == 0) {
            changes.emplace_back(SectionRemoved{name, affected});
        } else {
            const auto keys = keyChanges(name, old.at(name), fresh.at(name), affected);
            changes.insert(changes.end(), keys.begin(), keys.end());
        }
    }
    return changes;
}

using PoolKey = std::pair<ModelId, EngineRole>;

std::vector<CapacityChange> poolChanges(const Declaration &before, const Declaration &after)
{
    std::map<PoolKey, PoolCapacity> pools;
    const auto poolOf = [&](const Engine &engine) -> PoolCapacity & {
        PoolCapacity &pool = pools[{engine.model, engine.role}];
        pool.model = engine.model;
        pool.role = engine.role;
        return pool;
    };
    for (const Engine &engine : before.engines) {
        if (!engine.leaving) {
            ++poolOf(engine).enginesBefore;
            poolOf(engine).before += engine.memory;
        }
    }
    for (const Engine &engine : after.engines) {
        if (!engine.leaving) {
            ++poolOf(engine).enginesAfter;
            poolOf(engine).after += engine.memory;
        }
    }
    std::vector<CapacityChange> changes;
    for (const auto &[key, pool] : pools) {
        if (pool.before != pool.after || pool.enginesBefore != pool.enginesAfter) {
            changes.emplace_back(pool);
        }
    }
    return changes;
}

int stayingEndpoints(const Declaration &declaration, const ServiceId &id)
{
    const Service *service = declaration.findService(id);
    const auto *plain = service != nullptr ? std::get_if<PlainService>(&service->kind) : nullptr;
    int staying = 0;
    for (const EndpointId &name : plain != nullptr ? plain->endpoints : std::vector<EndpointId>()) {
        const Endpoint *endpoint = declaration.findEndpoint(name);
        staying += endpoint != nullptr && !endpoint->leaving ? 1 : 0;
    }
    return staying;
}

std::vector<CapacityChange> serviceChanges(const Declaration &before, const Declaration &after)
{
    std::set<ServiceId> ids;
    for (const Declaration *declaration : {&before, &after}) {
        for (const Service &service : declaration->services) {
            ids.insert(service.id);
        }
    }
    std::vector<CapacityChange> changes;
    for (const ServiceId &id : ids) {
        const ServiceCapacity capacity{id, stayingEndpoints(before, id), stayingEndpoints(after, id)};
        if (capacity.before != capacity.after) {
            changes.emplace_back(capacity);
        }
    }
    return changes;
}

std::string forWhom(const std::vector<ServiceId> &affected)
{
    std::vector<std::string> names;
    names.reserve(affected.size());
    for (const ServiceId &id : affected) {
        names.push_back(id.value());
    }
    return names.empty() ? "    for: no service\n" : fmt::format("    for: {}\n", fmt::join(names, ", "));
}

std::string shown(const std::string &value)
{
    return value.empty() ? "(none)" : value;
}

bool removesService(const DeclarationChange &change)
{
    const auto *removed = std::get_if<SectionRemoved>(&change);
    return removed != nullptr && removed->section.rfind("service ", 0) == 0;
}

struct ChangeText {
    std::string operator()(const SectionAdded &change) const
    {
        return fmt::format("+ [{}]\n{}", change.section, forWhom(change.affected));
    }
    std::string operator()(const SectionRemoved &change) const
    {
        return fmt::format("- [{}]{}\n{}", change.section, removesService(change) ? " (needs --yes)" : "",
                           forWhom(change.affected));
    }
    std::string operator()(const KeyChanged &change) const
    {
        return fmt::format("~ [{}] {}: {} -> {}\n{}", change.section, change.key, shown(change.before),
                           shown(change.after), forWhom(change.affected));
    }
};

struct CapacityText {
    std::string operator()(const PoolCapacity &pool) const
    {
        return fmt::format("{} {}: {} -> {} engines, {} -> {} pieces", pool.model.value(),
                           pool.role == EngineRole::Prefill ? "prefill" : "decode", pool.enginesBefore,
                           pool.enginesAfter, pool.before.value(), pool.after.value());
    }
    std::string operator()(const ServiceCapacity &service) const
    {
        return fmt::format("{}: {} -> {} endpoints", service.service.value(), service.before, service.after);
    }
};

struct DropTest {
    bool operator()(const PoolCapacity &pool) const
    {
        return pool.after < pool.before || pool.enginesAfter < pool.enginesBefore;
    }
    bool operator()(const ServiceCapacity &service) const
    {
        return service.after < service.before;
    }
};

} // namespace

bool isDrop(const CapacityChange &change)
{
    return std::visit(DropTest(), change);
}

Difference Difference::between(const Declaration &before, const Declaration &after)
{
    Difference difference;
    difference.changes = changesBetween(before, after);
    difference.capacities = poolChanges(before, after);
    const std::vector<CapacityChange> services = serviceChanges(before, after);
    difference.capacities.insert(difference.capacities.end(), services.begin(), services.end());
    return difference;
}

bool Difference::isEmpty() const
{
    return this->changes.empty();
}

bool Difference::lowersCapacity() const
{
    return std::any_of(this->capacities.begin(), this->capacities.end(), isDrop)
        || std::any_of(this->changes.begin(), this->changes.end(), removesService);
}

std::string Difference::text() const
{
    if (this->isEmpty()) {
        return "no change\n";
    }
    std::string out;
    for (const DeclarationChange &change : this->changes) {
        out += std::visit(ChangeText(), change);
    }
    if (!this->capacities.empty()) {
        out += "capacity that takes new work:\n";
    }
    for (const CapacityChange &change : this->capacities) {
        out += "    " + std::visit(CapacityText(), change) + (isDrop(change) ? " (less: needs --yes)\n" : "\n");
    }
    return out;
}

} // namespace fescuesill
