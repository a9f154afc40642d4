#pragma once

// The keys of one section, read by type.
//
//     SectionReader reader("services.ini", section);
//     const std::string address = reader.address("address", Port::Fixed);
//     const auto faults = reader.finish();
//
// A getter never fails: it notes the fault and returns the fallback. finish() adds a fault for each key that no getter
// asked for.

#include "declare/initext.h"
#include "fescuesill/units.h"

#include <optional>
#include <set>

namespace fescuesill
{

template<typename T>
struct Range {
    T least;
    T most;
};

enum class Port {
    Fixed,
    Any, // 0 lets the kernel choose
};

class SectionReader
{
public:
    SectionReader(std::string file, IniSection section);

    const IniSection &source() const
    {
        return this->section;
    }
    bool has(const std::string &key) const;
    // Whether any getter asked this section for a key.
    bool wasAsked() const;

    // A key that must be there.
    std::string text(const std::string &key);
    std::string text(const std::string &key, const std::string &fallback);
    // A key that must be there and hold a name.
    std::string name(const std::string &key);
    std::string address(const std::string &key, Port port);
    std::vector<std::string> addresses(const std::string &key);
    std::vector<std::string> list(const std::string &key);
    std::vector<std::string> names(const std::string &key);
    std::int64_t number(const std::string &key, std::optional<std::int64_t> fallback, Range<std::int64_t> range);
    double fraction(const std::string &key, double fallback, Range<double> range);
    Duration duration(const std::string &key, std::optional<Duration> fallback, Range<Duration> range);
    bool flag(const std::string &key, bool fallback);
    // Without a fallback the key must be there.
    std::string choice(const std::string &key, const std::optional<std::string> &fallback,
                       const std::vector<std::string> &allowed);

    // Notes a fault at the key's line, or at the section's where the key is missing.
    void fault(const std::string &key, const std::string &given, const std::string &allowed);
    std::vector<Fault> finish();
    const std::vector<Fault> &faultsSoFar() const
    {
        return this->faults;
    }

private:
    const IniEntry *ask(const std::string &key);
    const IniEntry *find(const std::string &key) const;
    const IniEntry *require(const std::string &key, const std::string &allowed);

    std::string file;
    IniSection section;
    std::set<std::string> asked;
    std::vector<Fault> faults;
};

} // namespace fescuesill
