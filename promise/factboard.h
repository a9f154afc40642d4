#pragma once

// The newest version of each fact, how often it was passed on, and whose turn it is to be passed on again.
//
//     FactBoard board({});
//     board.apply(Fact{"cell/motor-7b/athens", 17, bytes}, now);     // ignored unless the version is higher
//     for (FactBoard::Entry *entry : board.gossip(limit)) { ... ++entry->sent; }
//     const Fact *fact = board.nextRoundRobin(room);

#include "fescuesill/units.h"
#include "promise/probemessage.h"

#include <map>
#include <string>
#include <vector>

namespace fescuesill
{

class FactBoard
{
public:
    struct Options {
        // One per cell and a few for the configuration; the one that has not changed for longest goes first.
        std::size_t maxFacts = 512;
        Bytes maxFactBytes{128};
        // Urgent ones ride on every message of 300 bytes; a peer that calls all urgent must not fill them.
        std::size_t maxUrgent = 2;
    };
    struct Entry {
        Fact fact;
        Instant since;
        int sent = 0;
    };

    explicit FactBoard(Options options);

    // Whether it was newer than the one held.
    bool apply(const Fact &fact, Instant now);
    std::vector<Fact> urgent() const;
    // Those that were passed on fewer times than the limit; the urgent ones left out.
    std::vector<Entry *> gossip(int limit);
    // The next one round, where it has room; nullptr otherwise.
    const Fact *nextRoundRobin(std::size_t room);

    std::vector<Fact> all() const;
    std::size_t size() const;

private:
    void evictOldest();

    Options options;
    std::map<std::string, Entry> entries;
    std::string lastSentName;
};

} // namespace fescuesill
