#pragma once

// Which prefill engine reads a prompt where the leader named none or the one that it named failed, on one host that
// sees its own share of the load.
//
//     PrefillChoice choice(seed);
//     const PromptKey prompt{"a41f", Tokens(5200)};
//     const auto engine = choice.pick({{EngineId("p1"), true}, {EngineId("p2"), false}}, prompt, now);
//     choice.onSent(*engine, Tokens(5200));
//     choice.onEnded(*engine, Tokens(5200), isFault, now);
//
// Load: a host dies with a hundred answers half written, and their callers come to other hosts to have them gone on
// with. Harm prevented: all of their prompts are read anew, by engines that the next callers wait for. Each prompt has
// one engine that it goes to first on every host, so there its text is mostly in memory still.

#include "decide/faultrate.h"
#include "fescuesill/ids.h"

#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace fescuesill
{

// What is read: the name that callers give the prompt's own part, and the size of the whole.
struct PromptKey {
    std::string name;
    Tokens size;
};

struct PrefillCandidate {
    EngineId engine;
    bool isNearDecode = false; // in the data centre of the engine that will write the answer
};

class PrefillChoice
{
public:
    explicit PrefillChoice(std::uint64_t seed)
        : random(seed)
    {
    }

    std::optional<EngineId> pick(const std::vector<PrefillCandidate> &candidates, const PromptKey &prompt, Instant now);
    // It has not failed lately.
    bool isSound(const EngineId &engine, Instant now) const;
    void onSent(const EngineId &engine, Tokens prompt);
    void onEnded(const EngineId &engine, Tokens prompt, bool isFault, Instant now);
    // A result that it had made could not be had from it.
    void onResultLost(const EngineId &engine, Instant now);
    // Its state is dropped; it may come back as another start.
    void forget(const EngineId &engine)
    {
        this->loads.erase(engine);
    }

private:
    struct Load {
        Tokens reading; // for this host
        FaultRate faults;
    };

    std::mt19937_64 random;
    std::unordered_map<EngineId, Load> loads;
};

} // namespace fescuesill
