#pragma once

// The scheduler process: its duties, joined.
//
//     return runScheduler(settings);          // returns when the planned stop is over

#include "programs/scheduler/schedulersettings.h"

namespace fescuesill
{

int runScheduler(const SchedulerSettings &settings);

} // namespace fescuesill
