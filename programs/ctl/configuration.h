#pragma once

// The declaration in the platform's table, as the commands see it.
//
//     const std::optional<ConfigRecord> current = readCurrent(session);
//     const Submission done = submit(session, record, base);      // drives promise/configchange.h

#include "session.h"

#include "declare/declaration.h"
#include "promise/configchange.h"

namespace fescuesill::ctl
{

// Throws CommandError where the row does not parse.
std::optional<ConfigRecord> readCurrent(Session &session);
std::optional<ConfigRecord> readVersion(Session &session, ConfigVersion version);

config_action::Finish submit(Session &session, const ConfigRecord &record, ConfigVersion base);

// From a file, or the operator's faults on standard error and CommandError with BadInput.
Declaration readDeclaration(const std::string &path);
Declaration parseDeclaration(const std::string &text, const std::string &name);

// The first line that `show` puts above a declaration, so that `apply` knows which version the operator started from.
std::string versionLine(ConfigVersion version);
std::optional<ConfigVersion> versionOf(const std::string &text);
std::string withoutVersionLine(const std::string &text);

} // namespace fescuesill::ctl
