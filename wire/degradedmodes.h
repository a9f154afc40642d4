#pragma once

// The degraded modes that a process is in, with their start times, as shown by /status.
//
//     DegradedModes modes;
//     modes.set("platform_unreachable", !isReachable);      // at each check
//     status["degraded"] = toJson(modes);
//
// Thread-safe.

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
    // Records the time of a change and logs it. A call that changes nothing is cheap.
    void set(const std::string &mode, bool isOn);
    std::vector<DegradedMode> list() const;

private:
    mutable std::mutex mutex;
    std::map<std::string, std::time_t> since; // by mode; bounded by the number of modes that the program sets
};

// A list of {"mode","since"}.
nlohmann::json toJson(const DegradedModes &modes);

} // namespace fescuesill
