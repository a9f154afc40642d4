#pragma once

// What a command ends with, stable over releases; scripts lean on it.

#include <stdexcept>
#include <string>

namespace fescuesill::ctl
{

enum class ExitCode {
    Ok = 0,
    Failed = 1, // the platform or a process did not answer, or a wait came to its limit
    BadInput = 2, // a fault in the command line, the settings or the declaration
    Conflict = 3, // another operator's change came first; it is shown
    NeedsConfirmation = 4, // the change lowers declared capacity; repeat it with --yes
};

// Ends a command with a line on standard error.
class CommandError : public std::runtime_error
{
public:
    CommandError(ExitCode code, const std::string &text)
        : std::runtime_error(text)
        , exitCode(code)
    {
    }

    ExitCode code() const
    {
        return this->exitCode;
    }

private:
    ExitCode exitCode;
};

} // namespace fescuesill::ctl
