// The tally keeps the last counters of each process and adds what they grew by. A counter that went down belongs to a
// process that was started again: all of its value is new.
//
// A process seen for the first time adds nothing. It may have counted for days while it could not be reached, and to
// count that as the last minute's would raise a false alarm. What a new process counted before its first sample is
// lost to the report: at most one sampling interval.
//
// Two operators who sample at once both add to the same earlier tally, and one of the results is kept. Nothing is
// counted twice, because a tally holds its totals together with the counters that they were reckoned from.
//
// A sample in each process (windowed counters) was rejected: a process that is replaced takes its window with it.

#include "report/fleettally.h"

#include <nlohmann/json.hpp>

namespace fescuesill
{

namespace
{

using Json = nlohmann::json;

// Twice over the processes of the two-year fleet, old and new ones side by side in a rolling restart.
constexpr std::size_t mostProcesses = 4096;
// A host that has not been seen for this long is not coming back under its name.
constexpr UnixTime forgetAfter = 24 * 3600;

Json jsonOf(const Counters &counters)
{
    Json list = Json::array();
    for (const auto &[series, value] : counters) {
        list.push_back({series.name, series.labels, value});
    }
    return list;
}

Counters countersFrom(const Json &list)
{
    Counters counters;
    for (const Json &item : list) {
        const Series series{item.at(0).get<std::string>(), item.at(1).get<std::map<std::string, std::string>>()};
        counters[series] = item.at(2).get<double>();
    }
    return counters;
}

} // namespace

std::string toJson(const Sample &sample)
{
    return Json({{"time", sample.time}, {"totals", jsonOf(sample.totals)}})
        .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<Sample> sampleFromJson(const std::string &text)
{
    try {
        const Json json = Json::parse(text);
        return Sample{json.at("time").get<UnixTime>(), countersFrom(json.at("totals"))};
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::optional<FleetTally> FleetTally::fromJson(const std::string &text)
{
    auto fleet = sampleFromJson(text);
    if (!fleet) {
        return std::nullopt;
    }
    try {
        FleetTally tally;
        tally.fleet = std::move(*fleet);
        const Json json = Json::parse(text);
        for (const auto &[name, item] : json.at("processes").items()) {
            tally.seen[name] = {item.at("time").get<UnixTime>(), countersFrom(item.at("counters"))};
        }
        return tally;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::string FleetTally::toJson() const
{
    Json json = {{"time", this->fleet.time}, {"totals", jsonOf(this->fleet.totals)}, {"processes", Json::object()}};
    for (const auto &[name, item] : this->seen) {
        json["processes"][name] = {{"time", item.time}, {"counters", jsonOf(item.counters)}};
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void FleetTally::advance(const std::map<std::string, Counters> &processes, UnixTime now)
{
    for (const auto &[name, counters] : processes) {
        const auto known = this->seen.find(name);
        if (known == this->seen.end() && this->seen.size() >= mostProcesses) {
            continue;
        }
        for (const auto &[series, value] : counters) {
            double &total = this->fleet.totals[series];
            if (known == this->seen.end()) {
                continue;
            }
            const auto before = known->second.counters.find(series);
            const double earlier = before != known->second.counters.end() ? before->second : 0;
            total += value >= earlier ? value - earlier : value;
        }
        this->seen[name] = {now, counters};
    }
    for (auto item = this->seen.begin(); item != this->seen.end();) {
        item = now - item->second.time > forgetAfter ? this->seen.erase(item) : std::next(item);
    }
    this->fleet.time = now;
}

const Sample &FleetTally::sample() const
{
    return this->fleet;
}

} // namespace fescuesill
