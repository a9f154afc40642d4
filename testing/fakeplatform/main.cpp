// fakeplatform: the platform's table, object store and host list, in memory, with faults on demand (platform.h).

#include "testing/fakeplatform/platform.h"
#include "testing/standin/serve.h"

#include <cxxopts.hpp>
#include <iostream>

using namespace fescuesill::standin;

namespace
{

cxxopts::Options flags()
{
    cxxopts::Options options("fakeplatform", "Stand-in for the platform: table, objects, host list, faults");
    options.add_options()("listen", "IP:PORT, port 0 lets the kernel choose",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    options.add_options()("writes", "Writes a second", cxxopts::value<double>()->default_value("400"));
    options.add_options()("reads", "Reads a second", cxxopts::value<double>()->default_value("2000"));
    options.add_options()("host-lag-ms", "Lag of the host list", cxxopts::value<int>()->default_value("2000"));
    options.add_options()("seed", "Seed of random faults", cxxopts::value<std::uint32_t>()->default_value("1"));
    options.add_options()("help", "Print this text");
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
        Platform::Options options;
        options.writesPerSecond = given["writes"].as<double>();
        options.readsPerSecond = given["reads"].as<double>();
        options.hostLag = std::chrono::milliseconds(given["host-lag-ms"].as<int>());
        options.seed = given["seed"].as<std::uint32_t>();
        asio::io_context io(1);
        Platform platform(options);
        return serve(io, "fakeplatform", given["listen"].as<std::string>(),
                     [&](Exchange &exchange) { platform.handle(exchange); });
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
