#pragma once

// Who owns which cell, and what is known of each: from the members, the declaration and the summaries that spread with
// them. No I/O.
//
//     membership.publish(CellBoard::factName(cell), version, CellBoard::encode(summary), now);
//     const CellBoard board = CellBoard::build(*declaration, membership);
//     board.news();                  // for entries
//     board.ownedBy(self);           // for this host's decider

#include "decide/cellmessages.h"
#include "declare/declaration.h"
#include "promise/membership.h"
#include "wire/messages.h"

#include <set>
#include <tl/expected.hpp>

namespace fescuesill
{

class CellBoard
{
public:
    static CellBoard build(const Declaration &declaration, const Membership &membership);

    const std::vector<peer::CellUpdate> &news() const;
    std::set<CellId> ownedBy(const HostId &host) const;

    static std::string factName(const CellId &cell);
    static std::string encode(const CellSummary &summary);
    static tl::expected<CellSummary, WireError> decode(const std::string &bytes);

private:
    std::vector<peer::CellUpdate> cells;
};

// Every cell that the declaration's engines make, whatever their state.
std::set<CellId> cellsOf(const Declaration &declaration);

} // namespace fescuesill
