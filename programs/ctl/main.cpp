// fescuesillctl: the operator's command. Each command is a row of commands() and a file of its own.

#include "commands.h"

#include "wire/platformclient.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>

using namespace fescuesill::ctl;

namespace
{

std::string overview()
{
    std::string text = "fescuesillctl COMMAND [OPTION…] [OPERAND…]\n\n";
    for (const Command &command : commands()) {
        text += fmt::format("  {:<11} {}\n", command.name, command.summary);
    }
    return text + "\nfescuesillctl COMMAND --help tells the options of a command.\n"
        + "Exit codes: 0 done, 1 failed, 2 bad input, 3 another operator's change came first, 4 needs --yes.\n";
}

ExitCode runCommand(const std::string &name, const std::vector<std::string> &arguments)
{
    const auto same = [&](const Command &command) {
        return command.name == name;
    };
    const auto command = std::find_if(commands().begin(), commands().end(), same);
    if (command == commands().end()) {
        throw CommandError(ExitCode::BadInput, fmt::format("no command '{}'\n\n{}", name, overview()));
    }
    const CommandLine line = CommandLine::parse(*command, arguments);
    if (line.has("help")) {
        fmt::print("{}", helpOf(*command));
        return ExitCode::Ok;
    }
    return command->run(line);
}

ExitCode runArguments(const std::vector<std::string> &arguments)
{
    if (arguments.empty() || arguments.front() == "--help") {
        fmt::print("{}", overview());
        return arguments.empty() ? ExitCode::BadInput : ExitCode::Ok;
    }
    if (arguments.front() == "--version") {
        fmt::print("fescuesillctl {}\n", FESCUESILL_VERSION);
        return ExitCode::Ok;
    }
    // --config FILE --check looks at the settings only, as with the other binaries.
    if (std::find(arguments.begin(), arguments.end(), "--check") != arguments.end()) {
        const Command check{"--check", "", "", 0, 0, {{"config", "FILE", ""}, {"check", "", ""}}, nullptr};
        platformAddress(CommandLine::parse(check, arguments));
        return ExitCode::Ok;
    }
    return runCommand(arguments.front(), {arguments.begin() + 1, arguments.end()});
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return static_cast<int>(runArguments({argv + 1, argv + argc}));
    } catch (const CommandError &error) {
        fmt::print(stderr, "{}\n", error.what());
        return static_cast<int>(error.code());
    } catch (const fescuesill::PlatformError &error) {
        fmt::print(stderr, "{}\n", error.what());
        return static_cast<int>(ExitCode::Failed);
    } catch (const std::exception &error) {
        fmt::print(stderr, "internal fault: {}\n", error.what());
        return static_cast<int>(ExitCode::Failed);
    }
}
