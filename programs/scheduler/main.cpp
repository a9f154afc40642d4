#include "programs/scheduler/schedulerprogram.h"
#include "programs/scheduler/schedulersettings.h"

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
    cxxopts::Options options("fescuesill-scheduler", "Decides for the cells that this host owns.");
    options.add_options()("config", "settings file", cxxopts::value<std::string>(), "FILE")(
        "check", "validate the settings and exit")("version", "print the version")("h,help", "print this");
    return options;
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
            std::cout << "fescuesill-scheduler " << FESCUESILL_VERSION << '\n';
            return Success;
        }
        if (given.count("config") == 0) {
            std::cerr << "fescuesill-scheduler: --config FILE is needed; see --help\n";
            return BadInput;
        }
        const auto settings = fescuesill::SchedulerSettings::fromFile(given["config"].as<std::string>());
        if (!settings) {
            for (const fescuesill::Fault &fault : settings.error().faults) {
                std::cerr << fault.line() << '\n';
            }
            return BadInput;
        }
        return given.count("check") != 0 ? Success : fescuesill::runScheduler(*settings);
    } catch (const cxxopts::exceptions::exception &failed) {
        std::cerr << "fescuesill-scheduler: " << failed.what() << '\n';
        return BadInput;
    } catch (const std::exception &failed) {
        std::cerr << "fescuesill-scheduler: " << failed.what() << '\n';
        return Failure;
    }
}
