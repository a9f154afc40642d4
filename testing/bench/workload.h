#pragma once

// The load of one scenario: what callers ask, when, and what breaks meanwhile. The same for every policy.
//
//     const Workload workload = makeWorkload({"saturation", 1.3, 1, 13, 1});
//     for (const Job &job : workload.jobs) { ... }

#include "decide/cellmessages.h"

#include <tl/expected.hpp>

namespace fescuesill::bench
{

// How the fake engines and links behave, after the brief's numbers.
struct EngineModel {
    Duration prefillBase{5ms};
    Duration prefillPerToken{75us}; // 2,000 tokens take 150 ms, the engine time of some 70 output tokens
    Duration stepBase{25ms};
    Duration stepPerSequence{1250us}; // 50 ms a token with twenty requests
    Pieces memory{28}; // about twenty requests of the mix
    Duration transferPerToken{40us}; // on the link of one prefill engine
    Duration transferJitter{4ms};
    Duration keep{800ms};
    std::size_t cacheBlocks = 600; // of 256 tokens
    std::size_t prefillQueue = 32; // further reads are refused
    Duration hop{1ms}; // between entry, scheduler and engines, one way
    Duration awayHop{4ms}; // to another data centre
    double awayLoss = 0.01; // of its packets, each costing a retransmission
    Duration reportInterval{250ms};
    Duration reportLag{500ms};
    Duration cacheLag{700ms};
    double cacheLoss = 0.1;
    Duration hostListLag{3s};
    Duration entryPatience{4s}; // with an engine that writes nothing: four silences of a second, as streampump has it
};

constexpr Tokens blockTokens{256};

struct TrafficClass {
    RequestClass targets;
    double share = 0;
    double promptLeast = 0;
    double promptMean = 0; // of the part above the least, exponential
    double promptMost = 0;
    double outputLeast = 0;
    double outputMean = 0;
    double outputMost = 0;
};

struct Customer {
    std::string name;
    double share = 0;
    int workspaces = 0;
    int preambles = 0;
    Tokens preamble;
    std::vector<TrafficClass> classes;
};

struct Job {
    int number = 0;
    int customer = 0;
    int trafficClass = 0;
    int home = 0; // the data centre of its caller
    WorkspaceId workspace;
    RequestClass targets;
    Tokens prompt;
    Tokens shared; // leading tokens that other prompts have too
    Tokens output;
    std::vector<PrefixHash> prefix;
    Instant arrival;
    bool ignoresRetryAfter = false;
    std::optional<Duration> cancelAfter;
};

struct Fault {
    enum class Kind {
        Dead,
        Slow,
        Stalled, // a decode engine writes nothing and keeps its connections open
        Leaving, // planned: the comparison for the two others
    };
    Kind kind = Kind::Dead;
    int cell = 0;
    Pool pool = Pool::Decode;
    int index = 0; // -1: every engine of the cell
    Instant from;
    Instant until;
    double slowness = 1;
};

struct Settings {
    std::string scenario = "saturation";
    double load = 0; // 0: the scenario's own
    std::uint64_t seed = 1;
    int engines = 13; // over all cells
    int cells = 1;
    bool without = false; // the faulty engines leave in a planned way instead
    bool shiftRoles = false;
    double caution = -1; // below 0: the default
    double wasteWeight = -1; // for all classes; below 0: as declared
    double shortFirst = -1;
    int prefillEngines = 0; // in each cell; 0: as many as the mix needs
    Duration length{300s};
};

struct Workload {
    Settings settings;
    EngineModel model;
    std::vector<Customer> customers;
    std::vector<Job> jobs;
    std::vector<Fault> faults;
    std::optional<Instant> cancelStorm; // two of five of all callers leave at once
    Instant end; // what is not complete by then does not count
    int prefillPerCell = 0;
    int decodePerCell = 0;
};

std::vector<std::string> scenarioNames();
tl::expected<Workload, std::string> makeWorkload(const Settings &settings);

// The least engine time that a job can cost, see docs/design/decisions.md.
double leastPrefillSeconds(const EngineModel &model, const Job &job);
double leastDecodeSeconds(const EngineModel &model, const Job &job);
double leastLinkSeconds(const EngineModel &model, const Job &job);

} // namespace fescuesill::bench
