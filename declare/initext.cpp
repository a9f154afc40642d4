// inih parses the lines; this file feeds it one line at a time and keeps what inih does not report:
//
// - The line number. The reader callback is asked for each line in turn, so the line last handed out is the one that
//   a handler call belongs to.
// - Every malformed line. inih reports only the first. A line that should have led to a handler call and did not is
//   malformed, which shows when the next line is asked for.
// - What inih would cut off silently: a line over its buffer, a long section name or key, a NUL byte. Such a line is a
//   fault and is replaced by an empty one.
// - Sections without a key, for which inih makes no call.
//
// inih's continuation lines reach the handler as another value of the same key. They are joined with a blank. An
// indented "key = value" would be swallowed as a continuation, so a continuation that holds '=' is refused.
//
// A parser of our own was rejected: inih is the library for the format that the house style names.

#include "declare/initext.h"

#include <ini.h>

#include <algorithm>
#include <cstring>

namespace fescuesill
{

namespace
{

// INI_MAX_LINE of inih is 200 and counts "\r\n" and the final NUL.
constexpr std::size_t longestLine = 197;
// inih keeps section names and keys in buffers of 50 with the final NUL.
constexpr std::size_t longestName = 49;

constexpr const char *blanks = " \t\r\v\f";

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

// inih r55 leaves comments in continuation lines.
std::string_view withoutComment(std::string_view value)
{
    for (std::size_t i = 0; i < value.size(); ++i) {
        if (value[i] == ';' && (i == 0 || std::strchr(blanks, value[i - 1]) != nullptr)) {
            return trimmed(value.substr(0, i));
        }
    }
    return value;
}

class Feeder
{
public:
    Feeder(std::string_view text, const std::string &file, IniText &result)
        : rest(text)
        , file(file)
        , result(result)
    {
    }

    void run()
    {
        ini_parse_stream(&Feeder::readLine, this, &Feeder::handleValue, this);
        this->settlePending();
    }

private:
    static char *readLine(char *buffer, int size, void *self)
    {
        return static_cast<Feeder *>(self)->nextLine(buffer, static_cast<std::size_t>(size));
    }

    static int handleValue(void *self, const char * /*section*/, const char *name, const char *value)
    {
        static_cast<Feeder *>(self)->addValue(name, value);
        return 1;
    }

    char *nextLine(char *buffer, std::size_t size)
    {
        this->settlePending();
        if (this->rest.empty()) {
            return nullptr;
        }
        const auto end = std::min(this->rest.find('\n'), this->rest.size());
        this->current = this->rest.substr(0, end);
        this->rest.remove_prefix(std::min(end + 1, this->rest.size()));
        ++this->lineNumber;
        const std::string_view handed = this->inspect() ? this->current : std::string_view();
        const std::size_t length = std::min(handed.size(), size - 2);
        std::copy_n(handed.data(), length, buffer);
        buffer[length] = '\n';
        buffer[length + 1] = '\0';
        return buffer;
    }

    // Whether inih may see the current line.
    bool inspect()
    {
        if (this->current.size() > longestLine) {
            this->fault("", std::string(this->current), "a line of at most 197 bytes");
            return false;
        }
        if (this->current.find('\0') != std::string_view::npos) {
            this->fault("", std::string(this->current), "text without NUL bytes");
            return false;
        }
        const std::string_view content = trimmed(this->current);
        if (content.empty() || content.front() == ';' || content.front() == '#') {
            return true;
        }
        const bool indented = content.data() != this->current.data();
        this->continues = indented && this->hasKey;
        if (!this->continues && content.front() == '[') {
            return this->openSection(content);
        }
        this->pending = true;
        return true;
    }

    bool openSection(std::string_view content)
    {
        const std::string_view inside = content.substr(1, content.find(']') - 1);
        if (content.find(']') == std::string_view::npos || inside.empty() || inside.size() > longestName) {
            this->fault("", std::string(content), "[NAME] of 1 to 49 bytes");
            this->skipped = true;
            this->hasKey = false;
            return false;
        }
        const auto same = [&](const IniSection &section) {
            return section.name == inside;
        };
        const auto &known = this->result.sections;
        if (const auto earlier = std::find_if(known.begin(), known.end(), same); earlier != known.end()) {
            this->fault("", std::string(content),
                        "each section once; first on line " + std::to_string(earlier->lineNumber));
        }
        this->result.sections.push_back({std::string(inside), this->lineNumber, {}});
        this->skipped = false;
        this->hasKey = false;
        return true;
    }

    void addValue(const std::string &name, std::string_view value)
    {
        this->pending = false;
        if (this->result.sections.empty() && !this->skipped) {
            this->fault(name, std::string(value), "keys below a [section]");
            return;
        }
        if (this->skipped) {
            return;
        }
        auto &entries = this->result.sections.back().entries;
        if (this->continues) {
            this->continueValue(withoutComment(value), entries);
            return;
        }
        const auto same = [&](const IniEntry &entry) {
            return entry.key == name;
        };
        if (const auto earlier = std::find_if(entries.begin(), entries.end(), same); earlier != entries.end()) {
            this->fault(name, std::string(value),
                        "each key once; first on line " + std::to_string(earlier->lineNumber));
        }
        if (name.empty() || name.size() >= longestName) {
            this->fault(name, std::string(value), "a key of 1 to 48 bytes");
        }
        entries.push_back({name, std::string(value), this->lineNumber});
        this->hasKey = true;
    }

    void continueValue(std::string_view value, std::vector<IniEntry> &entries)
    {
        if (value.find('=') != std::string_view::npos) {
            this->fault(entries.back().key, std::string(value),
                        "an indented line continues the value above; begin a key at the start of its line");
            return;
        }
        entries.back().value += (entries.back().value.empty() ? "" : " ") + std::string(value);
    }

    void settlePending()
    {
        if (this->pending) {
            this->fault("", std::string(this->current), "[section], key = value, or a comment from ; or #");
        }
        this->pending = false;
    }

    void fault(const std::string &key, const std::string &given, const std::string &allowed)
    {
        const std::string section = this->result.sections.empty() ? "" : this->result.sections.back().name;
        this->result.faults.push_back({this->file, this->lineNumber, section, key, given, allowed});
    }

    std::string_view rest;
    const std::string &file;
    IniText &result;
    std::string_view current;
    int lineNumber = 0;
    bool pending = false; // the current line has to lead to a value
    bool continues = false; // the current line continues the value above
    bool hasKey = false; // the current section has a key that could be continued
    bool skipped = false; // below a malformed heading
};

} // namespace

IniText IniText::read(std::string_view text, const std::string &file)
{
    constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";
    if (text.substr(0, byteOrderMark.size()) == byteOrderMark) {
        text.remove_prefix(byteOrderMark.size());
    }
    IniText result;
    Feeder(text, file, result).run();
    return result;
}

} // namespace fescuesill
