#include "report/logevents.h"

#include <algorithm>
#include <array>

namespace fescuesill
{

namespace
{

constexpr std::array<std::string_view, 12> hostChanges = {
    "started",        "stopping",    "stopped",         "store_lost",       "store_back",       "leader_changed",
    "leader_reached", "leader_lost", "config_in_force", "endpoints_listed", "degraded_placing", "log_lines_left_out"};
constexpr std::array<std::string_view, 5> endpointChanges = {"endpoint_changed", "endpoint_missing", "endpoint_removed",
                                                             "stage_ordered", "engine_silent"};
constexpr std::array<std::string_view, 6> ends = {"generation_ended", "forwarded", "refused",
                                                  "caller_gone",      "ended",     "call_failed"};
constexpr std::array<std::string_view, 4> partnerKeys = {"engine", "endpoint", "prefill", "decode"};

template<std::size_t size>
bool isOneOf(std::string_view name, const std::array<std::string_view, size> &names)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

bool isChange(const LogLine &line)
{
    return isOneOf(line.event, hostChanges) || isEndpointChange(line);
}

bool isEndpointChange(const LogLine &line)
{
    return isOneOf(line.event, endpointChanges);
}

bool isEnd(const LogLine &line)
{
    return isOneOf(line.event, ends);
}

std::vector<std::string> partnersIn(const LogLine &line)
{
    std::vector<std::string> partners;
    for (const std::string_view key : partnerKeys) {
        if (const auto value = line.value(key); !value.empty()) {
            partners.emplace_back(value);
        }
    }
    return partners;
}

} // namespace fescuesill
