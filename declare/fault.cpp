#include "declare/fault.h"

#include <fmt/format.h>

#include <algorithm>

namespace fescuesill
{

namespace
{

// A fault is one line for the terminal and for tools, whatever bytes were given.
constexpr std::size_t longestShown = 80;

std::string printable(const std::string &text)
{
    std::string shown;
    for (const char letter : text.substr(0, longestShown)) {
        const auto byte = static_cast<unsigned char>(letter);
        if (byte < 0x20 || byte == 0x7f) {
            shown += fmt::format("\\x{:02x}", byte);
        } else {
            shown += letter;
        }
    }
    return text.size() > longestShown ? shown + "…" : shown;
}

} // namespace

std::string Fault::line() const
{
    std::string where = fmt::format("{}:{}:", this->file, this->lineNumber);
    if (!this->section.empty()) {
        where += fmt::format(" [{}]", printable(this->section));
    }
    if (!this->key.empty()) {
        where += fmt::format(" {}:", printable(this->key));
    }
    return fmt::format("{} '{}'; allowed: {}", where, printable(this->given), this->allowed);
}

void sortByLine(std::vector<Fault> &faults)
{
    std::stable_sort(faults.begin(), faults.end(),
                     [](const Fault &a, const Fault &b) { return a.lineNumber < b.lineNumber; });
}

} // namespace fescuesill
