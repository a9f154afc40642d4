#include "cellsreport.h"
#include "decisionbench.h"
#include "simulation.h"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace fescuesill;
using namespace fescuesill::bench;
using nlohmann::json;

static json timesOf(const std::vector<double> &values)
{
    return {{"p50", percentile(values, 0.5)}, {"p95", percentile(values, 0.95)}, {"p99", percentile(values, 0.99)}};
}

static json groupOf(const Group &group)
{
    const double share = group.offered > 0 ? static_cast<double>(group.good) / group.offered : 0;
    json phases;
    const std::array<const char *, 4> names{"queue", "read", "place", "move"};
    for (std::size_t i = 0; i < names.size(); ++i) {
        std::vector<double> times;
        for (const auto &late : group.latePhases) {
            times.push_back(late[i]);
        }
        phases[names[i]] = percentile(times, 0.5);
    }
    return {{"late_median_ms", phases},
            {"offered", group.offered},
            {"goodput", group.good},
            {"goodput_share", share},
            {"late", group.late},
            {"refused", group.refused},
            {"unfinished", group.unfinished},
            {"refusals", group.refusals},
            {"first_token_ms", timesOf(group.firstToken)},
            {"per_token_ms", timesOf(group.perToken)}};
}

static json resultOf(const Workload &workload, const std::string &policy, const Result &result)
{
    const auto read = static_cast<double>(std::max<std::int64_t>(1, result.waste.read.value()));
    const auto share = [read](Tokens tokens) {
        return static_cast<double>(tokens.value()) / read;
    };
    json out{{"scenario", workload.settings.scenario},
             {"policy", policy},
             {"seed", workload.settings.seed},
             {"load", workload.settings.load},
             {"engines", workload.settings.engines},
             {"cells", workload.settings.cells},
             {"prefill_engines_per_cell", workload.prefillPerCell},
             {"decode_engines_per_cell", workload.decodePerCell},
             {"all", groupOf(result.all)},
             {"goodput", result.good},
             {"bound", result.bound},
             {"bound_unknown_lengths", result.boundUnknownLengths},
             {"goodput_of_bound_unknown_lengths", result.good / result.boundUnknownLengths},
             {"goodput_of_bound", result.good / result.bound},
             {"prompt_tokens_read", result.waste.read.value()},
             {"prompt_tokens_reused", result.waste.reused.value()},
             {"wasted_prefill_share",
              {{"all", result.wastedShare()},
               {"expired", share(result.waste.expired)},
               {"redone", share(result.waste.redone)},
               {"cancelled", share(result.waste.cancelled)},
               {"no_place", share(result.waste.noPlace)}}},
             {"least_prefill_of_good", result.goodPrefill},
             {"least_decode_of_good", result.goodDecode},
             {"decode_memory_use", result.memoryUse},
             {"busiest_prefill_to_mean", result.prefillSkew},
             {"decisions", result.calls},
             {"decisions_per_second", result.decisionsPerSecond}};
    for (const auto &[name, group] : result.groups) {
        out["classes"][name] = groupOf(group);
    }
    for (const auto &[name, group] : result.customers) {
        out["customers"][name] = groupOf(group);
    }
    return out;
}

static void printLine(const Workload &workload, const std::string &policy, const Result &result)
{
    const auto share = [](const Group &group) {
        return group.offered > 0 ? 100.0 * group.good / group.offered : 0.0;
    };
    double urgent = 100;
    double patient = 100;
    for (const auto &[name, group] : result.groups) {
        urgent = name.find("urgent") != std::string::npos ? std::min(urgent, share(group)) : urgent;
        patient = name.find("patient") != std::string::npos ? std::min(patient, share(group)) : patient;
    }
    fmt::print("{:<14} {:<14} load {:<4} seed {:<3} good {:5.1f}% of offered {:5.1f}% of bound ({:5.1f}%), least "
               "urgent {:6.2f}% "
               "patient {:5.1f}%, late {:4}, wasted {:5.2f}%, memory {:4.1f}%, skew {:4.2f}\n",
               workload.settings.scenario, policy, workload.settings.load, workload.settings.seed, share(result.all),
               100 * result.good / result.bound, 100 * result.good / result.boundUnknownLengths, urgent, patient,
               result.all.late, 100 * result.wastedShare(), 100 * result.memoryUse, result.prefillSkew);
}

static void printMisses(const Result &result, const std::string &kind)
{
    const auto milliseconds = [](auto time) {
        return static_cast<double>(time.count()) / 1000;
    };
    for (const Miss &miss : result.misses) {
        const Job &job = *miss.job;
        if (job.targets.name.find(kind) == std::string::npos) {
            continue;
        }
        fmt::print("{} {} at {:.1f} ms, prompt {}, output {}, attempts {}{}", job.targets.name, job.number,
                   milliseconds(job.arrival.time_since_epoch()), job.prompt.value(), job.output.value(), miss.attempts,
                   job.ignoresRetryAfter ? " at once" : "");
        if (!miss.answer) {
            fmt::print(miss.gaveUp ? ", gave up\n" : ", unfinished\n");
            continue;
        }
        fmt::print(", asked at {:.1f}, {} placings, engines {} {}, queue {:.1f}, read {:.1f}, place {:.1f}, move "
                   "{:.1f}, first token "
                   "{:.1f}, a token {:.1f}\n",
                   milliseconds(miss.answer->arrival.time_since_epoch()), miss.answer->placings, miss.answer->prefill,
                   miss.answer->decode, miss.phases[0], miss.phases[1], miss.phases[2], miss.phases[3],
                   milliseconds(miss.answer->firstToken), milliseconds(miss.answer->perToken));
    }
}

