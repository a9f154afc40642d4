#pragma once

// What changes for whom between two declarations.
//
//     const Difference difference = Difference::between(inForce, proposed);
//     print(difference.text());               // the same for the same two declarations, fit for a code review
//     if (difference.lowersCapacity()) { ... ask the operator for --yes ... }
//
// The order of sections in the text is no difference.

#include "declare/declaration.h"

namespace fescuesill
{

// Section and key as in the text; affected are the services that the change reaches.
struct SectionAdded {
    std::string section;
    std::vector<ServiceId> affected;
};
struct SectionRemoved {
    std::string section;
    std::vector<ServiceId> affected;
};
struct KeyChanged {
    std::string section;
    std::string key;
    std::string before; // empty: not given
    std::string after;
    std::vector<ServiceId> affected;
};

using DeclarationChange = std::variant<SectionAdded, SectionRemoved, KeyChanged>;

// Memory that takes new work; engines that leave are not counted.
struct PoolCapacity {
    ModelId model;
    EngineRole role = EngineRole::Prefill;
    int enginesBefore = 0;
    int enginesAfter = 0;
    Pieces before;
    Pieces after;
};
// Endpoints of a plain service that take new work.
struct ServiceCapacity {
    ServiceId service;
    int before = 0;
    int after = 0;
};

using CapacityChange = std::variant<PoolCapacity, ServiceCapacity>;

bool isDrop(const CapacityChange &change);

class Difference
{
public:
    static Difference between(const Declaration &before, const Declaration &after);

    bool isEmpty() const;
    // Less than what was declared of some pool or service, or a service less.
    bool lowersCapacity() const;
    std::string text() const;

    std::vector<DeclarationChange> changes;
    std::vector<CapacityChange> capacities; // only those that differ
};

} // namespace fescuesill
