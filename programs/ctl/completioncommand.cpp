// completion: written from the table of commands, so it can't fall behind.

#include "commands.h"

#include <fmt/format.h>

namespace fescuesill::ctl
{

ExitCode runCompletion(const CommandLine & /*line*/)
{
    std::string names;
    std::string cases;
    for (const Command &command : commands()) {
        names += (names.empty() ? "" : " ") + command.name;
        std::string options = "--help";
        for (const Option &option : command.options) {
            options += " --" + option.name;
        }
        cases += fmt::format("        {}) options=\"{}\" ;;\n", command.name, options);
    }
    fmt::print("_fescuesillctl() {{\n"
               "    local word=${{COMP_WORDS[COMP_CWORD]}} options=\n"
               "    if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
               "        COMPREPLY=($(compgen -W \"{} --help --version\" -- \"$word\"))\n"
               "        return\n"
               "    fi\n"
               "    case ${{COMP_WORDS[1]}} in\n{}    esac\n"
               "    if [[ $word == -* ]]; then\n"
               "        COMPREPLY=($(compgen -W \"$options\" -- \"$word\"))\n"
               "    else\n"
               "        COMPREPLY=($(compgen -f -- \"$word\"))\n"
               "    fi\n"
               "}}\n"
               "complete -o filenames -F _fescuesillctl fescuesillctl\n",
               names, cases);
    return ExitCode::Ok;
}

} // namespace fescuesill::ctl
