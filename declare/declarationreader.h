#pragma once

// Reads the sections of a declaration one by one; Declaration::parse is the way in.
//
//     DeclarationReader reader(text, "services.ini");
//     const std::vector<Fault> faults = reader.read();    // of each section alone
//     reader.declaration();                               // what could be read
//     reader.places().at("engine athens-p1");             // where it stands, for checks of the whole

#include "declare/declaration.h"
#include "declare/sectionreader.h"

#include <map>

namespace fescuesill
{

// Where each section of a text stands, by its heading.
struct Places {
    std::string file;
    std::map<std::string, IniSection> sections;

    // A fault at a key of a section, or at its heading where the key is not written.
    Fault fault(const std::string &section, const std::string &key, const std::string &given,
                const std::string &allowed) const;
};

class DeclarationReader
{
public:
    DeclarationReader(std::string_view text, std::string file);

    std::vector<Fault> read();

    const Declaration &declaration() const
    {
        return this->result;
    }
    const Places &places() const
    {
        return this->where;
    }

private:
    void readSection(const IniSection &section);
    void readDataCentre(SectionReader &reader, const std::string &name);
    void readEngine(SectionReader &reader, const std::string &name);
    void readEndpoint(SectionReader &reader, const std::string &name);
    void readClass(SectionReader &reader, const std::string &name);
    void readService(SectionReader &reader, const std::string &name);
    void readRetries(SectionReader &reader, const std::string &name);

    std::string text;
    Declaration result;
    Places where;
    std::vector<Fault> faults;
};

} // namespace fescuesill
