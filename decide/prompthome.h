#pragma once

// The prefill engine that every host sends a prompt to by preference: most of the prompt is in its cache if it was read
// before.
//
//     PromptHome home("a41f");
//     for (const EngineId &engine : engines) { home.offer(engine); }
//     home.is(engine);
//
// It is the engine with the highest hash of both names (rendezvous hashing): hosts agree on it without a message, and
// an engine that comes or goes moves only the prompts that it gets or had.

#include "fescuesill/ids.h"

#include <cstdint>
#include <string>
#include <xxhash.h>

namespace fescuesill
{

class PromptHome
{
public:
    // `name` outlives this; a prompt without a name has no home.
    explicit PromptHome(const std::string &name)
        : prompt(name)
    {
    }

    // `engine` outlives this.
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
