#include "commands.h"

#include "report/requestlife.h"

#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace fescuesill::ctl
{

ExitCode runExplain(const CommandLine &line)
{
    const std::string request = line.operands().front();
    RequestLife life(request);
    for (std::size_t i = 1; i < line.operands().size(); ++i) {
        const std::string &path = line.operands()[i];
        std::ifstream file;
        if (path != "-") {
            file.open(path);
            if (!file) {
                throw CommandError(ExitCode::BadInput, path + ": can't be read");
            }
        }
        std::ostringstream text;
        text << (path == "-" ? std::cin.rdbuf() : file.rdbuf());
        life.read(text.str());
    }
    if (life.isEmpty()) {
        throw CommandError(ExitCode::Failed, fmt::format("no line about {} in these logs", request));
    }
    fmt::print("{}", life.text());
    return ExitCode::Ok;
}

} // namespace fescuesill::ctl
