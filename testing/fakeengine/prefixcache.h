#pragma once

// The prompt prefixes that a prefill engine still holds, and its late and gappy news about them.
//
//     PrefixCache cache(options);
//     const std::int64_t reused = cache.read(prefix, promptTokens);     // and holds the prefix from now on
//     cache.events(after, now);                                          // {"events":[...],"next":N}

#include "testing/fakeengine/engineoptions.h"

#include <deque>
#include <list>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace fescuesill::standin
{

class PrefixCache
{
public:
    explicit PrefixCache(const EngineOptions &options);

    // The tokens of this prompt that need no reading; the whole prefix is held afterwards.
    std::int64_t read(const std::vector<std::string> &prefix, std::int64_t promptTokens, SteadyTime now);
    nlohmann::json events(std::int64_t after, SteadyTime now) const;

private:
    struct Event {
        std::int64_t sequence = 0;
        bool isAdded = false;
        std::string prefix;
        SteadyTime visibleAt;
    };

    void touch(const std::string &block, SteadyTime now);
    void publish(bool isAdded, const std::string &block, SteadyTime now);

    const EngineOptions &options;
    std::mt19937 random;
    std::list<std::string> byUse; // the latest used first
    std::unordered_map<std::string, std::list<std::string>::iterator> blocks;
    std::deque<Event> published;
    std::int64_t sequence = 0;
};

} // namespace fescuesill::standin
