#pragma once

// Assigns numbers (slots) to the engines of a cell, so that the other tables are plain vectors.
//
//     EngineTable table;
//     const EngineSlot slot = table.slotOf(EngineId("p1"));    // the same for the lifetime of the table
//     table.name(slot);

#include "fescuesill/ids.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace fescuesill
{

using EngineSlot = std::size_t;
constexpr EngineSlot noEngine = static_cast<EngineSlot>(-1);

class EngineTable
{
public:
    EngineSlot slotOf(const EngineId &engine)
    {
        const auto [entry, added] = this->slots.emplace(engine, this->names.size());
        if (added) {
            this->names.push_back(engine);
        }
        return entry->second;
    }
    EngineSlot find(const EngineId &engine) const
    {
        const auto found = this->slots.find(engine);
        return found == this->slots.end() ? noEngine : found->second;
    }
    const EngineId &name(EngineSlot slot) const
    {
        return this->names[slot];
    }
    std::size_t size() const
    {
        return this->names.size();
    }

private:
    // Names come from the declaration and are few. A name that is removed keeps its slot in case it is declared again.
    std::unordered_map<EngineId, EngineSlot> slots;
    std::vector<EngineId> names;
};

} // namespace fescuesill
