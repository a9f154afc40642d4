#pragma once

// Values that the state machines exchange with the platform's table: the program performs the call and feeds the result
// back as an event.
//
//     const TableWrite write{"config/current", text, RowVersion(7)};    // compare-and-set
//     const TableWrite insert{"call/bookings/karamanlis/k1", text, absent};

#include "fescuesill/units.h"

#include <optional>
#include <string>

namespace fescuesill
{

// A write with this version succeeds only if the row does not exist.
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

// Events of a table call. The program feeds back exactly one of them for each action that requests a call.
namespace table
{

struct Written {
    RowVersion version;
};
// The row was not at the version that the write expected; nothing was written.
struct Conflict {
    std::optional<TableRow> row;
};
// The table refused the call (429, 503, cannot connect): the write has not taken effect.
struct Refused {
};
// No reply: the write may have taken effect, may do so later, or not at all.
struct NoReply {
};
struct RowRead {
    std::optional<TableRow> row;
};
struct ReadFailed {
};

} // namespace table
} // namespace fescuesill
