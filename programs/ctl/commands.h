#pragma once

// The commands of fescuesillctl; each has a file of its own and one function.

#include "commandline.h"
#include "session.h"

#include "promise/keyring.h"

namespace fescuesill::ctl
{

const std::vector<Command> &commands();

ExitCode runCheck(const CommandLine &line);
ExitCode runDiff(const CommandLine &line);
ExitCode runApply(const CommandLine &line);
ExitCode runRollback(const CommandLine &line);
ExitCode runShow(const CommandLine &line);
ExitCode runHistory(const CommandLine &line);
ExitCode runStatus(const CommandLine &line);
ExitCode runDrain(const CommandLine &line);
ExitCode runReport(const CommandLine &line);
ExitCode runExplain(const CommandLine &line);
ExitCode runTimeline(const CommandLine &line);
ExitCode runDoubtful(const CommandLine &line);
ExitCode runSettle(const CommandLine &line);
ExitCode runCompletion(const CommandLine &line);

// From --platform, the settings of --config, FESCUESILL_PLATFORM, or /etc/fescuesill/fescuesillctl.ini, in this order.
std::string platformAddress(const CommandLine &line);
// Of the file named by --operator-key, the settings of --config, FESCUESILL_OPERATOR_KEY, or the same default settings.
std::optional<KeyRing> operatorKeys(const CommandLine &line);

} // namespace fescuesill::ctl
