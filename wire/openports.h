#pragma once

// Reports in the log and in /status which ports of a process accept connections without a key.
//
//     reportOpenPorts(settings.keys, modes);     // once, at startup

#include "declare/keysettings.h"
#include "wire/degradedmodes.h"

namespace fescuesill
{

void reportOpenPorts(const KeySettings &keys, DegradedModes &modes);

} // namespace fescuesill
