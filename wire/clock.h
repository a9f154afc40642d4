#pragma once

// Reads the clocks of the system as Instants, which are passed to the code that makes decisions.
//
//     cell.poll(steadyNow());
//     ordering.on(event, sharedNow());

#include "fescuesill/units.h"

#include <ctime>

namespace fescuesill
{

// The monotonic clock. Never jumps. Its values cannot be compared between hosts.
inline Instant steadyNow()
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

// The monotonic clock that also advances while the host is suspended. Its values cannot be compared between hosts.
// Leases use it: by a clock that stops during suspension, an expired lease would still be valid.
inline Instant bootNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(Duration(std::int64_t{time.tv_sec} * 1'000'000 + time.tv_nsec / 1000));
}

// Wall clock time. It can be compared with times written by other hosts, within the clock margin.
inline Instant sharedNow()
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
}

} // namespace fescuesill
