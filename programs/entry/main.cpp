#include "programs/entry/entryprogram.h"

#include <cxxopts.hpp>
#include <iostream>

namespace
{

enum ExitCode {
    Success = 0,
    Failure = 1,
    BadInput = 2,
};

cxxopts::Options commandLine()
{
    cxxopts::Options options("fescuesill-entry", "Takes callers' requests and carries them to engines and endpoints.");
    options.add_options()("config", "settings file", cxxopts::value<std::string>(), "FILE")(
        "check", "validate the settings and exit")("version", "print the version")("h,help", "print this");
    return options;
}

int run(const cxxopts::ParseResult &given)
{
    if (given.count("config") == 0) {
        std::cerr << "fescuesill-entry: --config FILE is needed; see --help\n";
        return BadInput;
    }
    const auto settings = fescuesill::EntrySettings::fromFile(given["config"].as<std::string>());
    if (!settings) {
        for (const fescuesill::Fault &fault : settings.error().faults) {
            std::cerr << fault.line() << '\n';
        }
        return BadInput;
    }
    return given.count("check") != 0 ? Success : fescuesill::runEntry(*settings);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options = commandLine();
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0) {
            std::cout << options.help() << '\n';
            return Success;
        }
        if (given.count("version") != 0) {
            std::cout << "fescuesill-entry " << FESCUESILL_VERSION << '\n';
            return Success;
        }
        return run(given);
    } catch (const cxxopts::exceptions::exception &failed) {
        std::cerr << "fescuesill-entry: " << failed.what() << '\n';
        return BadInput;
    } catch (const std::exception &failed) {
        std::cerr << "fescuesill-entry: " << failed.what() << '\n';
        return Failure;
    }
}
