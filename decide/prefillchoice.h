#pragma once

// Chooses the prefill engine for a prompt if the leader named none or the one that it named failed. It runs on one host
// and sees only the load of this host.
//
//     PrefillChoice choice(seed);
//     const PromptKey prompt{"a41f", Tokens(5200)};
//     const auto engine = choice.pick({{EngineId("p1"), true}, {EngineId("p2"), false}}, prompt, now);
//     choice.onSent(*engine, Tokens(5200));
//     choice.onEnded(*engine, Tokens(5200), isFault, now);
//
// Guards against recomputing all prompts when a host dies with a hundred answers in progress and their callers resume
// at other hosts: the engines would be busy with these prompts while new callers wait. Each prompt has one preferred
// engine that is the same on every host, so most of it is usually still in the cache of that engine.

#include "decide/faultrate.h"
#include "fescuesill/ids.h"

#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace fescuesill
{

// The prompt to prefill: the name that callers give to the prompt's own part, and the size of the whole prompt.
struct PromptKey {
    std::string name;
    Tokens size;
};

struct PrefillCandidate {
    EngineId engine;
    bool isNearDecode = false; // in the data centre of the engine that decodes the answer
};

class PrefillChoice
{
public:
    explicit PrefillChoice(std::uint64_t seed)
        : random(seed)
    {
    }

    std::optional<EngineId> pick(const std::vector<PrefillCandidate> &candidates, const PromptKey &prompt, Instant now);
    // Whether the engine has not failed recently.
    bool isHealthy(const EngineId &engine, Instant now) const;
    void onSent(const EngineId &engine, Tokens prompt);
    void onEnded(const EngineId &engine, Tokens prompt, bool isFault, Instant now);
    // A prefill result of this engine could not be fetched.
    void onResultLost(const EngineId &engine, Instant now);
    // Drops the state of an engine; it may return as a new instance.
    void forget(const EngineId &engine)
    {
        this->loads.erase(engine);
    }

private:
    struct Load {
        Tokens pending; // prompt tokens in progress for this host
        FaultRate faults;
    };

    std::mt19937_64 random;
    std::unordered_map<EngineId, Load> loads;
};

} // namespace fescuesill
