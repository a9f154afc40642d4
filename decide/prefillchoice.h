#pragma once

// Which prefill engine reads a prompt, on one host that sees its own share of the load.
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
    // Its state is dropped; it may come back as another start.
    void forget(const EngineId &engine)
    {
        this->loads.erase(engine);
    }
    // A read that came to its end. What the fastest of late took for each token: without waits; none before the first.
    void onRead(Tokens prompt, Duration took);
    std::optional<double> microsecondsPerToken() const
    {
        return this->perTokenUs;
    }
    // The same for a thousand tokens, to be told to the leader; 0 before the first.
    Duration thousandTokens() const
    {
        return Duration(static_cast<std::int64_t>(this->perTokenUs.value_or(0) * 1000));
    }
    // What another host measured. The leader paces the reads of all hosts, and may have no callers of its own.
    void onHeard(Duration thousand);

    // How many times the fastest the mean read takes: its wait behind others.
    double slowdown() const
    {
        return this->perTokenUs ? this->meanUs / *this->perTokenUs : 1;
    }

private:
    struct Load {
        Tokens reading; // for this host
        FaultRate faults;
    };

    std::mt19937_64 random;
    std::unordered_map<EngineId, Load> loads;
    std::optional<double> perTokenUs;
    double meanUs = 0;
};

} // namespace fescuesill
