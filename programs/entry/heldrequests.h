#pragma once

// The model requests that this entry holds, over all its I/O threads: what a new owner of their cells is told, and
// which cells are in use.
//
//     held.put(peer::Held{...});             // placed, or moved to another engine
//     held.remove(request);
//     held.beginUse(cell); ... held.endUse(cell);   // a request asks for a place there, or has one
//     held.areUsed(cells);
//     links.send(link, peer::Holding{held.inCells(cells)});
//
// One lock: it is taken a few times in the life of a request, and read when an owner changes.

#include "wire/messages.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <set>
#include <unordered_map>

namespace fescuesill
{

class HeldRequests
{
public:
    void put(peer::Held held)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const RequestId request = held.request;
        this->requests[request] = std::move(held);
    }
    void remove(const RequestId &request)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->requests.erase(request);
    }
    std::vector<peer::Held> inCells(const std::set<CellId> &cells) const
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::vector<peer::Held> found;
        for (const auto &[request, held] : this->requests) {
            if (cells.count(held.cell) != 0) {
                found.push_back(held);
            }
        }
        return found;
    }
    void beginUse(const CellId &cell)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        ++this->uses[cell];
    }
    void endUse(const CellId &cell)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const auto found = this->uses.find(cell);
        if (found != this->uses.end() && --found->second == 0) {
            this->uses.erase(found);
        }
    }
    bool areUsed(const std::set<CellId> &cells) const
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return std::any_of(cells.begin(), cells.end(),
                           [this](const CellId &cell) { return this->uses.count(cell) != 0; });
    }
    std::size_t count() const
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->requests.size();
    }

private:
    mutable std::mutex mutex;
    std::unordered_map<RequestId, peer::Held> requests; // bounded by the limit on requests in progress
    std::map<CellId, std::size_t> uses; // at most the cells of the declaration
};

} // namespace fescuesill
