#pragma once

// The command line that the long-running programs share: --config FILE, --check, --version, --help.
//
//     int main(int argc, char **argv)
//     {
//         const Daemon daemon{"fescuesill-entry", "Forwards callers' requests to engines and endpoints."};
//         return runDaemon(daemon, argc, argv, EntrySettings::fromFile, runEntry);
//     }
//
// Exit codes: 0 for a planned stop or valid settings, 1 for a failure, 2 for an invalid command line or invalid
// settings.

#include "declare/settings.h"

#include <functional>
#include <string>
#include <tl/expected.hpp>

namespace fescuesill
{

struct Daemon {
    std::string name;
    std::string description; // shown by --help
};

// Reads the settings from `file` and, unless `isCheck` is set, runs the program with them. Returns the exit code.
using RunWithSettings = std::function<tl::expected<int, DeclareError>(const std::string &file, bool isCheck)>;

int runDaemon(const Daemon &daemon, int argc, char **argv, const RunWithSettings &run);

template<typename Settings>
int runDaemon(const Daemon &daemon, int argc, char **argv,
              tl::expected<Settings, DeclareError> (*read)(const std::string &), int (*run)(const Settings &))
{
    return runDaemon(daemon, argc, argv, [read, run](const std::string &file, bool isCheck) {
        return read(file).map([run, isCheck](const Settings &settings) { return isCheck ? 0 : run(settings); });
    });
}

} // namespace fescuesill
