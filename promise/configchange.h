#pragma once

// An operator's change, from the version it started from to accepted, lost to another operator, or not made.
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
    Lost, // another change came first; it is shown
    NotMade, // the table could not take it; surely nothing was written
    Unknown, // the table did not answer; ask again with the same change id
    Malformed, // the row in the table does not parse
};

namespace config_action
{
struct Read {
    std::string key;
};
// All or nothing, as one commit.
struct Write {
    std::vector<TableWrite> writes;
};
struct Finish {
    ConfigOutcome outcome;
    // With Lost: what is in force instead.
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
        // Table calls altogether; the operator's command is at hand to try again.
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
