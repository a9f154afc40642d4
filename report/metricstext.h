#pragma once

// Counters out of Prometheus text.
//
//     const Counters counters = readCounters(body, {"fescuesill_requests_total"});
//     for (const auto &[series, value] : counters) { series.name; series.label("service"); }

#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace fescuesill
{

struct Series {
    std::string name;
    std::map<std::string, std::string> labels;

    // Empty where there is none.
    std::string label(const std::string &key) const;

    friend bool operator<(const Series &a, const Series &b)
    {
        return std::tie(a.name, a.labels) < std::tie(b.name, b.labels);
    }
    friend bool operator==(const Series &a, const Series &b)
    {
        return std::tie(a.name, a.labels) == std::tie(b.name, b.labels);
    }
};

using Counters = std::map<Series, double>;

// Only series of these names; lines that don't parse are passed over.
Counters readCounters(std::string_view text, const std::vector<std::string> &names);

} // namespace fescuesill
