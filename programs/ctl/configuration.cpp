// The change itself is the core's (promise/configchange.h): this file does each call it asks for and says how the call
// went.

#include "configuration.h"

#include "declare/settings.h"
#include "declare/values.h"
#include "exitcode.h"
#include "tablecall.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace fescuesill::ctl
{

namespace
{

constexpr std::string_view versionPrefix = "; fescuesill version ";

std::optional<ConfigRecord> readRecord(Session &session, const std::string &key)
{
    const std::optional<Row> row = session.get(key);
    if (!row) {
        return std::nullopt;
    }
    auto record = decodeConfigRecord(row->value);
    if (!record) {
        throw CommandError(ExitCode::Failed, fmt::format("row {} does not parse: {}", key, record.error().text));
    }
    return std::move(*record);
}

} // namespace

std::optional<ConfigRecord> readCurrent(Session &session)
{
    return readRecord(session, configCurrentKey);
}

std::optional<ConfigRecord> readVersion(Session &session, ConfigVersion version)
{
    return readRecord(session, configHistoryKey(version));
}

config_action::Finish submit(Session &session, const ConfigRecord &record, ConfigVersion base)
{
    ConfigChange change(record, base, ConfigChange::Options{});
    ConfigChangeAction action = change.start();
    for (;;) {
        if (const auto *finish = std::get_if<config_action::Finish>(&action)) {
            return *finish;
        }
        if (const auto *read = std::get_if<config_action::Read>(&action)) {
            action = change.on(tryRead(session, read->key));
        } else {
            action = change.on(tryWrite(session, std::get<config_action::Write>(action).writes));
        }
    }
}

Declaration parseDeclaration(const std::string &text, const std::string &name)
{
    auto declaration = Declaration::parse(text, name);
    if (!declaration) {
        std::string lines;
        for (const Fault &fault : declaration.error().faults) {
            lines += (lines.empty() ? "" : "\n") + fault.line();
        }
        throw CommandError(ExitCode::BadInput, lines);
    }
    return std::move(*declaration);
}

Declaration readDeclaration(const std::string &path)
{
    const std::ifstream file(path);
    if (!file || std::filesystem::is_directory(path)) {
        throw CommandError(ExitCode::BadInput, path + ": can't be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseDeclaration(text.str(), path);
}

std::string versionLine(ConfigVersion version)
{
    return fmt::format("{}{}\n", versionPrefix, version.value());
}

std::optional<ConfigVersion> versionOf(const std::string &text)
{
    const std::string_view line = std::string_view(text).substr(0, text.find('\n'));
    if (line.substr(0, versionPrefix.size()) != versionPrefix) {
        return std::nullopt;
    }
    const auto number = parseNumber(line.substr(versionPrefix.size()));
    return number ? std::optional<ConfigVersion>(ConfigVersion(*number)) : std::nullopt;
}

std::string withoutVersionLine(const std::string &text)
{
    return versionOf(text) ? text.substr(std::min(text.find('\n') + 1, text.size())) : text;
}

} // namespace fescuesill::ctl
