#pragma once

// The degraded modes of a process and since when, as /status shows them.
//
//     DegradedModes modes;
//     modes.set("platform_unreachable", !isReachable);      // each time it is looked at
//     status["degraded"] = toJson(modes);
//
// Safe on any thread.

#include <ctime>
#include <map>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace fescuesill
{

struct DegradedMode {
    std::string mode;
    std::string since; // UTC, 2026-01-02T03:04:05Z
};

class DegradedModes
{
public:
    // Keeps the time of the change; says the same again cheaply.
    void set(const std::string &mode, bool isOn);
    std::vector<DegradedMode> list() const;

private:
    mutable std::mutex mutex;
    std::map<std::string, std::time_t> since; // as many as the program names
};

// A list of {"mode","since"}.
nlohmann::json toJson(const DegradedModes &modes);

} // namespace fescuesill
