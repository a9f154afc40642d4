#pragma once

// The faults of one stand-in engine, switched while it runs.
//
//     POST /faults {"refuse":true}          every call gets 503 (with "rate": that share of them, by the seed)
//     POST /faults {"slow":3.0}             all work takes three times as long
//     POST /faults {"freeze":true}          calls are accepted and never answered; no token is written
//     POST /faults {"cut_after":5}          each stream's connection is cut after five fragments ("cut_next":N: the
//     next N) POST /faults {"silent":true}          connections open now fall silent for good; new ones work POST
//     /faults {"lose_next":2}          application mode: the next two POSTs run and are cut without a reply POST
//     /faults {"kv_gone_next":1}       the next export finds its result gone POST /faults {"die":true}             the
//     process exits at once POST /faults {}                       no fault any more
//
// Each POST replaces the whole script. Calls for tests (/faults, /history, /healthz) work under every fault.

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <random>

namespace fescuesill::standin
{

class FaultScript
{
public:
    explicit FaultScript(std::uint32_t seed);

    // `connections`: how many connections were opened up to now. Throws nlohmann::json::exception.
    void replace(const nlohmann::json &script, std::uint64_t connections);

    bool isFrozen() const;
    bool isSilent(std::uint64_t connection) const;
    double slowFactor() const;
    // Each of these counts one chance.
    bool refuses();
    bool losesReply();
    bool losesKv();
    // Fragments after which a stream that begins now is cut; -1: never.
    std::int64_t cutOfNewStream();

private:
    std::mt19937 random;
    bool refuse = false;
    bool freeze = false;
    double rate = 1;
    double slow = 1;
    std::int64_t cutAfter = -1;
    std::int64_t cutNext = 0;
    std::int64_t loseNext = 0;
    std::int64_t kvGoneNext = 0;
    std::uint64_t silentUpTo = 0; // survives a new script: a connection that fell silent never comes back
};

} // namespace fescuesill::standin
