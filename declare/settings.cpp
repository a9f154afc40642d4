// One SectionReader for each section. A section that a getter names and the file lacks is made empty, so that its
// required keys are reported. A section that no getter names reports each of its keys, and itself when it is empty.

#include "declare/settings.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace fescuesill
{

tl::expected<SettingsReader, DeclareError> SettingsReader::fromFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file || std::filesystem::is_directory(path)) {
        const std::string reason = file ? "a directory" : std::strerror(errno);
        return tl::unexpected(DeclareError{{{path, 0, "", "", reason, "a file that can be read"}}});
    }
    std::ostringstream content;
    content << file.rdbuf();
    return fromText(content.str(), path);
}

tl::expected<SettingsReader, DeclareError> SettingsReader::fromText(std::string_view text, const std::string &file)
{
    IniText ini = IniText::read(text, file);
    SettingsReader reader;
    reader.file = file;
    reader.malformed = std::move(ini.faults);
    for (IniSection &section : ini.sections) {
        const std::string name = section.name;
        reader.sections.emplace(name, SectionReader(file, std::move(section)));
    }
    return reader;
}

std::string SettingsReader::text(const std::string &section, const std::string &key)
{
    return this->section(section).text(key);
}

std::string SettingsReader::text(const std::string &section, const std::string &key, const std::string &fallback)
{
    return this->section(section).text(key, fallback);
}

std::string SettingsReader::address(const std::string &section, const std::string &key)
{
    return this->section(section).address(key, Port::Any);
}

std::vector<std::string> SettingsReader::addresses(const std::string &section, const std::string &key)
{
    return this->section(section).addresses(key);
}

double SettingsReader::fraction(const std::string &section, const std::string &key, double fallback,
                                Range<double> range)
{
    return this->section(section).fraction(key, fallback, range);
}

Duration SettingsReader::decimal(const std::string &section, const std::string &key, Duration unit, Duration fallback,
                                 Range<Duration> range)
{
    const auto inUnits = [unit](Duration value) {
        return static_cast<double>(value.count()) / unit.count();
    };
    const double number =
        this->section(section).fraction(key, inUnits(fallback), {inUnits(range.least), inUnits(range.most)});
    return Duration(static_cast<std::int64_t>(number * static_cast<double>(unit.count())));
}

std::int64_t SettingsReader::number(const std::string &section, const std::string &key, std::int64_t fallback,
                                    Range<std::int64_t> range)
{
    return this->section(section).number(key, fallback, range);
}

Duration SettingsReader::duration(const std::string &section, const std::string &key, Duration fallback,
                                  Range<Duration> range)
{
    return this->section(section).duration(key, fallback, range);
}

bool SettingsReader::flag(const std::string &section, const std::string &key, bool fallback)
{
    return this->section(section).flag(key, fallback);
}

std::string SettingsReader::choice(const std::string &section, const std::string &key, const std::string &fallback,
                                   const std::vector<std::string> &allowed)
{
    return this->section(section).choice(key, fallback, allowed);
}

void SettingsReader::fault(const std::string &section, const std::string &key, const std::string &given,
                           const std::string &allowed)
{
    this->section(section).fault(key, given, allowed);
}

std::vector<Fault> SettingsReader::finish()
{
    std::vector<Fault> faults = this->malformed;
    for (auto &[name, reader] : this->sections) {
        const std::vector<Fault> found = reader.finish();
        faults.insert(faults.end(), found.begin(), found.end());
        if (reader.source().entries.empty() && found.empty() && reader.source().lineNumber > 0 && !reader.wasAsked()) {
            faults.push_back({this->file, reader.source().lineNumber, name, "", name, "a section of this program"});
        }
    }
    sortByLine(faults);
    return faults;
}

SectionReader &SettingsReader::section(const std::string &name)
{
    const auto found = this->sections.find(name);
    if (found != this->sections.end()) {
        return found->second;
    }
    return this->sections.emplace(name, SectionReader(this->file, IniSection{name, 0, {}})).first->second;
}

} // namespace fescuesill
