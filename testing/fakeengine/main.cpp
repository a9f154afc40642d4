// fakeengine: a stand-in for one model engine, or with --app for a plain application server (engine.h).

#include "testing/fakeengine/engine.h"
#include "testing/standin/serve.h"

#include <cxxopts.hpp>
#include <iostream>

using namespace fescuesill::standin;

namespace
{

Microseconds milliseconds(const cxxopts::ParseResult &given, const std::string &name)
{
    return std::chrono::duration_cast<Microseconds>(
        std::chrono::duration<double, std::milli>(given[name].as<double>()));
}

cxxopts::Options flags()
{
    const auto number = [](const char *value) {
        return cxxopts::value<double>()->default_value(value);
    };
    const auto text = [](const char *value) {
        return cxxopts::value<std::string>()->default_value(value);
    };
    cxxopts::Options options("fakeengine", "Stand-in for a model engine or a plain application server");
    options.add_options()("listen", "IP:PORT, port 0 lets the kernel choose", text("127.0.0.1:0"));
    options.add_options()("role", "prefill or decode", text("decode"));
    options.add_options()("model", "Name of the model it has loaded", text("model"));
    options.add_options()("app", "Be a plain application server");
    options.add_options()("ignore-fencing", "Take orders with an old fencing number");
    options.add_options()("speed", "Divides all times", number("1"));
    options.add_options()("pieces", "Memory, in pieces of 4,096 tokens", number("20"));
    options.add_options()("per-token-ms", "One step with one stream running", number("25"));
    options.add_options()("step-slope", "Share that each further stream adds", number("0.05"));
    options.add_options()("prompt-token-ms", "Reading of one prompt token", number("0.075"));
    options.add_options()("keep-ms", "How long a prefill result is kept", number("800"));
    options.add_options()("link-token-ms", "Export of one token's KV", number("0.04"));
    options.add_options()("cache-blocks", "Prefix blocks kept", number("1024"));
    options.add_options()("cache-event-lag-ms", "Lag of cache events", number("300"));
    options.add_options()("cache-event-gap", "Share of cache events never published", number("0.02"));
    options.add_options()("load-lag-ms", "Greatest age of a load report", number("500"));
    options.add_options()("resume-grace-ms", "How long a finished stream's text is kept", number("30000"));
    options.add_options()("dies-at-tokens", "End as an answer of at most that many tokens begins; 0: never",
                          number("0"));
    options.add_options()("app-ms", "One call in application mode", number("20"));
    options.add_options()("seed", "Seed of random faults", cxxopts::value<std::uint32_t>()->default_value("1"));
    options.add_options()("help", "Print this text");
    return options;
}

EngineOptions engineOptions(const cxxopts::ParseResult &given)
{
    EngineOptions options;
    options.role = given["role"].as<std::string>();
    options.model = given["model"].as<std::string>();
    options.checksFencing = given.count("ignore-fencing") == 0;
    options.speed = given["speed"].as<double>();
    options.pieces = static_cast<std::int64_t>(given["pieces"].as<double>());
    options.decodeStep = milliseconds(given, "per-token-ms");
    options.stepSlope = given["step-slope"].as<double>();
    options.promptToken = milliseconds(given, "prompt-token-ms");
    options.keep = milliseconds(given, "keep-ms");
    options.linkToken = milliseconds(given, "link-token-ms");
    options.cacheBlocks = static_cast<std::size_t>(given["cache-blocks"].as<double>());
    options.cacheEventLag = milliseconds(given, "cache-event-lag-ms");
    options.cacheEventGap = given["cache-event-gap"].as<double>();
    options.loadLag = milliseconds(given, "load-lag-ms");
    options.resumeGrace = milliseconds(given, "resume-grace-ms");
    options.diesAtTokens = static_cast<std::int64_t>(given["dies-at-tokens"].as<double>());
    options.applicationTime = milliseconds(given, "app-ms");
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
        asio::io_context io(1);
        Engine engine(io, engineOptions(given), given.count("app") > 0);
        return serve(io, "fakeengine", given["listen"].as<std::string>(),
                     [&](Exchange &exchange) { engine.handle(exchange); });
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
