#pragma once

// Degraded placing, which an entry uses while no owner of a cell can be reached.
//
//     PowerOfChoice placer(seed);
//     placer.setEngines(engines);
//     placer.onLoadReport(engine, report);
//     if (const auto pair = placer.place(prompt)) { ... pair->prefill, pair->decode ... }

#include "decide/cellmessages.h"

#include <random>
#include <unordered_map>

namespace fescuesill
{

class PowerOfChoice
{
public:
    struct Choice {
        EngineId prefill;
        EngineId decode;
    };

    explicit PowerOfChoice(std::uint64_t seed)
        : random(seed)
    {
    }

    void setEngines(const std::vector<EngineSpec> &specs);
    void onLoadReport(const EngineId &engine, const LoadReport &report);
    // Empty when no pair of engines has room for the prompt, as far as is known here.
    std::optional<Choice> place(Tokens prompt);

private:
    struct Engine {
        EngineSpec spec;
        std::int64_t reported = 0; // pieces or tokens, at the last report
        std::int64_t recent = 0; // placed from here since that report
        std::int64_t previous = 0; // placed between the last two reports: reports lag by up to one interval
    };

    static std::int64_t loadOf(const Engine &engine);
    std::optional<std::size_t> lessLoaded(const std::vector<std::size_t> &pool);

    std::mt19937_64 random;
    std::vector<Engine> engines;
    std::unordered_map<EngineId, std::size_t> byName;
    std::vector<std::size_t> prefills;
    std::vector<std::size_t> decodes;
};

} // namespace fescuesill
