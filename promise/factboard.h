#pragma once

// Holds the newest version of each fact, how often it was sent, and which fact is sent next in round-robin order.
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
        // One per cell and a few for the configuration. The one unchanged for the longest time is evicted first.
        std::size_t maxFacts = 512;
        Bytes maxFactBytes{128};
        // Every message of 300 bytes carries all urgent facts, so a peer that marks many as urgent must not fill it.
        std::size_t maxUrgent = 2;
    };
    struct Entry {
        Fact fact;
        Instant since;
        int sent = 0;
    };

    explicit FactBoard(Options options);

    // Returns whether the fact was stored, which it is only if it is newer than the one held.
    bool apply(const Fact &fact, Instant now);
    std::vector<Fact> urgent() const;
    // The facts that were sent fewer times than the limit, without the urgent ones.
    std::vector<Entry *> gossip(int limit);
    // The next fact in round-robin order; nullptr if it does not fit into the room or there is none.
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
