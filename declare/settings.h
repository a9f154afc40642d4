#pragma once

// The settings of one process, from its INI file, checked whole.
//
//     SettingsReader reader = SettingsReader::fromFile("entry.ini").value();
//     const std::string callers = reader.address("listen", "callers");
//     const Duration grace = reader.duration("resume", "grace", 30s, {1s, 10min});
//     if (const auto faults = reader.finish(); !faults.empty()) { ... exit code 2 ... }
//
// A getter never fails: it notes the fault and returns the default. finish() adds a fault for each key that no getter
// asked for, so an unknown or misspelt key is never silently ignored.

#include "declare/sectionreader.h"

#include <tl/expected.hpp>

#include <map>

namespace fescuesill
{

class SettingsReader
{
public:
    // Refused only where the file can't be read; every other fault comes from finish().
    static tl::expected<SettingsReader, DeclareError> fromFile(const std::string &path);
    static tl::expected<SettingsReader, DeclareError> fromText(std::string_view text, const std::string &file);

    // A key that must be there.
    std::string text(const std::string &section, const std::string &key);
    std::string text(const std::string &section, const std::string &key, const std::string &fallback);
    // IP:PORT that must be there; port 0 lets the kernel choose.
    std::string address(const std::string &section, const std::string &key);
    // A comma-separated list of IP:PORT; may be missing.
    std::vector<std::string> addresses(const std::string &section, const std::string &key);
    std::int64_t number(const std::string &section, const std::string &key, std::int64_t fallback,
                        Range<std::int64_t> range);
    double fraction(const std::string &section, const std::string &key, double fallback, Range<double> range);
    // A decimal number of the unit that the key names: grace_s = 8, contact_ms = 3000.
    Duration decimal(const std::string &section, const std::string &key, Duration unit, Duration fallback,
                     Range<Duration> range);
    // Written with a unit: 250us, 30ms, 5s, 10min, 1h.
    Duration duration(const std::string &section, const std::string &key, Duration fallback, Range<Duration> range);
    bool flag(const std::string &section, const std::string &key, bool fallback);
    std::string choice(const std::string &section, const std::string &key, const std::string &fallback,
                       const std::vector<std::string> &allowed);

    // Notes a fault that a caller found in the value of a key.
    void fault(const std::string &section, const std::string &key, const std::string &given,
               const std::string &allowed);
    // Every fault found, in the order of the file.
    std::vector<Fault> finish();

private:
    SettingsReader() = default;
    SectionReader &section(const std::string &name);

    std::string file;
    std::map<std::string, SectionReader> sections;
    std::vector<Fault> malformed;
};

} // namespace fescuesill
