// Least recently used out first, block by block. An event that is never published uses up a sequence number, so a
// reader sees the gap but not what was in it.

#include "testing/fakeengine/prefixcache.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescuesill::standin
{

namespace
{

// Older events are forgotten: a reader that far behind sees a gap.
constexpr std::size_t eventsKept = 8192;
constexpr std::size_t eventsPerReply = 1000;

} // namespace

PrefixCache::PrefixCache(const EngineOptions &options)
    : options(options)
    , random(options.seed)
{
}

std::int64_t PrefixCache::read(const std::vector<std::string> &prefix, std::int64_t promptTokens, SteadyTime now)
{
    std::int64_t held = 0;
    for (const std::string &block : prefix) {
        if (this->blocks.count(block) == 0) {
            break;
        }
        ++held;
    }
    // From the back, so that a long prefix is evicted from its end.
    for (auto block = prefix.rbegin(); block != prefix.rend(); ++block) {
        this->touch(*block, now);
    }
    // The last token is always read: its output is what the first answer token is made of.
    return std::clamp<std::int64_t>(held * this->options.cacheBlockTokens, 0,
                                    std::max<std::int64_t>(promptTokens - 1, 0));
}

nlohmann::json PrefixCache::events(std::int64_t after, SteadyTime now) const
{
    nlohmann::json events = nlohmann::json::array();
    std::int64_t next = after;
    const auto bySequence = [](std::int64_t number, const Event &event) {
        return number < event.sequence;
    };
    auto event = std::upper_bound(this->published.begin(), this->published.end(), after, bySequence);
    for (; event != this->published.end() && event->visibleAt <= now && events.size() < eventsPerReply; ++event) {
        events.push_back(
            {{"seq", event->sequence}, {"kind", event->isAdded ? "added" : "evicted"}, {"prefix", event->prefix}});
        next = event->sequence;
    }
    return {{"events", events}, {"next", next}};
}

void PrefixCache::touch(const std::string &block, SteadyTime now)
{
    const auto found = this->blocks.find(block);
    if (found != this->blocks.end()) {
        this->byUse.splice(this->byUse.begin(), this->byUse, found->second);
        return;
    }
    this->byUse.push_front(block);
    this->blocks[block] = this->byUse.begin();
    this->publish(true, block, now);
    if (this->blocks.size() > this->options.cacheBlocks) {
        this->publish(false, this->byUse.back(), now);
        this->blocks.erase(this->byUse.back());
        this->byUse.pop_back();
    }
}

void PrefixCache::publish(bool isAdded, const std::string &block, SteadyTime now)
{
    ++this->sequence;
    if (std::bernoulli_distribution(this->options.cacheEventGap)(this->random)) {
        return;
    }
    this->published.push_back(
        {this->sequence, isAdded, block, now + this->options.scaled(this->options.cacheEventLag)});
    if (this->published.size() > eventsKept) {
        this->published.pop_front();
    }
}

} // namespace fescuesill::standin
