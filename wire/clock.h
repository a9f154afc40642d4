#pragma once

// The clocks of a program as Instants, to be passed into decisions.
//
//     cell.poll(steadyNow());
//     ordering.on(event, sharedNow());

#include "fescuesill/units.h"

#include <ctime>

namespace fescuesill
{

// Never jumps; means nothing on another host.
inline Instant steadyNow()
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

// Never jumps and goes on while the host is suspended; means nothing on another host. For leases: a steady clock that
// stops with the host would find an old lease still good.
inline Instant bootNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(Duration(std::int64_t{time.tv_sec} * 1'000'000 + time.tv_nsec / 1000));
}

// Wall clock time, to be compared with what other hosts wrote, within the clock margin.
inline Instant sharedNow()
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
}

} // namespace fescuesill
