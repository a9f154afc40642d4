#include "report/logtime.h"

#include <cstdlib>
#include <ctime>
#include <string>

namespace fescuesill
{

std::optional<Duration> parseLogTime(std::string_view given)
{
    const std::string text(given);
    std::tm parts{};
    const char *rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (rest == nullptr) {
        return std::nullopt;
    }
    const Duration whole = std::chrono::seconds(timegm(&parts));
    if (*rest != '.') {
        return *rest == '\0' || std::string_view(rest) == "Z" ? std::optional(whole) : std::nullopt;
    }
    char *end = nullptr;
    const double fraction = std::strtod(rest, &end);
    const bool isWhole = *end == '\0' || std::string_view(end) == "Z";
    return isWhole ? std::optional(whole + Duration(static_cast<std::int64_t>(fraction * 1e6))) : std::nullopt;
}

} // namespace fescuesill
