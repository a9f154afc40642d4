#pragma once

// What a core needs from the platform's table, as values: the program does the call and feeds the result back.
//
//     const TableWrite write{"config/current", text, RowVersion(7)};    // compare-and-set
//     const TableWrite insert{"call/bookings/karamanlis/k1", text, absent};

#include "fescuesill/units.h"

#include <optional>
#include <string>

namespace fescuesill
{

// A write with this version succeeds only where the row does not exist.
constexpr RowVersion absent{0};

struct TableRow {
    std::string value;
    RowVersion version;
};

struct TableWrite {
    std::string key;
    std::string value;
    RowVersion ifVersion;
};

// Events of a table call. A program sends exactly one of them for each action that asks for a call.
namespace table
{

struct Written {
    RowVersion version;
};
// The row was not at the version that the write named; nothing was written.
struct Conflict {
    std::optional<TableRow> row;
};
// The table refused (429, 503, cannot connect): the write has surely not taken effect.
struct Refused {
};
// No reply: the write may or may not have taken effect, now or later.
struct NoReply {
};
struct RowRead {
    std::optional<TableRow> row;
};
struct ReadFailed {
};

} // namespace table
} // namespace fescuesill
