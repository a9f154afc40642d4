#pragma once

// The newest version of each fact, how often it was passed on, and whose turn it is to be passed on again.
//
//     FactBoard board({});
//     board.apply(Fact{"cell/motor-7b/athens", 17, bytes}, now);     // ignored unless the version is higher
//     for (FactBoard::Held *held : board.rumours(limit)) { ... ++held->sent; }
//     const Fact *fact = board.nextInTurn(room);

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
        std::size_t most = 512;
        Bytes mostBytes{128};
        // Urgent ones ride on every message of 300 bytes; a peer that calls all urgent must not fill them.
        std::size_t mostUrgent = 2;
    };
    struct Held {
        Fact fact;
        Instant since;
        int sent = 0;
    };

    explicit FactBoard(Options options);

    // Whether it was newer than what was held.
    bool apply(const Fact &fact, Instant now);
    std::vector<Fact> urgent() const;
    // Those that were passed on fewer times than the limit; the urgent ones left out.
    std::vector<Held *> rumours(int limit);
    // The next one round, where it has room; nullptr otherwise.
    const Fact *nextInTurn(std::size_t room);

    std::vector<Fact> all() const;
    std::size_t size() const;

private:
    void evictOldest();

    Options options;
    std::map<std::string, Held> held;
    std::string turn;
};

} // namespace fescuesill
