// A map from the hash of a prefix to the engines that hold it, bounded by evicting the least recently added prefix.
//
// Cache events are late and have gaps, so they alone would send requests to engines that have evicted the prefix. Two
// exact sources correct them: a prompt that was just computed is certainly held, and the reused count of a prefill
// shows where the held part ends. So a wrong entry costs at most one prefill.
//
// A block is held only if all blocks before it are, so a match walks the blocks from the first and ends at the first
// that no engine holds. Starting from the longest prefix would cost a look-up for each block of every new prompt.
//
// Rejected: a radix tree over tokens (the scheduler never sees tokens, and hashes of whole prefixes need no tree).

#include "decide/prefixindex.h"

#include <algorithm>

namespace fescuesill
{

PrefixIndex::Block &PrefixIndex::touch(PrefixHash hash)
{
    const auto found = this->blocks.find(hash.value);
    if (found != this->blocks.end()) {
        this->ages.splice(this->ages.end(), this->ages, found->second.age);
        return found->second;
    }
    if (this->blocks.size() >= this->options.maxBlocks) {
        this->blocks.erase(this->ages.front());
        this->ages.pop_front();
    }
    Block &block = this->blocks[hash.value];
    block.age = this->ages.insert(this->ages.end(), hash.value);
    return block;
}

void PrefixIndex::add(PrefixHash hash, EngineSlot slot)
{
    Block &block = this->touch(hash);
    const auto found = std::find(block.holders.begin(), block.holders.end(), slot);
    if (found == block.holders.end() && block.holders.size() < this->options.maxHolders) {
        block.holders.push_back(slot);
    }
}

void PrefixIndex::remove(PrefixHash hash, EngineSlot slot)
{
    const auto found = this->blocks.find(hash.value);
    if (found == this->blocks.end()) {
        return;
    }
    auto &holders = found->second.holders;
    holders.erase(std::remove(holders.begin(), holders.end(), slot), holders.end());
    if (holders.empty()) {
        this->ages.erase(found->second.age);
        this->blocks.erase(found);
    }
}

void PrefixIndex::learn(const std::vector<PrefixHash> &prefix, EngineSlot slot)
{
    const std::size_t depth = std::min(prefix.size(), this->options.maxDepth);
    for (std::size_t i = 0; i < depth; ++i) {
        this->add(prefix[i], slot);
    }
}

void PrefixIndex::correct(const std::vector<PrefixHash> &prefix, EngineSlot slot, std::size_t reusedBlocks)
{
    const std::size_t depth = std::min(prefix.size(), this->options.maxDepth);
    for (std::size_t i = reusedBlocks; i < depth; ++i) {
        this->remove(prefix[i], slot);
    }
}

void PrefixIndex::removeEngine(EngineSlot slot)
{
    for (auto entry = this->blocks.begin(); entry != this->blocks.end();) {
        auto &holders = entry->second.holders;
        holders.erase(std::remove(holders.begin(), holders.end(), slot), holders.end());
        if (holders.empty()) {
            this->ages.erase(entry->second.age);
            entry = this->blocks.erase(entry);
        } else {
            ++entry;
        }
    }
}

std::size_t PrefixIndex::match(const std::vector<PrefixHash> &prefix, std::vector<Match> &matches) const
{
    matches.clear();
    std::size_t steps = 0;
    const std::size_t depth = std::min(prefix.size(), this->options.maxDepth);
    for (std::size_t i = 0; i < depth; ++i) {
        const auto found = this->blocks.find(prefix[i].value);
        ++steps;
        if (found == this->blocks.end()) {
            break;
        }
        for (const EngineSlot slot : found->second.holders) {
            ++steps;
            const auto known =
                std::find_if(matches.begin(), matches.end(), [slot](const Match &match) { return match.slot == slot; });
            if (i == 0) {
                matches.push_back({slot, 1});
            } else if (known != matches.end() && known->blocks == i) {
                known->blocks = i + 1;
            }
        }
    }
    return steps;
}

} // namespace fescuesill
