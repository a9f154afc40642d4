// Every reader takes the whole text or nothing: "5s " with a rest, "5 apples" or a number that overflows is no value.
// Durations need a unit, because a bare number is read as seconds by one operator and as milliseconds by the next.

#include "declare/values.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace fescuesill
{

namespace
{

struct Unit {
    std::string_view name;
    std::int64_t microseconds;
};

// From the largest, as formatDuration takes the first that divides.
constexpr std::array<Unit, 5> units{
    {{"h", 3'600'000'000}, {"min", 60'000'000}, {"s", 1'000'000}, {"ms", 1'000}, {"us", 1}}};

constexpr std::size_t longestAddress = 64;

bool isLetterOrDigit(char letter)
{
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9');
}

bool beginsWith(std::string_view text, std::string_view begin)
{
    return text.substr(0, begin.size()) == begin;
}

} // namespace

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || rest != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::optional<double> parseFraction(std::string_view text)
{
    double number = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || rest != text.data() + text.size() || !std::isfinite(number)) {
        return std::nullopt;
    }
    return number;
}

std::optional<Duration> parseDuration(std::string_view text)
{
    const auto end = text.find_first_not_of("0123456789");
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    const auto amount = parseNumber(text.substr(0, end));
    for (const Unit &unit : units) {
        if (amount && text.substr(end) == unit.name) {
            if (*amount > std::numeric_limits<std::int64_t>::max() / unit.microseconds) {
                return std::nullopt;
            }
            return Duration(*amount * unit.microseconds);
        }
    }
    return std::nullopt;
}

std::string formatDuration(Duration duration)
{
    for (const Unit &unit : units) {
        if (duration.count() != 0 && duration.count() % unit.microseconds == 0) {
            return fmt::format("{}{}", duration.count() / unit.microseconds, unit.name);
        }
    }
    return "0s";
}

std::optional<bool> parseFlag(std::string_view text)
{
    if (text == "yes") {
        return true;
    }
    if (text == "no") {
        return false;
    }
    return std::nullopt;
}

std::string formatFlag(bool flag)
{
    return flag ? "yes" : "no";
}

bool isAddress(std::string_view text, bool anyPort)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || text.size() > longestAddress) {
        return false;
    }
    const auto port = parseNumber(text.substr(colon + 1));
    if (!port || *port < (anyPort ? 0 : 1) || *port > 65535 || text[colon + 1] == '-') {
        return false;
    }
    std::string host(text.substr(0, colon));
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        return inet_pton(AF_INET6, host.c_str(), binary.data()) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), binary.data()) == 1;
}

bool isLoopback(std::string_view address)
{
    return beginsWith(address, "127.") || beginsWith(address, "[::1]:");
}

bool isWildcard(std::string_view address)
{
    return beginsWith(address, "0.0.0.0:") || beginsWith(address, "[::]:");
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> items;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        const std::string_view item = text.substr(0, comma);
        text.remove_prefix(std::min(comma + 1, text.size()));
        const auto first = item.find_first_not_of(" \t");
        if (first != std::string_view::npos) {
            items.emplace_back(item.substr(first, item.find_last_not_of(" \t") - first + 1));
        }
    }
    return items;
}

std::string joinList(const std::vector<std::string> &items)
{
    return fmt::format("{}", fmt::join(items, ", "));
}

bool isName(std::string_view text)
{
    if (text.empty() || !isLetterOrDigit(text.front())) {
        return false;
    }
    for (const char letter : text) {
        if (!isLetterOrDigit(letter) && letter != '.' && letter != '_' && letter != '-') {
            return false;
        }
    }
    return true;
}

} // namespace fescuesill
