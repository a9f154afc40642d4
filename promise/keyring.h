#pragma once

// One or two secrets that a fleet shares. The first signs and both are accepted, so that a key can be rotated one host
// at a time.
//
//     const auto keys = KeyRing::parse(contentOfTheFile);      // KeyRingError names the fault, never the key
//     const KeyRing probes = keys->derive("probes");
//     const std::string mac = probes.signing().key.sign({payload});
//     if (const MacKey *key = probes.find(idOfTheSender)) { key->check(...) }
//
// A key file has one key per line, as hexadecimal digits. Empty lines and lines that begin with '#' or ';' are ignored.

#include "promise/mackey.h"

#include <cstdint>
#include <tl/expected.hpp>
#include <vector>

namespace fescuesill
{

// Identifies a key on the wire without revealing anything about it.
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

    // HMAC-SHA256 is weaker with a key shorter than its output.
    static constexpr std::size_t minKeyBytes = 32;
    // HMAC hashes a longer key first, so it gains nothing.
    static constexpr std::size_t maxKeyBytes = 64;
    // The key that signs, and the one that is being introduced or retired.
    static constexpr std::size_t maxKeys = 2;

    static tl::expected<KeyRing, KeyRingError> parse(std::string_view text);

    KeyRing derive(std::string_view purpose) const;
    const Entry &signing() const;
    // Returns nullptr if the ring has no such key.
    const MacKey *find(KeyId id) const;
    std::vector<KeyId> ids() const;
    std::size_t size() const;

private:
    KeyRing() = default;

    std::vector<Entry> entries;
};

} // namespace fescuesill
