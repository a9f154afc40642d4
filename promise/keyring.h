#pragma once

// One or two secrets that a fleet shares. The first signs; both are accepted, so that a key is rotated one host at a
// time.
//
//     const auto keys = KeyRing::parse(contentOfTheFile);      // KeyRingError says what is wrong, never the key
//     const KeyRing probes = keys->derive("probes");
//     const std::string mac = probes.signing().key.sign({payload});
//     if (const MacKey *key = probes.find(idOfTheSender)) { key->check(...) }
//
// A file of keys has one key a line, as hexadecimal digits; lines that are empty or begin with '#' or ';' are left out.

#include "promise/mackey.h"

#include <cstdint>
#include <tl/expected.hpp>
#include <vector>

namespace fescuesill
{

// Tells keys apart on the wire without saying anything about them.
using KeyId = std::uint32_t;

struct KeyRingError {
    std::string text;
};

class KeyRing
{
public:
    struct Entry {
        KeyId id = 0;
        MacKey key;
    };

    // HMAC-SHA256 keys shorter than its output weaken it.
    static constexpr std::size_t minKeyBytes = 32;
    // A longer one is hashed first and gains nothing.
    static constexpr std::size_t maxKeyBytes = 64;
    // The one that signs, and the one that comes or goes.
    static constexpr std::size_t maxKeys = 2;

    static tl::expected<KeyRing, KeyRingError> parse(std::string_view text);

    KeyRing derive(std::string_view purpose) const;
    const Entry &signing() const;
    // Null where no such key is held.
    const MacKey *find(KeyId id) const;
    std::vector<KeyId> ids() const;
    std::size_t size() const;

private:
    KeyRing() = default;

    std::vector<Entry> entries;
};

} // namespace fescuesill
