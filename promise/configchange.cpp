#include "promise/configchange.h"

// Accepted means that config/current holds this change as version base + 1. The change is written together with its
// history row in one commit, with compare-and-set on the row that holds the base version. Two operators who start from
// the same version compete for the same row, and one of them gets a conflict.
//
// The reply to the write can be lost after the write took effect. Without further checks the operator would be told
// that a change in force was not made, or that it conflicts with itself. The change ID in the row identifies its
// change. If a later change has been accepted in the meantime, the history row of this version still holds the change
// ID.
//
// After a write without a reply "not made" is never reported, because that write may still take effect. A retry with
// the same condition either takes effect once or conflicts.

namespace fescuesill
{

ConfigChange::ConfigChange(ConfigRecord record, ConfigVersion base, Options options)
    : record(std::move(record))
    , base(base)
    , options(options)
{
    this->record.version = base + ConfigVersion(1);
}

ConfigChangeAction ConfigChange::start()
{
    return this->read(configCurrentKey);
}

ConfigChangeAction ConfigChange::on(const ConfigChangeEvent &event)
{
    if (const auto *got = std::get_if<table::RowRead>(&event)) {
        return this->readingHistory ? this->onHistory(got->row) : this->onCurrent(got->row);
    }
    if (std::holds_alternative<table::Written>(event)) {
        return this->finish(ConfigOutcome::Accepted);
    }
    if (std::holds_alternative<table::NoReply>(event)) {
        this->mayHaveWritten = true;
    }
    // After a conflict, a refusal or a missing reply the row shows the current state.
    return this->read(this->readingHistory ? configHistoryKey(this->record.version) : configCurrentKey);
}

ConfigChangeAction ConfigChange::read(const std::string &key)
{
    if (++this->tableCalls > this->options.maxTableCalls) {
        return this->giveUp();
    }
    return config_action::Read{key};
}

ConfigChangeAction ConfigChange::onCurrent(const std::optional<TableRow> &row)
{
    if (!row) {
        if (this->base != ConfigVersion(0)) {
            return this->finish(ConfigOutcome::Malformed);
        }
        return this->write(absent);
    }
    const auto found = decodeConfigRecord(row->value);
    if (!found) {
        return this->finish(ConfigOutcome::Malformed);
    }
    if (found->changeId == this->record.changeId) {
        return this->finish(ConfigOutcome::Accepted);
    }
    if (found->version == this->base) {
        return this->write(row->version);
    }
    this->other = *found;
    if (found->version > this->record.version) {
        this->readingHistory = true;
        return this->read(configHistoryKey(this->record.version));
    }
    return this->finish(ConfigOutcome::Lost);
}

ConfigChangeAction ConfigChange::onHistory(const std::optional<TableRow> &row)
{
    if (row) {
        const auto found = decodeConfigRecord(row->value);
        if (found && found->changeId == this->record.changeId) {
            return this->finish(ConfigOutcome::Accepted);
        }
    }
    return this->finish(ConfigOutcome::Lost);
}

ConfigChangeAction ConfigChange::write(RowVersion ifVersion)
{
    const std::string text = encode(this->record);
    return config_action::Write{
        {{configCurrentKey, text, ifVersion}, {configHistoryKey(this->record.version), text, absent}}};
}

ConfigChangeAction ConfigChange::giveUp()
{
    return this->finish(this->mayHaveWritten ? ConfigOutcome::Unknown : ConfigOutcome::NotMade);
}

ConfigChangeAction ConfigChange::finish(ConfigOutcome outcome)
{
    return config_action::Finish{outcome, outcome == ConfigOutcome::Lost ? this->other : std::nullopt};
}

} // namespace fescuesill
