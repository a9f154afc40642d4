// Two customers after the brief: one with long logs behind a standard preamble, one with more live work. Load 1 is the
// rate at which the scarcest resource would be used fully if every job cost its least, so no policy can serve more than
// load 1 of the same mix.

#include "workload.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

namespace fescuesill::bench
{

constexpr double ignoringShare = 0.2; // of callers come back at once whatever they are told
constexpr double burstFactor = 3;
constexpr Duration burstPeriod = 10500ms;
constexpr Duration burstLength = 1500ms;

using Random = std::mt19937_64;

// Uniform in 0..1, the same on every platform.
static double uniform(Random &random)
{
    return static_cast<double>(random() >> 11) / 9007199254740992.0;
}

static double exponential(Random &random, double mean)
{
    return -mean * std::log(1 - uniform(random));
}

static Tokens amount(Random &random, double least, double mean, double most)
{
    return Tokens(static_cast<std::int64_t>(std::min(most, least + exponential(random, mean))));
}

static RequestClass targets(const std::string &name, int rank, Duration firstToken, Duration patience, double weight)
{
    return RequestClass{name, rank, firstToken, 71ms, patience, weight};
}

static std::vector<Customer> bothCustomers()
{
    const double logs = 1.5; // a wasted read is dear to those with long logs
    const double clerks = 0.5; // and goodput to those who answer live
    const Customer karamanlis{"karamanlis",
                              0.45,
                              9,
                              2,
                              Tokens(1024),
                              {{targets("karamanlis-urgent", 0, 550ms, 550ms, logs), 0.1, 200, 300, 1500, 20, 25, 120},
                               {targets("karamanlis-live", 1, 550ms, 550ms, logs), 0.25, 300, 700, 3000, 30, 50, 300},
                               {targets("karamanlis-patient", 2, 5s, 4s, logs), 0.65, 1500, 3000, 12000, 50, 60, 400}}};
    const Customer laman{"laman",
                         0.55,
                         12,
                         3,
                         Tokens(512),
                         {{targets("laman-urgent", 0, 550ms, 550ms, clerks), 0.1, 200, 300, 1500, 20, 25, 120},
                          {targets("laman-live", 1, 550ms, 550ms, clerks), 0.6, 300, 700, 3000, 30, 50, 300},
                          {targets("laman-patient", 2, 5s, 4s, clerks), 0.3, 1200, 2400, 10000, 60, 90, 400}}};
    return {karamanlis, laman};
}

double leastPrefillSeconds(const EngineModel &model, const Job &job)
{
    const Duration least = model.prefillBase + model.prefillPerToken * (job.prompt - job.shared).value();
    return std::chrono::duration<double>(least).count();
}

double leastDecodeSeconds(const EngineModel &model, const Job &job)
{
    const auto share =
        static_cast<double>(piecesFor(job.prompt + Tokens(1)).value()) / static_cast<double>(model.memory.value());
    const double step = std::chrono::duration<double>(model.stepPerSequence).count()
        + std::chrono::duration<double>(model.stepBase).count() * share;
    return step * static_cast<double>(job.output.value());
}

double leastLinkSeconds(const EngineModel &model, const Job &job)
{
    return std::chrono::duration<double>(model.transferPerToken * job.prompt.value()).count();
}

// A jobs' worth of everything but its arrival.
static Job drawJob(Random &random, const std::vector<Customer> &customers, int cells)
{
    Job job;
    job.customer = uniform(random) < customers.front().share ? 0 : static_cast<int>(customers.size()) - 1;
    const Customer &customer = customers[static_cast<std::size_t>(job.customer)];
    double left = uniform(random);
    while (left >= customer.classes[static_cast<std::size_t>(job.trafficClass)].share
           && job.trafficClass + 1 < static_cast<int>(customer.classes.size())) {
        left -= customer.classes[static_cast<std::size_t>(job.trafficClass)].share;
        ++job.trafficClass;
    }
    const TrafficClass &kind = customer.classes[static_cast<std::size_t>(job.trafficClass)];
    job.targets = kind.targets;
    job.home = static_cast<int>(uniform(random) * cells);
    // Some workspaces send more than others.
    const double skewed = uniform(random) * uniform(random);
    job.workspace = WorkspaceId(customer.name + "-" + std::to_string(static_cast<int>(skewed * customer.workspaces)));
    const bool preamble = job.targets.rank > 0;
    job.shared = preamble ? customer.preamble : Tokens(0);
    job.prompt = job.shared + amount(random, kind.promptLeast, kind.promptMean, kind.promptMost);
    job.output = amount(random, kind.outputLeast, kind.outputMean, kind.outputMost);
    job.ignoresRetryAfter = uniform(random) < ignoringShare;
    const std::uint64_t family = random() % static_cast<std::uint64_t>(customer.preambles);
    const std::uint64_t own = random();
    for (std::int64_t token = blockTokens.value(); token <= job.prompt.value(); token += blockTokens.value()) {
        const auto block = static_cast<std::uint64_t>(token);
        const std::uint64_t common = (static_cast<std::uint64_t>(job.customer + 1) << 40U) + (family << 32U) + block;
        job.prefix.push_back(PrefixHash{token <= job.shared.value() ? common : own + block});
    }
    return job;
}

static double rateFactor(const Settings &settings, Instant when)
{
    if (settings.scenario != "bursts" && settings.scenario != "mixed") {
        return 1;
    }
    const double share = std::chrono::duration<double>(burstLength) / std::chrono::duration<double>(burstPeriod);
    const bool burst = when.time_since_epoch() % burstPeriod < burstLength;
    return burst ? burstFactor : (1 - burstFactor * share) / (1 - share);
}

struct Means {
    double prefill = 0;
    double decode = 0;
    double link = 0;
};

static Means meanCosts(const Workload &workload)
{
    constexpr int samples = 20000;
    Random random(20261202);
    Means means;
    for (int i = 0; i < samples; ++i) {
        const Job job = drawJob(random, workload.customers, 1);
        means.prefill += leastPrefillSeconds(workload.model, job) / samples;
        means.decode += leastDecodeSeconds(workload.model, job) / samples;
        means.link += leastLinkSeconds(workload.model, job) / samples;
    }
    return means;
}

static void splitEngines(Workload &workload, const Means &means)
{
    const int engines = std::max(2, workload.settings.engines / workload.settings.cells);
    const double share = means.prefill / (means.prefill + means.decode);
    const int fitting = static_cast<int>(std::lround(engines * share));
    const int wanted = workload.settings.prefillEngines > 0 ? workload.settings.prefillEngines : fitting;
    workload.prefillPerCell = std::clamp(wanted, 1, engines - 1);
    workload.decodePerCell = engines - workload.prefillPerCell;
}

static void drawJobs(Workload &workload, double rate)
{
    Random random(workload.settings.seed * 7919 + 17);
    Instant when;
    while (true) {
        // Thinning: draw at the highest rate and keep each by the rate of its moment.
        when += Duration(static_cast<Duration::rep>(exponential(random, 1e6 / (rate * burstFactor))));
        if (when >= workload.end) {
            return;
        }
        if (uniform(random) * burstFactor >= rateFactor(workload.settings, when)) {
            continue;
        }
        Job job = drawJob(random, workload.customers, workload.settings.cells);
        job.number = static_cast<int>(workload.jobs.size());
        job.arrival = when;
        const bool storm = workload.cancelStorm.has_value();
        if (storm && uniform(random) < 0.15) {
            job.cancelAfter = Duration(static_cast<Duration::rep>(exponential(random, 1.5e6)));
        }
        workload.jobs.push_back(std::move(job));
    }
}

static Fault fault(Fault::Kind kind, Pool pool, int index, Instant from, Instant until, double slowness = 1)
{
    return Fault{kind, 0, pool, index, from, until, slowness};
}

static std::map<std::string, double> scenarios()
{
    return {{"bursts", 0.8},       {"skew", 0.9},         {"slow-endpoint", 0.8}, {"mix", 1.0},
            {"saturation", 1.3},   {"engine-death", 0.8}, {"zone-loss", 0.6},     {"stale-reports", 1.0},
            {"cancel-storm", 1.0}, {"links-narrow", 0.9}, {"mixed", 0.9},         {"shift", 0.9},
            {"decode-stall", 0.8}};
}

std::vector<std::string> scenarioNames()
{
    std::vector<std::string> names;
    for (const auto &[name, load] : scenarios()) {
        names.push_back(name);
    }
    return names;
}

static void addFaults(Workload &workload)
{
    const std::string &name = workload.settings.scenario;
    // In 120ths of the run.
    const auto at = [&workload](int part) {
        return Instant(workload.end.time_since_epoch() * part / 120);
    };
    const auto kind = [&](Fault::Kind wanted) {
        return workload.settings.without ? Fault::Kind::Leaving : wanted;
    };
    if (name == "slow-endpoint") {
        workload.faults.push_back(fault(kind(Fault::Kind::Slow), Pool::Decode, 0, at(30), at(90), 4));
        workload.faults.push_back(fault(kind(Fault::Kind::Slow), Pool::Prefill, 1, at(50), at(90), 4));
    }
    if (name == "engine-death" || name == "mixed") {
        workload.faults.push_back(fault(kind(Fault::Kind::Dead), Pool::Decode, 0, at(30), at(60)));
        workload.faults.push_back(fault(kind(Fault::Kind::Dead), Pool::Prefill, 0, at(70), at(90)));
    }
    if (name == "mixed") {
        workload.faults.push_back(fault(kind(Fault::Kind::Slow), Pool::Decode, 1, at(70), at(100), 4));
    }
    if (name == "decode-stall") {
        workload.faults.push_back(fault(kind(Fault::Kind::Stalled), Pool::Decode, 0, at(30), at(30) + 30s));
    }
    if (name == "zone-loss") {
        workload.faults.push_back(fault(Fault::Kind::Dead, Pool::Decode, -1, at(40), at(80)));
        workload.faults.push_back(fault(Fault::Kind::Dead, Pool::Prefill, -1, at(40), at(80)));
    }
    if (name == "cancel-storm" || name == "mixed") {
        workload.cancelStorm = at(45);
    }
}

static void shape(Workload &workload)
{
    const std::string &name = workload.settings.scenario;
    if (name == "skew") {
        workload.customers.erase(workload.customers.begin() + 1);
        workload.customers.front().preambles = 1;
        workload.customers.front().preamble = Tokens(2048);
    }
    if (name == "mix") {
        for (Customer &customer : workload.customers) {
            customer.classes.back().promptMean *= 1.5;
            customer.classes.back().share += 0.05;
            customer.classes.front().share -= 0.05;
        }
    }
    if (name == "stale-reports") {
        workload.model.reportLag = 3s;
        workload.model.reportInterval = 1s;
        workload.model.cacheLag = 5s;
        workload.model.cacheLoss = 0.4;
    }
    if (name == "links-narrow" || name == "mixed") {
        workload.model.transferPerToken = 65us;
        workload.model.transferJitter = 20ms;
    }
    if (workload.settings.wasteWeight >= 0) {
        for (Customer &customer : workload.customers) {
            for (TrafficClass &kind : customer.classes) {
                kind.targets.wasteWeight = workload.settings.wasteWeight;
            }
        }
    }
}

tl::expected<Workload, std::string> makeWorkload(const Settings &settings)
{
    const auto known = scenarios();
    const auto scenario = known.find(settings.scenario);
    if (scenario == known.end()) {
        return tl::unexpected("unknown scenario '" + settings.scenario + "'");
    }
    if (settings.cells < 1 || settings.engines < 2 * settings.cells || settings.load < 0) {
        return tl::unexpected<std::string>("needs 1 cell or more, 2 engines or more in each, and a load above 0");
    }
    Workload workload;
    workload.settings = settings;
    if (settings.scenario == "zone-loss" && settings.cells == 1) {
        workload.settings.cells = 3;
        workload.settings.engines = std::max(settings.engines, 21);
    }
    workload.settings.load = settings.load > 0 ? settings.load : scenario->second;
    workload.end = Instant(settings.length);
    workload.customers = bothCustomers();
    shape(workload);
    addFaults(workload);
    const Means means = meanCosts(workload);
    splitEngines(workload, means);
    if (settings.scenario == "shift" && settings.prefillEngines == 0) {
        // The split of a time with longer answers: too few prefill engines for this mix.
        const int moved = std::max(1, workload.prefillPerCell / 3);
        workload.decodePerCell += workload.prefillPerCell > moved ? moved : 0;
        workload.prefillPerCell -= workload.prefillPerCell > moved ? moved : 0;
        workload.settings.shiftRoles = true;
    }
    const double prefillRate = workload.prefillPerCell / means.prefill;
    const double decodeRate = workload.decodePerCell / means.decode;
    const double linkRate = workload.prefillPerCell / means.link;
    double fullRate = std::min({prefillRate, decodeRate, linkRate});
    if (settings.scenario == "shift") {
        fullRate = (workload.prefillPerCell + workload.decodePerCell) / (means.prefill + means.decode);
    }
    drawJobs(workload, fullRate * workload.settings.cells * workload.settings.load);
    return workload;
}

} // namespace fescuesill::bench
