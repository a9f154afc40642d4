#pragma once

// The time of a log line, to be compared and added to.
//
//     const auto at = parseLogTime("2026-01-02T03:04:05.678Z");
//     if (at && *at >= begin && *at <= begin + 5s) { ... }

#include "fescuesill/units.h"

#include <optional>
#include <string_view>

namespace fescuesill
{

// Since the beginning of 1970, in UTC; none where it is no such time. The milliseconds may be left out.
std::optional<Duration> parseLogTime(std::string_view text);

} // namespace fescuesill
