#pragma once

// Values of INI keys, read and written.
//
//     parseDuration("550ms");            // 550ms; none for "550", "0.5s", "1 week"
//     formatDuration(90s);               // "90s": the largest unit that fits whole
//     isAddress("10.1.0.4:8080", false); // true; host names are not addresses
//     splitList("GET, POST");            // {"GET", "POST"}

#include "fescuesill/units.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuesill
{

std::optional<std::int64_t> parseNumber(std::string_view text);
std::optional<double> parseFraction(std::string_view text);
// A whole number and one of us, ms, s, min, h.
std::optional<Duration> parseDuration(std::string_view text);
std::string formatDuration(Duration duration);
std::optional<bool> parseFlag(std::string_view text);
std::string formatFlag(bool flag);
// IPv4:PORT or [IPv6]:PORT.
bool isAddress(std::string_view text, bool anyPort);
// Of an address: whether only processes of the same host reach it.
bool isLoopback(std::string_view address);
// Of an address: whether it stands for every address of the host, which nobody can dial.
bool isWildcard(std::string_view address);
std::vector<std::string> splitList(std::string_view text);
std::string joinList(const std::vector<std::string> &items);
// Letters, digits, '.', '_' and '-', beginning with a letter or digit.
bool isName(std::string_view text);

} // namespace fescuesill
