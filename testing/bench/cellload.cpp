// The scenarios of the choice of cell. Load 1 is what the cells could serve together if requests went to any of them
// for nothing, so that every loss against the bound is one of choosing, of the way, or of a cell's own decisions.

#include "cellworld.h"
#include "lateness.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace fescuesill::bench
{

constexpr int regionSize = 2;

struct CellScenario {
    const char *name;
    double load;
    std::vector<double> sizes; // of the cells, repeated as needed
    std::vector<double> callers; // by data centre, repeated as needed
};

static const std::vector<CellScenario> &cellScenarios()
{
    static const std::vector<double> even{1};
    static const std::vector<double> uneven{20, 16, 13, 13, 10, 6};
    static const std::vector<CellScenario> all{{"cells-even", 0.9, even, even},
                                               {"cells-uneven", 0.9, uneven, even},
                                               // Half of the callers in one data centre after another.
                                               {"cells-herd", 0.8, even, {5, 1, 1, 1, 1, 1}},
                                               {"cells-lossy", 0.9, uneven, even},
                                               {"cells-stuck", 0.85, uneven, even},
                                               {"cells-slow", 0.75, even, even},
                                               {"region-cut", 0.8, uneven, uneven},
                                               {"cells-full", 1.3, uneven, even}};
    return all;
}

std::vector<std::string> cellScenarioNames()
{
    std::vector<std::string> names;
    for (const CellScenario &scenario : cellScenarios()) {
        names.emplace_back(scenario.name);
    }
    return names;
}

std::optional<CellPolicy> cellPolicyNamed(const std::string &name)
{
    static const std::map<std::string, CellPolicy> all{{"home", CellPolicy::Home},
                                                       {"two-choices", CellPolicy::TwoChoices},
                                                       {"least-delay", CellPolicy::LeastDelay},
                                                       {"ours", CellPolicy::Ours}};
    const auto found = all.find(name);
    return found == all.end() ? std::nullopt : std::make_optional(found->second);
}

std::vector<std::string> cellPolicyNames()
{
    return {"home", "two-choices", "least-delay", "ours"};
}

Duration WanModel::least(int from, int to) const
{
    return from / regionSize == to / regionSize ? this->inRegion : this->acrossRegions;
}

Duration WanModel::draw(int from, int to, int ways, std::mt19937_64 &random) const
{
    Duration sum{0};
    for (int i = 0; from != to && i < ways; ++i) {
        sum += std::chrono::duration_cast<Duration>(this->least(from, to) * (1 + this->jitter * uniform(random())));
        sum += uniform(random()) < this->loss ? this->retransmission : Duration(0);
    }
    return sum;
}

bool CellsLoad::reaches(int from, int to, Instant now) const
{
    const bool isCut = from / regionSize == this->cutRegion || to / regionSize == this->cutRegion;
    return !isCut || from / regionSize == to / regionSize || !this->isFaulty(now);
}

static double weightOf(const std::vector<double> &weights, int number)
{
    return weights[static_cast<std::size_t>(number) % weights.size()];
}

static Workload cellOf(const CellsSettings &settings, int engines, int number)
{
    Settings one;
    one.scenario = "saturation";
    one.engines = std::max(2, engines);
    one.seed = settings.seed + 1000 * static_cast<std::uint64_t>(number);
    one.length = 1s;
    Workload made = makeWorkload(one).value();
    made.jobs.clear();
    made.end = Instant(settings.length);
    return made;
}

// Callers of the scenario's data centres; in cells-herd the busiest is another one every half minute.
static void settle(CellsLoad &load, const CellScenario &scenario)
{
    constexpr Duration turn = 30s;
    const int cells = load.settings.cells;
    std::mt19937_64 random(load.settings.seed * 31 + 5);
    double sum = 0;
    for (int i = 0; i < cells; ++i) {
        sum += weightOf(scenario.callers, i);
    }
    const auto draw = [&] {
        double left = sum * static_cast<double>(random() >> 11U) / 9007199254740992.0;
        int home = 0;
        while (home + 1 < cells && left >= weightOf(scenario.callers, home)) {
            left -= weightOf(scenario.callers, home++);
        }
        return home;
    };
    for (Job &job : load.jobs.jobs) {
        const bool turns = load.settings.scenario == "cells-herd";
        const auto shift = turns ? static_cast<int>(job.arrival.time_since_epoch() / turn) : 0;
        job.home = (draw() + shift) % cells;
    }
}

static void addFaults(CellsLoad &load)
{
    const std::string &name = load.settings.scenario;
    load.faultFrom = Instant(load.settings.length / 4);
    load.faultUntil = Instant(load.settings.length * 3 / 4);
    if (name == "cells-stuck") {
        load.stuckCell = std::min(4, load.settings.cells - 1);
    }
    if (name == "region-cut") {
        load.cutRegion = (load.settings.cells - 1) / regionSize;
    }
    if (name == "cells-lossy") {
        load.wan = WanModel{8ms, 20ms, 1.0, 0.05, 200ms, 1, 3};
    }
    if (name == "cells-slow") {
        for (const Pool pool : {Pool::Prefill, Pool::Decode}) {
            const Fault fault{Fault::Kind::Slow, 0, pool, -1, load.faultFrom, load.faultUntil, 3};
            load.cells.front().faults.push_back(fault);
            Workload &all = load.jobs;
            const int engines =
                pool == Pool::Prefill ? load.cells.front().prefillPerCell : load.cells.front().decodePerCell;
            for (int i = 0; i < engines; ++i) { // the bound takes away each of them, not the whole pool
                all.faults.push_back(fault);
                all.faults.back().index = i;
            }
        }
    }
}

tl::expected<CellsLoad, std::string> makeCellsLoad(const CellsSettings &settings)
{
    const auto &all = cellScenarios();
    const auto scenario =
        std::find_if(all.begin(), all.end(), [&](const CellScenario &one) { return one.name == settings.scenario; });
    if (scenario == all.end()) {
        return tl::unexpected("unknown scenario '" + settings.scenario + "'");
    }
    if (settings.cells < 2 || settings.entries < settings.cells || settings.engines < 4 * settings.cells) {
        return tl::unexpected<std::string>("needs 2 cells or more, an entry and 4 engines in each");
    }
    CellsLoad load;
    load.settings = settings;
    load.settings.load = settings.load > 0 ? settings.load : scenario->load;
    double sum = 0;
    for (int i = 0; i < settings.cells; ++i) {
        sum += weightOf(scenario->sizes, i);
    }
    int prefill = 0;
    int decode = 0;
    for (int i = 0; i < settings.cells; ++i) {
        const double engines = settings.engines * weightOf(scenario->sizes, i) / sum;
        load.cells.push_back(cellOf(settings, static_cast<int>(std::lround(engines)), i));
        prefill += load.cells.back().prefillPerCell;
        decode += load.cells.back().decodePerCell;
    }
    Settings pooled;
    pooled.scenario = "saturation";
    pooled.load = load.settings.load;
    pooled.seed = settings.seed;
    pooled.engines = prefill + decode;
    pooled.prefillEngines = prefill;
    pooled.length = settings.length;
    load.jobs = makeWorkload(pooled).value();
    settle(load, *scenario);
    addFaults(load);
    return load;
}

} // namespace fescuesill::bench
