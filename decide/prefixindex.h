#pragma once

// Which engines probably hold which prompt prefixes in their caches. The index is a hint: wrong entries cost time but
// never affect an answer.
//
//     PrefixIndex index(PrefixIndex::Options{});
//     index.learn(request.prefix, slot);                     // the engine has just computed this prompt
//     index.match(request.prefix, matches);                  // blocks held, by engine
//     index.correct(request.prefix, slot, reusedBlocks);     // blocks that the engine reported as reused

#include "decide/cellmessages.h"
#include "decide/enginetable.h"

#include <list>

namespace fescuesill
{

class PrefixIndex
{
public:
    struct Options {
        // Maximum number of blocks: 50 requests a second of 8 blocks for 8 minutes, some 30 MB. Older ones are no
        // longer in the engines' caches.
        std::size_t maxBlocks = 200000;
        // Maximum number of engines recorded for a block. A prefix on this many engines is available wherever it is
        // useful, and without the limit one preamble would cost a loop over 600 engines for each of its blocks.
        std::size_t maxHolders = 64;
        // Maximum number of blocks of one prompt that are indexed. Prompts share their beginnings, not their ends.
        std::size_t maxDepth = 64;
    };

    struct Match {
        EngineSlot slot = noEngine;
        std::size_t blocks = 0;
    };

    explicit PrefixIndex(const Options &options)
        : options(options)
    {
    }

    void add(PrefixHash hash, EngineSlot slot);
    void remove(PrefixHash hash, EngineSlot slot);
    void learn(const std::vector<PrefixHash> &prefix, EngineSlot slot);
    // The engine reused only this many leading blocks, so it does not hold the later ones.
    void correct(const std::vector<PrefixHash> &prefix, EngineSlot slot, std::size_t reusedBlocks);
    // The engine restarted or was removed.
    void removeEngine(EngineSlot slot);

    // Finds the longest known prefix on each engine that holds any. Returns the number of entries examined.
    std::size_t match(const std::vector<PrefixHash> &prefix, std::vector<Match> &matches) const;
    std::size_t size() const
    {
        return this->blocks.size();
    }

private:
    struct Block {
        std::vector<EngineSlot> holders;
        std::list<std::uint64_t>::iterator age;
    };

    Block &touch(PrefixHash hash);

    Options options;
    std::unordered_map<std::uint64_t, Block> blocks;
    std::list<std::uint64_t> ages; // least recently added first
};

} // namespace fescuesill
