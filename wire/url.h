#pragma once

// Percent-encoding, and parsing of a request target into its path and query.
//
//     percentEncode("call/bookings/a b");              // "call%2Fbookings%2Fa%20b"
//     const Target target = parseTarget("/v1/streams/s1?from=7&entry=athens-a");
//     target.path;                                     // "/v1/streams/s1"
//     target.query("from");                            // "7"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuesill
{

std::string percentEncode(std::string_view text);
// Returns nothing if a percent sign is not followed by two hexadecimal digits.
std::optional<std::string> percentDecode(std::string_view text);

struct QueryItem {
    std::string name;
    std::string value;
};

struct Target {
    std::string path;
    std::vector<QueryItem> items;

    // The value of the first query item with this name.
    std::optional<std::string> query(std::string_view name) const;
};

// Query items without '=' or with invalid percent-encoding are skipped.
Target parseTarget(std::string_view target);

} // namespace fescuesill
