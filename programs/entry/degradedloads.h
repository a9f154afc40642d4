#pragma once

// Fresh loads of a cell's engines for placing without an owner, asked for only while such placing goes on.
//
//     DegradedLoads loads(services);
//     loads.refresh(cell, view);             // at each placing of our own; asks at most every 250 ms

#include "programs/entry/shardservices.h"

namespace fescuesill
{

class DegradedLoads
{
public:
    explicit DegradedLoads(ShardServices &services);

    void refresh(const CellId &cell, const EntryView &view);

private:
    void ask(const CellId &cell, const Engine &engine, const asio::yield_context &yield);

    ShardServices &services;
    std::map<CellId, Instant> lastAsked; // cells come from the declaration: some 48
};

} // namespace fescuesill
