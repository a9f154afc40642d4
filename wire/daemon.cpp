#include "wire/daemon.h"

#include "wire/log.h"

#include <cxxopts.hpp>

#include <iostream>

#include <malloc.h>

namespace fescuesill
{
namespace
{

// Blocks of this size and more go back to the system as soon as they are freed. By itself the allocator would raise the
// limit with the first large block, and keep what a crowd of large requests has once taken.
constexpr int leastMappedBlock = 1 << 20; // bytes

void returnLargeBlocks()
{
#ifdef __GLIBC__
    ::mallopt(M_MMAP_THRESHOLD, leastMappedBlock);
#endif
}

enum ExitCode {
    Success = 0,
    Failure = 1,
    BadInput = 2,
};

cxxopts::Options commandLine(const Daemon &daemon)
{
    cxxopts::Options options(daemon.name, daemon.description);
    options.add_options()("config", "settings file", cxxopts::value<std::string>(), "FILE")(
        "check", "validate the settings and exit")("version", "print the version")("h,help", "print this help");
    return options;
}

int runParsed(const Daemon &daemon, const cxxopts::ParseResult &given, const RunWithSettings &run)
{
    if (given.count("config") == 0) {
        std::cerr << daemon.name << ": --config FILE is required; see --help\n";
        return BadInput;
    }
    const auto ended = run(given["config"].as<std::string>(), given.count("check") != 0);
    if (ended) {
        return *ended;
    }
    for (const Fault &fault : ended.error().faults) {
        std::cerr << fault.line() << '\n';
    }
    return BadInput;
}

} // namespace

int runDaemon(const Daemon &daemon, int argc, char **argv, const RunWithSettings &run)
{
    returnLargeBlocks();
    try {
        cxxopts::Options options = commandLine(daemon);
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0) {
            std::cout << options.help() << '\n';
            return Success;
        }
        if (given.count("version") != 0) {
            std::cout << daemon.name << ' ' << FESCUESILL_VERSION << '\n';
            return Success;
        }
        const int code = runParsed(daemon, given, run);
        Log::close();
        return code;
    } catch (const cxxopts::exceptions::exception &failed) {
        std::cerr << daemon.name << ": " << failed.what() << '\n';
        return BadInput;
    } catch (const std::exception &failed) {
        std::cerr << daemon.name << ": " << failed.what() << '\n';
        return Failure;
    }
}

} // namespace fescuesill
