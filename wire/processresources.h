#pragma once

// The memory and the descriptors that a process may use: those of its settings, or else of its machine, its control
// group and its resource limits.
//
//     [limits]
//     memory_mb = 110
//     max_files = 4100
//
//     settings.resources = readProcessResources(reader, 1);     // before reader.finish()

#include "decide/memoryplan.h"
#include "declare/settings.h"

namespace fescuesill
{

constexpr int programsOfOwnHost = 2; // an entry and a scheduler

// `programs`: that share the memory of the machine where the settings name none.
ProcessResources readProcessResources(SettingsReader &reader, int programs);

} // namespace fescuesill