static void printDecisions(std::uint64_t seed, bool asJson)
{
    const auto costs = measureDecisions({13, 50, 150, 300, 600}, 20000, seed);
    json out{{"scenario", "decisions"}, {"microseconds_per_engine", slopeOf(costs)}, {"sizes", json::array()}};
    for (const DecisionCost &cost : costs) {
        out["sizes"].push_back({{"engines", cost.engines},
                                {"microseconds_per_decision", cost.perDecision},
                                {"microseconds_per_request", cost.microseconds},
                                {"steps_per_placing", cost.steps}});
        if (!asJson) {
            fmt::print("{:4} engines: {:6.2f} us a decision, {:6.2f} us a request in all, {:6.1f} steps a placing\n",
                       cost.engines, cost.perDecision, cost.microseconds, cost.steps);
        }
    }
    if (asJson) {
        std::cout << out.dump(2) << '\n';
    } else {
        fmt::print("slope: {:.4f} us a decision for each engine\n", slopeOf(costs));
    }
}

static std::string joined(const std::vector<std::string> &names)
{
    return fmt::format("{}", fmt::join(names, ", "));
}

static bool runCells(const cxxopts::ParseResult &given)
{
    CellsSettings settings;
    settings.scenario = given["scenario"].as<std::string>();
    const std::string name = given["policy"].as<std::string>();
    const auto policy = cellPolicyNamed(name);
    if (!policy) {
        fmt::print(stderr, "--policy: '{}'; allowed: {}\n", name, joined(cellPolicyNames()));
        return false;
    }
    settings.policy = *policy;
    settings.load = given["load"].as<double>();
    settings.seed = given["seed"].as<std::uint64_t>();
    settings.entries = given["entries"].as<int>();
    settings.lateness = given["lateness"].as<double>();
    settings.cells = given.count("cells") != 0 ? given["cells"].as<int>() : settings.cells;
    settings.engines = given.count("engines") != 0 ? given["engines"].as<int>() : settings.engines;
    settings.length = given.count("seconds") != 0 ? std::chrono::seconds(given["seconds"].as<int>()) : settings.length;
    return printCells(settings, name, given.count("json") != 0);
}

int main(int argc, char **argv)
{
    cxxopts::Options options("fescuesill-bench", "Decisions under load, in virtual time, against baselines");
    auto add = options.add_options();
    add("scenario",
        joined(scenarioNames()) + ", or decisions; between cells: " + joined(cellScenarioNames()) + "; cell-choices",
        cxxopts::value<std::string>()->default_value("saturation"));
    add("policy", joined(policyNames()) + "; between cells: " + joined(cellPolicyNames()),
        cxxopts::value<std::string>()->default_value("ours"));
    add("seed", "seed of the load", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("load", "share of the capacity that is asked for; 0: the scenario's own",
        cxxopts::value<double>()->default_value("0"));
    add("engines", "over all cells", cxxopts::value<int>()->default_value("13"));
    add("cells", "data centres", cxxopts::value<int>()->default_value("1"));
    add("prefill", "prefill engines in each cell; 0: as the mix needs", cxxopts::value<int>()->default_value("0"));
    add("seconds", "of virtual time", cxxopts::value<int>()->default_value("300"));
    add("without", "faulty engines leave in a planned way instead");
    add("caution", "forecast spreads held back; below 0: default", cxxopts::value<double>()->default_value("-1"));
    add("waste-weight", "for all classes; below 0: as declared", cxxopts::value<double>()->default_value("-1"));
    add("short-first", "see ClassQueue::Options; below 0: default", cxxopts::value<double>()->default_value("-1"));
    add("misses", "list the requests of classes with this in their name that missed a target",
        cxxopts::value<std::string>());
    add("entries", "that choose between cells", cxxopts::value<int>()->default_value("340"));
    add("lateness", "of summaries, times the measured", cxxopts::value<double>()->default_value("1"));
    add("json", "print JSON");
    add("help", "print this");
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        if (given["scenario"].as<std::string>() == "cell-choices") {
            printChoiceCost(given.count("cells") != 0 ? given["cells"].as<int>() : 48);
            return 0;
        }
        if (isCellScenario(given["scenario"].as<std::string>())) {
            return runCells(given) ? 0 : 2;
        }
        Settings settings;
        settings.scenario = given["scenario"].as<std::string>();
        settings.load = given["load"].as<double>();
        settings.seed = given["seed"].as<std::uint64_t>();
        settings.engines = given["engines"].as<int>();
        settings.cells = given["cells"].as<int>();
        settings.prefillEngines = given["prefill"].as<int>();
        settings.length = std::chrono::seconds(given["seconds"].as<int>());
        settings.without = given.count("without") != 0;
        settings.caution = given["caution"].as<double>();
        settings.wasteWeight = given["waste-weight"].as<double>();
        settings.shortFirst = given["short-first"].as<double>();
        if (settings.scenario == "decisions") {
            printDecisions(settings.seed, given.count("json") != 0);
            return 0;
        }
        const std::string name = given["policy"].as<std::string>();
        const auto kind = policyNamed(name);
        if (!kind) {
            fmt::print(stderr, "--policy: '{}'; allowed: {}\n", name, joined(policyNames()));
            return 2;
        }
        const auto workload = makeWorkload(settings);
        if (!workload) {
            fmt::print(stderr, "{}; allowed: {}\n", workload.error(), joined(scenarioNames()));
            return 2;
        }
        const Result result = simulate(*workload, *kind);
        if (given.count("json") != 0) {
            std::cout << resultOf(*workload, name, result).dump(2) << '\n';
        } else {
            printLine(*workload, name, result);
        }
        if (given.count("misses") != 0) {
            printMisses(result, given["misses"].as<std::string>());
        }
        return 0;
    } catch (const std::exception &error) {
        fmt::print(stderr, "{}\n", error.what());
        return 2;
    }
}
