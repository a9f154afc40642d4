#pragma once

// State machine of one configuration change by an operator, from its base version to the outcome: accepted, lost to
// another operator's change, or not made.
//
//     ConfigChange change(record, base, options);         // record.version is base + 1
//     ConfigChangeAction action = change.start();
//     while (!std::holds_alternative<config_action::Finish>(action)) { action = change.on(perform(action)); }

#include "promise/configrecord.h"
#include "promise/tablerow.h"

#include <optional>
#include <variant>
#include <vector>

namespace fescuesill
{

enum class ConfigOutcome {
    Accepted,
    Lost, // another change was accepted first; it is returned
    NotMade, // the table did not accept the write; nothing was written
    Unknown, // the table did not reply; retry with the same change ID
    Malformed, // the row in the table does not parse
};

namespace config_action
{
struct Read {
    std::string key;
};
// All writes in one atomic commit.
struct Write {
    std::vector<TableWrite> writes;
};
struct Finish {
    ConfigOutcome outcome;
    // With Lost: the record that is in force instead.
    std::optional<ConfigRecord> other;
};
} // namespace config_action

using ConfigChangeAction = std::variant<config_action::Read, config_action::Write, config_action::Finish>;
using ConfigChangeEvent =
    std::variant<table::RowRead, table::ReadFailed, table::Written, table::Conflict, table::Refused, table::NoReply>;

class ConfigChange
{
public:
    struct Options {
        // Includes reads; the operator can repeat the command.
        int maxTableCalls = 6;
    };

    ConfigChange(ConfigRecord record, ConfigVersion base, Options options);

    ConfigChangeAction start();
    ConfigChangeAction on(const ConfigChangeEvent &event);

private:
    ConfigChangeAction read(const std::string &key);
    ConfigChangeAction onCurrent(const std::optional<TableRow> &row);
    ConfigChangeAction onHistory(const std::optional<TableRow> &row);
    ConfigChangeAction write(RowVersion ifVersion);
    ConfigChangeAction giveUp();
    ConfigChangeAction finish(ConfigOutcome outcome);

    ConfigRecord record;
    ConfigVersion base;
    Options options;
    bool readingHistory = false;
    bool mayHaveWritten = false;
    int tableCalls = 0;
    std::optional<ConfigRecord> other;
};

} // namespace fescuesill
