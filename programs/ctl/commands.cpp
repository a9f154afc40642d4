#include "commands.h"

#include "declare/keysettings.h"
#include "declare/values.h"

#include <fmt/format.h>

#include <cstdlib>
#include <filesystem>

namespace fescuesill::ctl
{

namespace
{

constexpr const char *defaultSettings = "/etc/fescuesill/fescuesillctl.ini";

constexpr std::size_t mostLogFiles = 4096;

const Option platformOption{"platform", "IP:PORT", "The platform's address"};
const Option configOption{"config", "FILE", "Settings: [platform] address, [keys] operator"};
const Option operatorKeyOption{"operator-key", "FILE", "File of the operators' key, where the fleet has one"};
const Option yesOption{"yes", "", "Accept a change that lowers declared capacity"};
const Option authorOption{"author", "NAME", "Who changes it (needed)"};
const Option reasonOption{"reason", "TEXT", "Why (needed)"};
const Option waitOption{"wait", "", "Return when every live process has it in force; name those that do not"};
const Option limitOption{"limit", "DURATION", "How long --wait waits, by default 30s"};
const Option changeIdOption{"change-id", "ID", "Repeat a change whose outcome was unknown, under its own id"};

std::vector<Option> withPlatform(std::vector<Option> options)
{
    options.push_back(platformOption);
    options.push_back(configOption);
    return options;
}

struct FileSettings {
    std::string platform;
    std::string operatorKey; // empty: not named
};

FileSettings readSettings(const std::string &path)
{
    FileSettings settings;
    std::string lines;
    auto reader = SettingsReader::fromFile(path);
    if (reader) {
        settings.platform = reader->address("platform", "address");
        settings.operatorKey = reader->text("keys", "operator", "");
    }
    for (const Fault &fault : reader ? reader->finish() : reader.error().faults) {
        lines += (lines.empty() ? "" : "\n") + fault.line();
    }
    if (!lines.empty()) {
        throw CommandError(ExitCode::BadInput, lines);
    }
    return settings;
}

// What an option, --config, the environment or the default settings file says, whichever comes first and says
// something.
std::string findSetting(const CommandLine &line, const std::string &option, const char *variable,
                        std::string FileSettings::*member)
{
    std::string value = line.text(option);
    if (value.empty() && line.has("config")) {
        value = readSettings(line.text("config")).*member;
    }
    const char *environment = std::getenv(variable);
    if (value.empty() && environment != nullptr) {
        value = environment;
    }
    if (value.empty() && std::filesystem::exists(defaultSettings)) {
        value = readSettings(defaultSettings).*member;
    }
    return value;
}

} // namespace

const std::vector<Command> &commands()
{
    static const std::vector<Command> table{
        {"check", "FILE", "Read a declaration and report every fault in it.", 1, 1, {}, runCheck},
        {"diff", "FILE", "Show what a declaration changes for whom, against the one in force or another file.", 1, 1,
         withPlatform({{"against", "FILE", "Compare with this file; asks no platform"}}), runDiff},
        {"apply", "FILE", "Put a declaration in force as a new version.", 1, 1,
         withPlatform({authorOption,
                       reasonOption,
                       yesOption,
                       waitOption,
                       limitOption,
                       changeIdOption,
                       operatorKeyOption,
                       {"base", "VERSION",
                        "The version that the change started from; by default the version line of "
                        "the file, else the one in force now"}}),
         runApply},
        {"rollback", "VERSION", "Put the text of an earlier version in force again, as a new version.", 1, 1,
         withPlatform(
             {authorOption, reasonOption, yesOption, waitOption, limitOption, changeIdOption, operatorKeyOption}),
         runRollback},
        {"show", "", "Print the declaration in force, with its version line.", 0, 0,
         withPlatform({{"version", "VERSION", "An earlier one"}}), runShow},
        {"history", "", "List the versions: number, change id with its time, author, reason.", 0, 0, withPlatform({}),
         runHistory},
        {"status", "", "Show every process, the version in force there, cells and owners, degraded modes.", 0, 0,
         withPlatform({}), runStatus},
        {"drain", "HOST", "Begin the planned stop of a host: no new work, nothing in progress is cut off.", 1, 1,
         withPlatform({{"wait", "", "Return when both processes have ended"}, limitOption, operatorKeyOption}),
         runDrain},
        {"report", "", "Service-level burn of every service and class, from all processes.", 0, 0,
         withPlatform({{"json", "", "As JSON"}, {"html", "FILE", "As one page with plots"}}), runReport},
        {"explain",
         "REQUEST-ID LOGFILE…",
         "Tell the life of a request from logs; - is standard input.",
         2,
         mostLogFiles,
         {},
         runExplain},
        {"timeline",
         "host|engine|endpoint NAME LOGFILE…",
         "Tell what happened to one host, engine or endpoint from logs; - is standard input.",
         3,
         mostLogFiles,
         {{"from", "TIME", "Not before; as a log line writes it"}, {"to", "TIME", "Not after"}},
         runTimeline},
        {"doubtful", "", "List the calls whose outcome is not known: key, since when, entry, request.", 0, 0,
         withPlatform({{"service", "SERVICE", "Only of this service"},
                       {"workspace", "WORKSPACE", "Only of this workspace; needs --service"},
                       {"after", "KEY", "Go on after this key of the table"},
                       {"most", "NUMBER", "At most so many, by default 100"},
                       {"json", "", "As JSON"}}),
         runDoubtful},
        {"settle", "SERVICE WORKSPACE KEY", "State whether a call in doubt was run; never sends anything.", 3, 3,
         withPlatform({{"ran", "", "It ran"},
                       {"not-run", "", "It did not run; the key stays closed"},
                       {"answer", "FILE", "With --ran: what a repeat of the key is answered"},
                       authorOption,
                       reasonOption,
                       changeIdOption}),
         runSettle},
        {"completion", "", "Print the completion script for bash.", 0, 0, {}, runCompletion},
    };
    return table;
}

std::string platformAddress(const CommandLine &line)
{
    std::string address = findSetting(line, "platform", "FESCUESILL_PLATFORM", &FileSettings::platform);
    if (!isAddress(address, false)) {
        throw CommandError(ExitCode::BadInput,
                           fmt::format("platform address: '{}'; allowed: IP:PORT from --platform, --config, "
                                       "FESCUESILL_PLATFORM or {}",
                                       address, defaultSettings));
    }
    return address;
}

std::optional<KeyRing> operatorKeys(const CommandLine &line)
{
    const std::string path = findSetting(line, "operator-key", "FESCUESILL_OPERATOR_KEY", &FileSettings::operatorKey);
    if (path.empty()) {
        return std::nullopt;
    }
    auto keys = readKeyFile(path);
    if (!keys) {
        throw CommandError(ExitCode::BadInput, fmt::format("operators' key: {}: {}", path, keys.error().text));
    }
    return std::move(*keys);
}

} // namespace fescuesill::ctl
