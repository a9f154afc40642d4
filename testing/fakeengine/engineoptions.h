#pragma once

// What one stand-in engine is like. Times are those of a real engine; `speed` divides them all.
//
//     EngineOptions options;
//     options.speed = 10;
//     options.scaled(options.decodeStep);       // 2.5 ms

#include <chrono>
#include <cstdint>
#include <string>

namespace fescuesill::standin
{

using Microseconds = std::chrono::microseconds;
using SteadyTime = std::chrono::steady_clock::time_point;
using namespace std::chrono_literals;

struct EngineOptions {
    std::string role = "decode"; // or "prefill"; an order may change it
    std::string model = "model";
    std::int64_t pieces = 20; // of 4,096 tokens: about twenty requests
    double speed = 1;

    Microseconds decodeStep = 25ms; // one token of each running stream, with one running
    double stepSlope = 0.05; // more for each further one: twenty take about 50 ms a token
    Microseconds promptToken = 75us; // a prompt of 8,000 tokens costs 600 ms: 24 output tokens of one stream
    std::size_t promptQueue = 64; // waiting prompts; a longer queue only holds what will be late
    Microseconds keep = 800ms; // of a prefill result
    Microseconds linkToken = 40us; // export of KV: one transfer after another
    std::size_t cacheBlocks = 1024; // prefix blocks kept
    std::int64_t cacheBlockTokens = 256;
    Microseconds cacheEventLag = 300ms;
    double cacheEventGap = 0.02; // share of cache events that are never published
    Microseconds loadLag = 500ms; // age of a load report at most
    Microseconds resumeGrace = 30s; // for which a finished stream's text is kept

    std::int64_t diesAtTokens = 0; // ends as it begins an answer of at most that many tokens; 0: never
    bool checksFencing = true;
    Microseconds applicationTime = 20ms; // one call in application mode
    std::uint32_t seed = 1;

    Microseconds scaled(Microseconds time) const
    {
        return std::chrono::duration_cast<Microseconds>(time / this->speed);
    }
};

} // namespace fescuesill::standin
