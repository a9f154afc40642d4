#pragma once

// Totals of the whole fleet from counters of processes that start, end and are not always reachable.
//
//     FleetTally tally = FleetTally::fromJson(object).value_or(FleetTally());
//     tally.advance({{"athens-a entry", counters}}, now);
//     store(tally.toJson());
//     const Sample sample = tally.sample();       // differences of samples are what happened in between

#include "report/metricstext.h"

#include <cstdint>
#include <optional>
#include <string>

namespace fescuesill
{

// Seconds since the Unix epoch.
using UnixTime = std::int64_t;

struct Sample {
    UnixTime time = 0;
    Counters totals;
};

std::string toJson(const Sample &sample);
std::optional<Sample> sampleFromJson(const std::string &text);

class FleetTally
{
public:
    static std::optional<FleetTally> fromJson(const std::string &text);
    std::string toJson() const;

    // Processes that could not be reached are left out of the map.
    void advance(const std::map<std::string, Counters> &processes, UnixTime now);
    const Sample &sample() const;

private:
    struct Seen {
        UnixTime time = 0;
        Counters counters;
    };

    Sample fleet;
    std::map<std::string, Seen> seen;
};

} // namespace fescuesill
