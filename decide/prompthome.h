#pragma once

// The home of a prompt: the prefill engine that every host prefers for it. If the prompt was prefilled before, most of
// it is in the cache of its home.
//
//     PromptHome home("a41f");
//     for (const EngineId &engine : engines) { home.offer(engine); }
//     home.is(engine);
//
// The home is the engine with the highest hash of both names (rendezvous hashing). Hosts agree on it without
// communication, and adding or removing an engine moves only the prompts that the engine gains or loses.

#include "fescuesill/ids.h"

#include <cstdint>
#include <string>
#include <xxhash.h>

namespace fescuesill
{

class PromptHome
{
public:
    // `name` must outlive this object; a prompt without a name has no home.
    explicit PromptHome(const std::string &name)
        : prompt(name)
    {
    }

    // `engine` must outlive this object.
    void offer(const EngineId &engine)
    {
        if (this->prompt.empty()) {
            return;
        }
        const std::uint64_t seed = XXH3_64bits(engine.value().data(), engine.value().size());
        const std::uint64_t hash = XXH3_64bits_withSeed(this->prompt.data(), this->prompt.size(), seed);
        if (this->home == nullptr || hash > this->highest) {
            this->highest = hash;
            this->home = &engine;
        }
    }
    bool is(const EngineId &engine) const
    {
        return this->home != nullptr && *this->home == engine;
    }

private:
    const std::string &prompt;
    const EngineId *home = nullptr;
    std::uint64_t highest = 0;
};

} // namespace fescuesill
