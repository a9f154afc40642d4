// loadtool: a mixed load of both users' kinds against a list of entries, with a history and a verdict (loadrun.h).

#include "testing/loadtool/loadrun.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <iostream>

using namespace fescuesill::standin;

namespace
{

cxxopts::Options flags()
{
    const auto number = [](const char *value) {
        return cxxopts::value<double>()->default_value(value);
    };
    const auto text = [](const char *value) {
        return cxxopts::value<std::string>()->default_value(value);
    };
    const auto list = [] {
        return cxxopts::value<std::vector<std::string>>()->default_value("");
    };
    cxxopts::Options options("loadtool", "Sends a mixed load and checks what each caller was left with");
    options.add_options()("entries", "CALLERS or CALLERS/ADMIN addresses, comma-separated", list());
    options.add_options()("applications", "Plain endpoints whose execution logs are checked", list());
    options.add_options()("engines", "Decode engines that must hold nothing at the end", list());
    options.add_options()("model", "Model asked for", text("model"));
    options.add_options()("model-service", "X-Service of model requests", text(""));
    options.add_options()("booking-route", "Route of calls that may not be repeated", text("/bookings"));
    options.add_options()("lookup-route", "Route of calls that may", text("/lookups"));
    options.add_options()("history", "File for the history, JSON lines", text(""));
    options.add_options()("completions", "Share of long logs", number("0.3"));
    options.add_options()("chats", "Share of long reports", number("0.2"));
    options.add_options()("bookings", "Share of bookings; the rest are lookups", number("0.25"));
    options.add_options()("rate", "Calls a second", number("20"));
    options.add_options()("seconds", "How long new calls are made", number("10"));
    options.add_options()("concurrency", "Calls at once at most", number("200"));
    options.add_options()("prompt-bytes", "Length of a prompt", number("16000"));
    options.add_options()("preamble-bytes", "Part of it that a workspace shares", number("8000"));
    options.add_options()("output-tokens", "Length of an answer", number("40"));
    options.add_options()("attempts", "Attempts of one call", number("8"));
    options.add_options()("stall-seconds", "Silence after which a stream counts as lost", number("5"));
    options.add_options()("settle-seconds", "For engines to free their memory at the end", number("15"));
    options.add_options()("seed", "Seed of the calls", cxxopts::value<std::uint32_t>()->default_value("1"));
    options.add_options()("help", "Print this text");
    return options;
}

std::chrono::milliseconds seconds(const cxxopts::ParseResult &given, const std::string &name)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(given[name].as<double>() * 1000));
}

std::vector<std::string> addresses(const cxxopts::ParseResult &given, const std::string &name)
{
    auto list = given[name].as<std::vector<std::string>>();
    list.erase(std::remove(list.begin(), list.end(), ""), list.end());
    return list;
}

LoadOptions loadOptions(const cxxopts::ParseResult &given)
{
    LoadOptions options;
    options.entries = addresses(given, "entries");
    options.applications = addresses(given, "applications");
    options.engines = addresses(given, "engines");
    options.model = given["model"].as<std::string>();
    options.modelService = given["model-service"].as<std::string>();
    options.bookingRoute = given["booking-route"].as<std::string>();
    options.lookupRoute = given["lookup-route"].as<std::string>();
    options.historyFile = given["history"].as<std::string>();
    options.completions = given["completions"].as<double>();
    options.chats = given["chats"].as<double>();
    options.bookings = given["bookings"].as<double>();
    options.rate = given["rate"].as<double>();
    options.duration = seconds(given, "seconds");
    options.concurrency = static_cast<std::size_t>(given["concurrency"].as<double>());
    options.promptBytes = static_cast<std::int64_t>(given["prompt-bytes"].as<double>());
    options.preambleBytes = static_cast<std::int64_t>(given["preamble-bytes"].as<double>());
    options.outputTokens = static_cast<std::int64_t>(given["output-tokens"].as<double>());
    options.attempts = static_cast<int>(given["attempts"].as<double>());
    options.stall = seconds(given, "stall-seconds");
    options.settle = seconds(given, "settle-seconds");
    options.seed = given["seed"].as<std::uint32_t>();
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options described = flags();
    try {
        const auto given = described.parse(argc, argv);
        if (given.count("help") > 0) {
            std::cout << described.help();
            return 0;
        }
        const LoadOptions options = loadOptions(given);
        if (options.entries.empty()) {
            std::cerr << "loadtool: --entries is needed\n";
            return 2;
        }
        asio::io_context io(1);
        LoadRun run(io, options);
        run.start();
        io.run();
        return run.exitCode();
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
