// Each getter marks its key as known, so that finish() can tell a misspelt key from one that was read. The allowed
// values are put together where they are checked, so the message can't drift from the check.

#include "declare/sectionreader.h"

#include "declare/values.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace fescuesill
{

namespace
{

constexpr const char *nameForm = "letters, digits, '.', '_' and '-', a letter or digit first";

const char *addressForm(Port port)
{
    return port == Port::Any ? "IP:PORT, port 0 for any free one" : "IP:PORT with a port from 1 to 65535";
}

} // namespace

SectionReader::SectionReader(std::string file, IniSection section)
    : file(std::move(file))
    , section(std::move(section))
{
}

bool SectionReader::has(const std::string &key) const
{
    return this->find(key) != nullptr;
}

bool SectionReader::wasAsked() const
{
    return !this->asked.empty();
}

std::string SectionReader::text(const std::string &key)
{
    const IniEntry *entry = this->require(key, "any text");
    return entry != nullptr ? entry->value : "";
}

std::string SectionReader::text(const std::string &key, const std::string &fallback)
{
    const IniEntry *entry = this->ask(key);
    return entry != nullptr ? entry->value : fallback;
}

std::string SectionReader::name(const std::string &key)
{
    const IniEntry *entry = this->require(key, nameForm);
    if (entry != nullptr && !isName(entry->value)) {
        this->fault(key, entry->value, nameForm);
        return "";
    }
    return entry != nullptr ? entry->value : "";
}

std::string SectionReader::address(const std::string &key, Port port)
{
    const IniEntry *entry = this->require(key, addressForm(port));
    if (entry != nullptr && !isAddress(entry->value, port == Port::Any)) {
        this->fault(key, entry->value, addressForm(port));
        return "";
    }
    return entry != nullptr ? entry->value : "";
}

std::vector<std::string> SectionReader::addresses(const std::string &key)
{
    std::vector<std::string> items = this->list(key);
    for (const std::string &item : items) {
        if (!isAddress(item, false)) {
            this->fault(key, item, addressForm(Port::Fixed));
        }
    }
    return items;
}

std::vector<std::string> SectionReader::list(const std::string &key)
{
    const IniEntry *entry = this->ask(key);
    return entry != nullptr ? splitList(entry->value) : std::vector<std::string>();
}

std::vector<std::string> SectionReader::names(const std::string &key)
{
    std::vector<std::string> items = this->list(key);
    std::set<std::string> seen;
    for (const std::string &item : items) {
        if (!isName(item)) {
            this->fault(key, item, nameForm);
        } else if (!seen.insert(item).second) {
            this->fault(key, item, "each name once");
        }
    }
    return items;
}

std::int64_t SectionReader::number(const std::string &key, std::optional<std::int64_t> fallback,
                                   Range<std::int64_t> range)
{
    const std::string allowed = fmt::format("a whole number from {} to {}", range.least, range.most);
    const IniEntry *entry = fallback ? this->ask(key) : this->require(key, allowed);
    if (entry == nullptr) {
        return fallback.value_or(range.least);
    }
    const auto value = parseNumber(entry->value);
    if (!value || *value < range.least || *value > range.most) {
        this->fault(key, entry->value, allowed);
        return fallback.value_or(range.least);
    }
    return *value;
}

double SectionReader::fraction(const std::string &key, double fallback, Range<double> range)
{
    const IniEntry *entry = this->ask(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto value = parseFraction(entry->value);
    if (!value || *value < range.least || *value > range.most) {
        this->fault(key, entry->value, fmt::format("a number from {} to {}", range.least, range.most));
        return fallback;
    }
    return *value;
}

Duration SectionReader::duration(const std::string &key, std::optional<Duration> fallback, Range<Duration> range)
{
    const std::string allowed = fmt::format("a whole number with us, ms, s, min or h, from {} to {}",
                                            formatDuration(range.least), formatDuration(range.most));
    const IniEntry *entry = fallback ? this->ask(key) : this->require(key, allowed);
    if (entry == nullptr) {
        return fallback.value_or(range.least);
    }
    const auto value = parseDuration(entry->value);
    if (!value || *value < range.least || *value > range.most) {
        this->fault(key, entry->value, allowed);
        return fallback.value_or(range.least);
    }
    return *value;
}

bool SectionReader::flag(const std::string &key, bool fallback)
{
    const IniEntry *entry = this->ask(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto value = parseFlag(entry->value);
    if (!value) {
        this->fault(key, entry->value, "yes, no");
    }
    return value.value_or(fallback);
}

std::string SectionReader::choice(const std::string &key, const std::optional<std::string> &fallback,
                                  const std::vector<std::string> &allowed)
{
    const IniEntry *entry = fallback ? this->ask(key) : this->require(key, joinList(allowed));
    if (entry == nullptr) {
        return fallback.value_or(allowed.front());
    }
    if (std::find(allowed.begin(), allowed.end(), entry->value) == allowed.end()) {
        this->fault(key, entry->value, joinList(allowed));
        return fallback.value_or(allowed.front());
    }
    return entry->value;
}

void SectionReader::fault(const std::string &key, const std::string &given, const std::string &allowed)
{
    const IniEntry *entry = this->find(key);
    const int lineNumber = entry != nullptr ? entry->lineNumber : this->section.lineNumber;
    this->faults.push_back({this->file, lineNumber, this->section.name, key, given, allowed});
}

std::vector<Fault> SectionReader::finish()
{
    for (const IniEntry &entry : this->section.entries) {
        if (this->asked.count(entry.key) == 0) {
            const std::vector<std::string> known(this->asked.begin(), this->asked.end());
            this->faults.push_back({this->file, entry.lineNumber, this->section.name, entry.key, entry.value,
                                    known.empty() ? "no such section" : "the keys " + joinList(known)});
        }
    }
    return this->faults;
}

const IniEntry *SectionReader::ask(const std::string &key)
{
    this->asked.insert(key);
    return this->find(key);
}

const IniEntry *SectionReader::find(const std::string &key) const
{
    const auto &entries = this->section.entries;
    const auto found =
        std::find_if(entries.begin(), entries.end(), [&](const IniEntry &entry) { return entry.key == key; });
    return found != entries.end() ? &*found : nullptr;
}

const IniEntry *SectionReader::require(const std::string &key, const std::string &allowed)
{
    const IniEntry *entry = this->ask(key);
    if (entry == nullptr) {
        this->fault(key, "", allowed + " (missing)");
    }
    return entry;
}

} // namespace fescuesill
