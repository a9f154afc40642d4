#pragma once

// The raw sections and keys of an INI text, with their line numbers.
//
//     const IniText ini = IniText::read(text, "entry.ini");
//     for (const IniSection &section : ini.sections) { ... section.name, section.entries ... }
//     for (const Fault &fault : ini.faults) { ... a malformed line, a key given twice ... }
//
// Form: "[section]", "key = value", comments from ';' or '#' at the start of a line or from " ;" in one. A line that
// begins with a blank continues the value above, so long lists can be broken after a comma.

#include "declare/fault.h"

namespace fescuesill
{

struct IniEntry {
    std::string key;
    std::string value;
    int lineNumber = 0;
};

struct IniSection {
    std::string name;
    int lineNumber = 0;
    std::vector<IniEntry> entries;
};

struct IniText {
    static IniText read(std::string_view text, const std::string &file);

    std::vector<IniSection> sections;
    std::vector<Fault> faults;
};

} // namespace fescuesill
