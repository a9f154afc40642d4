#include "promise/keyring.h"

#include "promise/hexadecimal.h"

#include <algorithm>

// A key id is the first four bytes of the key's MAC over a fixed text. Two different keys of one file share an id with
// a probability of one in four thousand million. They are refused as if they were equal, and the operator generates
// another one.

namespace fescuesill
{
namespace
{

std::string_view trimmed(std::string_view line)
{
    constexpr std::string_view blanks = " \t\r";
    const std::size_t begin = line.find_first_not_of(blanks);
    if (begin == std::string_view::npos) {
        return {};
    }
    return line.substr(begin, line.find_last_not_of(blanks) - begin + 1);
}

KeyId idOf(const MacKey &key)
{
    KeyId id = 0;
    for (const char c : key.sign({"fescuesill key id"}).substr(0, sizeof(KeyId))) {
        id = id << 8 | static_cast<unsigned char>(c);
    }
    return id;
}

} // namespace

tl::expected<KeyRing, KeyRingError> KeyRing::parse(std::string_view text)
{
    KeyRing ring;
    int lineNumber = 0;
    const auto refuse = [&lineNumber](const std::string &reason) {
        return tl::unexpected(KeyRingError{"line " + std::to_string(lineNumber) + " " + reason});
    };
    while (!text.empty()) {
        ++lineNumber;
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = trimmed(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.empty() || line.front() == '#' || line.front() == ';') {
            continue;
        }
        const auto secret = fromHexadecimal(line);
        if (!secret) {
            return refuse("is not hexadecimal");
        }
        if (secret->size() < minKeyBytes || secret->size() > maxKeyBytes) {
            return refuse("has " + std::to_string(secret->size()) + " bytes");
        }
        if (ring.entries.size() == maxKeys) {
            return refuse("is a third key");
        }
        MacKey key(*secret);
        const KeyId id = idOf(key);
        if (ring.find(id) != nullptr) {
            return refuse("is the same key again");
        }
        ring.entries.push_back({id, std::move(key)});
    }
    if (ring.entries.empty()) {
        return tl::unexpected(KeyRingError{"no key in it"});
    }
    return ring;
}

KeyRing KeyRing::derive(std::string_view purpose) const
{
    KeyRing ring;
    for (const Entry &entry : this->entries) {
        ring.entries.push_back({entry.id, entry.key.derive(purpose)});
    }
    return ring;
}

const KeyRing::Entry &KeyRing::signing() const
{
    return this->entries.front();
}

const MacKey *KeyRing::find(KeyId id) const
{
    for (const Entry &entry : this->entries) {
        if (entry.id == id) {
            return &entry.key;
        }
    }
    return nullptr;
}

std::vector<KeyId> KeyRing::ids() const
{
    std::vector<KeyId> ids;
    ids.reserve(this->entries.size());
    for (const Entry &entry : this->entries) {
        ids.push_back(entry.id);
    }
    return ids;
}

std::size_t KeyRing::size() const
{
    return this->entries.size();
}

} // namespace fescuesill
