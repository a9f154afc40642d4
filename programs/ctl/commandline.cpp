#include "commandline.h"

#include "declare/values.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

namespace fescuesill::ctl
{

namespace
{

cxxopts::Options describe(const Command &command)
{
    cxxopts::Options options("fescuesillctl " + command.name, command.summary);
    for (const Option &option : command.options) {
        if (option.value.empty()) {
            options.add_options()(option.name, option.help);
        } else {
            options.add_options()(option.name, option.help, cxxopts::value<std::string>(), option.value);
        }
    }
    options.add_options()("help", "Print this text");
    options.add_options()("operands", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("operands");
    return options;
}

} // namespace

CommandLine CommandLine::parse(const Command &command, const std::vector<std::string> &arguments)
{
    std::vector<const char *> pointers{"fescuesillctl"};
    for (const std::string &argument : arguments) {
        pointers.push_back(argument.c_str());
    }
    CommandLine line;
    try {
        const auto result = describe(command).parse(static_cast<int>(pointers.size()), pointers.data());
        for (const cxxopts::KeyValue &pair : result.arguments()) {
            if (pair.key() != "operands") {
                line.given[pair.key()] = pair.value();
            }
        }
        if (result.count("operands") > 0) {
            line.rest = result["operands"].as<std::vector<std::string>>();
        }
    } catch (const cxxopts::exceptions::exception &error) {
        throw CommandError(ExitCode::BadInput, error.what());
    }
    const std::size_t count = line.rest.size();
    if (!line.has("help") && (count < command.leastOperands || count > command.mostOperands)) {
        throw CommandError(ExitCode::BadInput,
                           fmt::format("usage: fescuesillctl {} {}", command.name, command.operands));
    }
    return line;
}

bool CommandLine::has(const std::string &option) const
{
    return this->given.count(option) > 0;
}

std::string CommandLine::text(const std::string &option, const std::string &fallback) const
{
    const auto found = this->given.find(option);
    return found != this->given.end() ? found->second : fallback;
}

std::string CommandLine::required(const std::string &option) const
{
    std::string value = this->text(option);
    if (value.empty()) {
        throw CommandError(ExitCode::BadInput, fmt::format("--{} is needed", option));
    }
    return value;
}

Duration CommandLine::duration(const std::string &option, Duration fallback) const
{
    if (!this->has(option)) {
        return fallback;
    }
    auto value = parseDuration(this->text(option));
    if (!value) {
        throw CommandError(
            ExitCode::BadInput,
            fmt::format("--{}: '{}'; allowed: a whole number with us, ms, s, min or h", option, this->text(option)));
    }
    return *value;
}

const std::vector<std::string> &CommandLine::operands() const
{
    return this->rest;
}

std::string helpOf(const Command &command)
{
    std::string text = fmt::format("fescuesillctl {} {}\n\n{}\n", command.name, command.operands, command.summary);
    for (const Option &option : command.options) {
        const std::string form = option.value.empty() ? option.name : option.name + " " + option.value;
        text += fmt::format("  --{:<22} {}\n", form, option.help);
    }
    return text;
}

} // namespace fescuesill::ctl
