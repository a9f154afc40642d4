#pragma once

// Which engines probably hold which prompt prefixes in their caches. A hint: wrong entries cost time, never an answer.
//
//     PrefixIndex index(PrefixIndex::Options{});
//     index.learn(request.prefix, slot);                     // the engine has just read this prompt
//     index.match(request.prefix, matches);                  // blocks held, by engine
//     index.correct(request.prefix, slot, reusedBlocks);     // what the engine reported it really reused

#include "decide/cellmessages.h"
#include "decide/enginetable.h"

#include <list>

namespace fescuesill
{

class PrefixIndex
{
public:
    struct Options {
        // 50 requests a second of 8 blocks for 8 minutes, some 30 MB. What is older has left the engines' caches.
        std::size_t maxBlocks = 200000;
        // A prefix on this many engines is everywhere it is useful; without the bound one preamble would cost a walk
        // over 600 engines for each of its blocks.
        std::size_t maxHolders = 64;
        // Blocks of one prompt that are indexed. Prompts share preambles, not endings.
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
    // The engine reused only this many leading blocks: it does not hold the later ones.
    void correct(const std::vector<PrefixHash> &prefix, EngineSlot slot, std::size_t reusedBlocks);
    // The engine restarted or left.
    void removeEngine(EngineSlot slot);

    // The longest known prefix on each engine that holds any. Returns the number of entries looked at.
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
    std::list<std::uint64_t> ages; // least recently learnt first
};

} // namespace fescuesill
