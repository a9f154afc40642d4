#pragma once

// The command line that our long-running programs share: --config FILE, --check, --version, --help.
//
//     int main(int argc, char **argv)
//     {
//         const Daemon daemon{"fescuesill-entry", "Takes callers' requests and carries them to engines and
//         endpoints."}; return runDaemon(daemon, argc, argv, EntrySettings::fromFile, runEntry);
//     }
//
// Exit codes: 0 a planned stop or a good check, 1 failed, 2 a bad command line or settings with faults.

#include "declare/settings.h"

#include <functional>
#include <string>
#include <tl/expected.hpp>

namespace fescuesill
{

struct Daemon {
    std::string name;
    std::string duty;
};

// Reads the settings of this file and, unless only checking, runs with them.
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
