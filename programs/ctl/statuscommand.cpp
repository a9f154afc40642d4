// status: one line for each process, then what is the matter. A process that can't be reached has a line like every
// other, and makes the command fail, so that a script can't take half a fleet for the whole.

#include "commands.h"
#include "configuration.h"
#include "fleet.h"

#include <fmt/format.h>

#include <map>
#include <set>

namespace fescuesill::ctl
{

namespace
{

void printLeaving(const std::optional<ConfigRecord> &current, const std::vector<ProcessView> &processes)
{
    std::set<std::string> leaving;
    for (const ProcessView &process : processes) {
        if (process.leaving) {
            leaving.insert("host " + process.host.value());
        }
    }
    if (current) {
        const Declaration declaration = parseDeclaration(current->text, "in force");
        for (const Engine &engine : declaration.engines) {
            if (engine.leaving) {
                leaving.insert("engine " + engine.id.value());
            }
        }
        for (const Endpoint &endpoint : declaration.endpoints) {
            if (endpoint.leaving) {
                leaving.insert("endpoint " + endpoint.id.value());
            }
        }
    }
    for (const std::string &name : leaving) {
        fmt::print("leaving: {}\n", name);
    }
}

void printCells(const std::vector<ProcessView> &processes)
{
    std::map<std::string, std::set<std::string>> owners;
    for (const ProcessView &process : processes) {
        const std::optional<ProcessStatus> status = readStatus(process);
        if (!status || process.kind != "scheduler") {
            continue;
        }
        for (const CellOwner &cell : status->cells) {
            owners[cell.model + " in " + cell.dataCentre].insert(cell.owner.empty() ? process.host.value()
                                                                                    : cell.owner);
        }
    }
    for (const auto &[cell, hosts] : owners) {
        fmt::print("cell {}: owner {}{}\n", cell, fmt::join(hosts, ", "), hosts.size() > 1 ? " (more than one)" : "");
    }
}

} // namespace

ExitCode runStatus(const CommandLine &line)
{
    Session session(platformAddress(line));
    std::optional<ConfigRecord> current;
    try {
        current = readCurrent(session);
        fmt::print("accepted: version {}\n", current ? current->version.value() : 0);
    } catch (const PlatformError &error) {
        fmt::print("accepted: not known, {}\n", error.what());
    }
    bool complete = true;
    const std::vector<ProcessView> processes = askFleet(session, "/status");
    for (const ProcessView &process : processes) {
        const std::optional<ProcessStatus> status = readStatus(process);
        if (!status) {
            complete = false;
            fmt::print("{}: UNREACHABLE {}\n", process.name(),
                       process.answer.error.empty() ? "no status in the answer" : process.answer.error);
            continue;
        }
        fmt::print("{}: {}, version {}{}\n", process.name(), status->state, status->version,
                   process.leaving ? ", leaving" : "");
        for (const DegradedMode &mode : status->degraded) {
            fmt::print("    degraded: {}{}\n", mode.mode, mode.since.empty() ? "" : " since " + mode.since);
        }
    }
    printCells(processes);
    printLeaving(current, processes);
    return complete ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace fescuesill::ctl
