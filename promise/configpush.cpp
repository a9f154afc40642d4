// Failure: the table takes a change and fails for everybody a moment later, before a host has read it. It shows as a
// change that was accepted and is in force nowhere until the table is back. So the command hands what was accepted to a
// few schedulers itself, and the probes carry the version on from there.
//
// An operator's proof covers the target and not the body. The target names the body's digest, so that nobody can put
// another text behind the proof of this one.

#include "promise/configpush.h"

#include <array>
#include <openssl/sha.h>

namespace fescuesill
{
namespace
{

constexpr std::string_view path = "/config?sha256=";

} // namespace

bool isConfigPush(std::string_view target)
{
    return target.substr(0, path.size()) == path;
}

std::string configPushTarget(std::string_view record)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(record.data()), record.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string target(path);
    for (const unsigned char byte : digest) {
        target += digits[byte >> 4U];
        target += digits[byte & 0xfU];
    }
    return target;
}

} // namespace fescuesill
