#pragma once

// Says in the log and in /status which ports of a process ask nobody for a key.
//
//     reportOpenPorts(settings.keys, modes);     // once, at the start

#include "declare/keysettings.h"
#include "wire/degradedmodes.h"

namespace fescuesill
{

void reportOpenPorts(const KeySettings &keys, DegradedModes &modes);

} // namespace fescuesill
