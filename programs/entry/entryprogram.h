#pragma once

// The entry process from its settings to its planned stop.
//
//     return runEntry(settings);     // the exit code

#include "programs/entry/entrysettings.h"

namespace fescuesill
{

int runEntry(const EntrySettings &settings);

} // namespace fescuesill
