// check, diff and show: what a declaration says, without changing anything.

#include "commands.h"
#include "configuration.h"

#include "declare/difference.h"
#include "declare/values.h"

#include <fmt/format.h>

namespace fescuesill::ctl
{

namespace
{

Declaration comparedWith(const CommandLine &line)
{
    if (line.has("against")) {
        return readDeclaration(line.text("against"));
    }
    Session session(platformAddress(line));
    const std::optional<ConfigRecord> current = readCurrent(session);
    fmt::print("against version {}\n", current ? current->version.value() : 0);
    return current ? parseDeclaration(current->text, "in force") : Declaration();
}

} // namespace

ExitCode runCheck(const CommandLine &line)
{
    const Declaration declaration = readDeclaration(line.operands().front());
    fmt::print("{}: {} services, {} engines, {} endpoints, {} data centres: no fault\n", line.operands().front(),
               declaration.services.size(), declaration.engines.size(), declaration.endpoints.size(),
               declaration.dataCentres.size());
    return ExitCode::Ok;
}

ExitCode runDiff(const CommandLine &line)
{
    const Declaration proposed = readDeclaration(line.operands().front());
    const Difference difference = Difference::between(comparedWith(line), proposed);
    fmt::print("{}", difference.text());
    return difference.lowersCapacity() ? ExitCode::NeedsConfirmation : ExitCode::Ok;
}

ExitCode runShow(const CommandLine &line)
{
    Session session(platformAddress(line));
    std::optional<ConfigRecord> record;
    if (line.has("version")) {
        const auto version = parseNumber(line.text("version"));
        record = version ? readVersion(session, ConfigVersion(*version)) : std::nullopt;
    } else {
        record = readCurrent(session);
    }
    if (!record) {
        throw CommandError(ExitCode::Failed, "there is no such version");
    }
    fmt::print("{}{}", versionLine(record->version), withoutVersionLine(record->text));
    return ExitCode::Ok;
}

} // namespace fescuesill::ctl
