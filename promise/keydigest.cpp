#include "promise/keydigest.h"

#include <array>
#include <openssl/sha.h>

namespace fescuesill
{
namespace
{

constexpr std::size_t digestBytes = 16;
constexpr std::size_t fingerprintBytes = 4;

} // namespace

KeyDigest digestOf(std::string_view key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), hash.data());
    return KeyDigest(std::string(reinterpret_cast<const char *>(hash.data()), digestBytes));
}

std::string fingerprintOf(const KeyDigest &digest)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const char byte : digest.value().substr(0, fingerprintBytes)) {
        const auto value = static_cast<unsigned char>(byte);
        text.push_back(digits[value >> 4]);
        text.push_back(digits[value & 15]);
    }
    return text;
}

} // namespace fescuesill
