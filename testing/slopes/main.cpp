// fescuesill-slopes [HOSTS…]: what the pure cores cost as the fleet grows, one JSON line for each size.
// fescuesill-slopes links [LINKS…]: links between entries and one scheduler, and the news that goes over them.
// fescuesill-slopes polls IP:PORT [ENGINES…]: an owner's polling of a stand-in engine that runs there.
// fescuesill-slopes configuration [ROUTES…]: what a gateway's configuration costs, and a change of three routes of it.
// fescuesill-slopes lateness [HOSTS [CELLS]]: how late the summaries of cells are, one line for each publishing period.
//
// Membership runs in virtual time (fleet.h). Processor time is this process's own; it depends on the machine, its
// growth with the size much less.

#include "declare/declaration.h"
#include "declare/difference.h"
#include "testing/slopes/fleet.h"
#include "testing/slopes/measures.h"

#include <fmt/format.h>

#include <cctype>
#include <cstdio>
#include <string>

using namespace fescuesill;

namespace
{

constexpr int warmUpTicks = 20 * 600; // ten minutes: the rumours of a fleet that starts all at once have been passed on
constexpr int measuredTicks = 20 * 20;
constexpr int dataCentres = 6;

void measureMembership(int size, int cells)
{
    const double before = residentBytes();
    Fleet fleet(size, cells, 1s);
    fleet.run(warmUpTicks);
    const double memory = (residentBytes() - before) / size;
    const std::int64_t bytes = fleet.bytes;
    const std::int64_t messages = fleet.messages;
    const double start = cpuSeconds();
    fleet.run(measuredTicks);
    const double spent = cpuSeconds() - start;
    const std::int64_t sentBytes = fleet.bytes - bytes;
    const std::int64_t sentMessages = fleet.messages - messages;
    const double hostSeconds = size * std::chrono::duration<double>(fleetTick).count() * measuredTicks;
    const double urgent = fleet.spread("config", true);
    const double ordinary = fleet.spread("ordinary", false);
    fmt::print("{{\"core\":\"membership\",\"hosts\":{},\"cells\":{},\"core_percent_per_host\":{:.4f},\"sent_bytes_per_"
               "second\":{:.0f},"
               "\"sent_messages_per_second\":{:.2f},\"resident_kb_per_host\":{:.0f},\"urgent_fact_to_all_seconds\":{:."
               "2f},\"fact_to_all_seconds\":{:.2f}}}\n",
               size, cells, 100 * spent / hostSeconds, static_cast<double>(sentBytes) / hostSeconds,
               static_cast<double>(sentMessages) / hostSeconds, memory / 1024, urgent, ordinary);
}

// How late summaries are, for cells that each publish once in the period.
void measureLateness(int size, int cells, Duration period)
{
    Fleet fleet(size, cells, period);
    fleet.run(warmUpTicks);
    const Fleet::Lateness late = fleet.lateness(120s);
    fmt::print(
        "{{\"core\":\"summaries\",\"hosts\":{},\"cells\":{},\"each_cell_publishes_every_seconds\":{:.0f},"
        "\"seconds_late\":{{\"p5\":{:.2f},\"p25\":{:.2f},\"p50\":{:.2f},\"p75\":{:.2f},\"p95\":{:.2f},\"p99\":{:.2f},"
        "\"most\":{:.2f}}},\"not_there_after_a_minute\":{:.4f}}}\n",
        size, cells, std::chrono::duration<double>(period).count(), late.at(0.05), late.at(0.25), late.at(0.5),
        late.at(0.75), late.at(0.95), late.at(0.99), late.at(1), late.missing);
    std::fflush(stdout);
}

std::string declarationOf(int engines)
{
    std::string text = "[class patient]\nrank = 2\nfirst_token = 5s\n";
    for (int i = 0; i < dataCentres; ++i) {
        text += fmt::format("[data_centre dc-{}]\nregion = r{}\n", i, i % 3);
    }
    for (int i = 0; i < engines; ++i) {
        text += fmt::format("[engine engine-{}]\naddress = 10.{}.{}.{}:8000\ndata_centre = dc-{}\nmodel = model-{}\n"
                            "role = {}\npieces = 20\nchecks_fencing = yes\n",
                            i, i / 10000, i / 100 % 100, i % 100 + 1, i % dataCentres, i % 8,
                            i / 8 % 3 == 0 ? "prefill" : "decode");
    }
    for (int i = 0; i < 8; ++i) {
        text += fmt::format("[service service-{}]\nclass = patient\nkind = model\nmodel = model-{}\n", i, i);
    }
    return text;
}

void measureDeclaration(int engines)
{
    constexpr int rounds = 20;
    const std::string text = declarationOf(engines);
    const double start = cpuSeconds();
    for (int i = 0; i < rounds; ++i) {
        if (!Declaration::parse(text, "slopes")) {
            fmt::print(stderr, "the generated declaration has a fault\n");
            std::exit(1);
        }
    }
    const double parsed = cpuSeconds();
    const Declaration declaration = Declaration::parse(text, "slopes").value();
    const double compare = cpuSeconds();
    for (int i = 0; i < rounds; ++i) {
        Difference::between(declaration, declaration);
    }
    fmt::print(
        "{{\"core\":\"declaration\",\"engines\":{},\"text_kb\":{:.0f},\"parse_ms\":{:.2f},\"difference_ms\":{:.2f}}}\n",
        engines, static_cast<double>(text.size()) / 1024, 1000 * (parsed - start) / rounds,
        1000 * (cpuSeconds() - compare) / rounds);
}

void measureCores(const std::vector<int> &sizes)
{
    for (const int hosts : sizes) {
        for (const int cells : {3, 48}) {
            measureMembership(hosts, cells);
        }
    }
    for (const int engines : {24, 75, 150, 300, 600}) {
        measureDeclaration(engines);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    const std::string mode = words.empty() || std::isdigit(words[0].front()) != 0 ? "" : words[0];
    const std::size_t named = mode.empty() ? 0 : (mode == "polls" ? 2 : 1);
    std::vector<int> sizes;
    for (std::size_t i = named; i < words.size(); ++i) {
        sizes.push_back(std::stoi(words[i]));
    }
    const auto orElse = [&sizes](const std::vector<int> &defaults) {
        return sizes.empty() ? defaults : sizes;
    };
    if (mode.empty()) {
        measureCores(orElse({3, 9, 36, 85, 170, 340}));
    } else if (mode == "links") {
        measureCellNews({3, 48});
        measureLinks(orElse({3, 9, 36, 340}));
    } else if (mode == "polls" && words.size() > 1) {
        measureEnginePolls(words[1], orElse({1, 4, 13}));
    } else if (mode == "configuration") {
        measureConfiguration(orElse({300, 1000, 3000, 5000, 10000}));
    } else if (mode == "lateness") {
        for (const Duration period : {1s, 5s, 10s, 30s}) {
            measureLateness(sizes.empty() ? 340 : sizes[0], sizes.size() > 1 ? sizes[1] : 48, period);
        }
    } else {
        fmt::print(stderr, "fescuesill-slopes: unknown measurement '{}'\n", mode);
        return 2;
    }
    return 0;
}
