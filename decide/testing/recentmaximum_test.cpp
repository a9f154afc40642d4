#include "decide/recentmaximum.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace fescuesill
{
namespace
{

RC_GTEST_PROP(RecentMaximum, IsTheLargestValueOfTheWindow, ())
{
    constexpr Duration window{10s};
    RecentMaximum maximum(window);
    std::vector<std::pair<Instant, std::size_t>> added;
    Instant now{1h};
    for (int step = 0; step < 50; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
        if (*rc::gen::arbitrary<bool>()) {
            added.emplace_back(now, *rc::gen::inRange<std::size_t>(0, 9));
            maximum.add(added.back().second, now);
        }
        std::size_t expected = 0;
        for (const auto &[at, value] : added) {
            expected = now - at <= window ? std::max(expected, value) : expected;
        }
        RC_ASSERT(maximum.value(now) == expected);
    }
}

} // namespace
} // namespace fescuesill
