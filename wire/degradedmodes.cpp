#include "wire/degradedmodes.h"

#include "wire/log.h"

#include <fmt/format.h>

#include <fmt/chrono.h>

#include <nlohmann/json.hpp>

namespace fescuesill
{

void DegradedModes::set(const std::string &mode, bool isOn)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const bool wasOn = this->since.count(mode) != 0;
    if (isOn == wasOn) {
        return;
    }
    if (isOn) {
        this->since[mode] = std::time(nullptr);
        Log::warning("degraded", {{"mode", mode}});
    } else {
        this->since.erase(mode);
        Log::info("recovered", {{"mode", mode}});
    }
}

std::vector<DegradedMode> DegradedModes::list() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<DegradedMode> modes;
    for (const auto &[mode, time] : this->since) {
        std::tm parts{};
        gmtime_r(&time, &parts);
        modes.push_back(DegradedMode{mode, fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", parts)});
    }
    return modes;
}

nlohmann::json toJson(const DegradedModes &modes)
{
    nlohmann::json list = nlohmann::json::array();
    for (const DegradedMode &mode : modes.list()) {
        list.push_back({{"mode", mode.mode}, {"since", mode.since}});
    }
    return list;
}

} // namespace fescuesill
