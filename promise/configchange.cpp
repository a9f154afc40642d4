#include "promise/configchange.h"

// Accepted means that config/current holds this change at base + 1, written with compare-and-set on the row as the
// operator's base stood in it, together with its history row. Two operators who start from one version race for the
// same row, and one of them gets the conflict.
//
// Failure: the reply to the write is lost after it took effect. It shows as a change that is in force and that its
// operator is told was not made, or as an operator told that he lost to himself. The change id in the row tells whose
// it is. If a later change has come on top meanwhile, the history row of our version still has it.
//
// After a write without reply "not made" is never said: that write may still land. Written again with the same
// condition it either lands once or conflicts.

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
    // Conflict, refusal, silence: the row says where things stand.
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
