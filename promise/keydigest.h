#pragma once

// Digests of callers' keys, so that no process holds, sends or logs a key.
//
//     const KeyDigest digest = digestOf("k9m68k7b2ex5");
//     Log::info("...", {{"key", fingerprintOf(digest)}});

#include "fescuesill/ids.h"

#include <string>
#include <string_view>

namespace fescuesill
{

// 16 bytes of the SHA-256 hash. Keys are random, so their digests need no salt.
KeyDigest digestOf(std::string_view key);
// Eight hexadecimal characters, which tell keys apart in logs.
std::string fingerprintOf(const KeyDigest &digest);

} // namespace fescuesill
