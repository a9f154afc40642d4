// If the table accepts a change and fails before any host has read it, the change is in force nowhere until the table
// recovers. Therefore the operator's command sends the accepted change directly to a few schedulers, and the probes
// spread the version from there.
//
// An operator's proof covers the target but not the body. The target includes the digest of the body, so that the proof
// cannot be reused with another body.

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
