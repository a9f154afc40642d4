#pragma once

// What this entry knows of the fleet, as one value that never changes; a new one takes its place.
//
//     const std::shared_ptr<const EntryView> view = links.view();
//     const CellRoute *route = view->findRoute(cell);

#include "declare/declaration.h"
#include "wire/messages.h"
#include "wire/peernode.h"

#include <memory>
#include <optional>

namespace fescuesill
{

struct CellRoute {
    peer::CellUpdate news;
    std::optional<LinkId> owner; // none while the owner is out of reach
};

struct EntryView {
    const CellRoute *findRoute(const CellId &cell) const
    {
        for (const CellRoute &route : this->cells) {
            if (route.news.cell == cell) {
                return &route;
            }
        }
        return nullptr;
    }

    std::shared_ptr<const Declaration> declaration; // null before the first
    ConfigVersion version;
    // When a scheduler last said that it serves. Older than the freshness limit: take nothing new.
    Instant heard;
    std::vector<CellRoute> cells;
};

} // namespace fescuesill
