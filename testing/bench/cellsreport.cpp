#include "cellsreport.h"

#include "decide/cellchoice.h"

#include <fmt/format.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace fescuesill::bench
{

void printChoiceCost(int cells)
{
    constexpr int models = 8;
    constexpr int rounds = 200000;
    CellChoice::Options options;
    options.home = DataCentreId("dc0");
    CellChoice choice(options, 1);
    std::vector<CellId> all;
    const Instant now(1000s);
    for (int i = 0; i < cells; ++i) {
        const CellId cell{ModelId(fmt::format("model-{}", i % models)), DataCentreId(fmt::format("dc{}", i / models))};
        CellSummary summary;
        summary.version = 1;
        summary.prefillEngines = summary.decodeEngines = 1;
        summary.freePieces = Pieces(10 + i);
        choice.onSummary(cell, summary, now);
        choice.onLink(cell.dataCentre, 8ms, 0.01);
        all.push_back(cell);
    }
    using Clock = std::chrono::steady_clock;
    const auto begin = Clock::now();
    std::size_t found = 0;
    for (int i = 0; i < rounds; ++i) {
        found += choice.choose(all[static_cast<std::size_t>(i % models)].model, Tokens(1000), now) ? 1 : 0;
    }
    const auto middle = Clock::now();
    for (int i = 0; i < rounds; ++i) {
        found += choice.chooseAfterRefusal(all[static_cast<std::size_t>(i % models)], Tokens(1000), 500ms, now) ? 1 : 0;
    }
    const auto each = [](Clock::duration time) {
        return std::chrono::duration<double, std::micro>(time).count() / rounds;
    };
    fmt::print("{} cells: {:.2f} us a first choice, {:.2f} us a second one, {} choices made\n", cells,
               each(middle - begin), each(Clock::now() - middle), found);
}

bool isCellScenario(const std::string &name)
{
    const auto names = cellScenarioNames();
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool printCells(const CellsSettings &settings, const std::string &policy, bool asJson)
{
    const auto load = makeCellsLoad(settings);
    if (!load) {
        fmt::print(stderr, "{}\n", load.error());
        return false;
    }
    const CellsResult result = simulateCells(*load);
    const double attempts = std::max(1, result.attempts);
    nlohmann::json out{{"scenario", settings.scenario},
                       {"policy", policy},
                       {"seed", settings.seed},
                       {"load", load->settings.load},
                       {"cells", settings.cells},
                       {"entries", settings.entries},
                       {"engines", settings.engines},
                       {"offered", result.all.offered},
                       {"goodput_share", static_cast<double>(result.all.good) / std::max(1, result.all.offered)},
                       {"goodput_of_bound", result.good / result.bound},
                       {"goodput_of_bound_unknown_lengths", result.good / result.boundUnknownLengths},
                       {"late", result.all.late},
                       {"refused", result.all.refused},
                       {"unfinished", result.all.unfinished},
                       {"refusals", result.all.refusals},
                       {"first_token_p95_ms", percentile(result.all.firstToken, 0.95)},
                       {"away_share", result.away / attempts},
                       {"price_per_request", result.price / attempts},
                       {"swing", result.swing},
                       {"published_per_cell_and_second", result.published},
                       {"summary_age_seconds", result.summaryAge},
                       {"share_by_cell", result.share},
                       {"lost", result.lost}};
    if (asJson) {
        std::cout << out.dump() << '\n';
        return true;
    }
    std::string lost;
    for (const auto &[what, count] : result.lost) {
        lost += fmt::format(" {} {}", what, count);
    }
    fmt::print("{:<12} {:<11} seed {:<2} good {:5.2f}% of bound {:5.2f}% ({:5.2f}%), p95 {:5.0f} ms, away {:4.1f}%, "
               "price {:4.2f}, swing {:4.2f}, refusals {}, published {:4.2f}/s, age {:4.1f} s, lost:{}\n",
               settings.scenario, policy, settings.seed, 100.0 * result.all.good / std::max(1, result.all.offered),
               100 * result.good / result.bound, 100 * result.good / result.boundUnknownLengths,
               percentile(result.all.firstToken, 0.95), 100 * result.away / attempts, result.price / attempts,
               result.swing, result.all.refusals, result.published, result.summaryAge, lost);
    return true;
}

} // namespace fescuesill::bench
