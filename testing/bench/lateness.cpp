#include "lateness.h"

#include <array>
#include <utility>

namespace fescuesill::bench
{

// Seconds late, by share of the summaries, of 48 cells that publish every second to 340 hosts ("lateness" of
// testing/slopes). A cell near its capacity publishes 0.9 to 1.0 summaries a second.
constexpr std::array<std::pair<double, double>, 8> measuredLateness{
    {{0, 0.1}, {0.05, 4.0}, {0.25, 8.7}, {0.5, 14.3}, {0.75, 24.2}, {0.95, 49.9}, {0.99, 74.0}, {1, 120}}};

std::uint64_t mixed(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31U);
}

double uniform(std::uint64_t bits)
{
    return static_cast<double>(bits >> 11U) / 9007199254740992.0;
}

Duration latenessAt(double share)
{
    std::size_t upper = 1;
    while (upper + 1 < measuredLateness.size() && measuredLateness[upper].first < share) {
        ++upper;
    }
    const auto &[lowShare, low] = measuredLateness[upper - 1];
    const auto &[highShare, high] = measuredLateness[upper];
    const double seconds = low + (high - low) * (share - lowShare) / (highShare - lowShare);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace fescuesill::bench
