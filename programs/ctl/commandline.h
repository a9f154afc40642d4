#pragma once

// One command with its options, as a table row, and a command line read by it.
//
//     const Command command{"history", "", "…", 0, 0, {{"platform", "IP:PORT", "…"}}, runHistory};
//     const CommandLine line = CommandLine::parse(command, arguments);     // throws CommandError with BadInput
//     line.has("yes"); line.text("author"); line.operands();

#include "exitcode.h"
#include "fescuesill/units.h"

#include <map>
#include <string>
#include <vector>

namespace fescuesill::ctl
{

class CommandLine;

struct Option {
    std::string name;
    std::string value; // how the help calls it; empty: a flag
    std::string help;
};

struct Command {
    std::string name;
    std::string operands; // as the help shows them
    std::string summary;
    std::size_t leastOperands = 0;
    std::size_t mostOperands = 0;
    std::vector<Option> options;
    ExitCode (*run)(const CommandLine &line) = nullptr;
};

class CommandLine
{
public:
    static CommandLine parse(const Command &command, const std::vector<std::string> &arguments);

    bool has(const std::string &option) const;
    std::string text(const std::string &option, const std::string &fallback = "") const;
    // Of an option that must be given.
    std::string required(const std::string &option) const;
    Duration duration(const std::string &option, Duration fallback) const;
    const std::vector<std::string> &operands() const;

private:
    std::map<std::string, std::string> given;
    std::vector<std::string> rest;
};

std::string helpOf(const Command &command);

} // namespace fescuesill::ctl
