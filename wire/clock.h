#pragma once

// The clocks of a program as Instants, to be passed into decisions.
//
//     cell.poll(steadyNow());
//     ordering.on(event, sharedNow());

#include "fescuesill/units.h"

namespace fescuesill
{

// Never jumps; means nothing on another host.
inline Instant steadyNow()
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

// Wall clock time, to be compared with what other hosts wrote, within the clock margin.
inline Instant sharedNow()
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
}

} // namespace fescuesill
