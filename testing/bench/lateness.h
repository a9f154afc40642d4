#pragma once

// How late a summary is at an entry, as measured, and numbers drawn from a key, the same in each run.
//
//     const Duration late = latenessAt(uniform(mixed(key)));

#include "fescuesill/units.h"

#include <cstdint>

namespace fescuesill::bench
{

std::uint64_t mixed(std::uint64_t value);
// From 0 to 1.
double uniform(std::uint64_t bits);
// That this share of the summaries does not exceed.
Duration latenessAt(double share);

} // namespace fescuesill::bench
