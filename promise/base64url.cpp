#include "promise/base64url.h"

#include <algorithm>
#include <openssl/evp.h>

// OpenSSL encodes and decodes the standard alphabet with padding; this file translates the alphabet and the padding.
// Several texts decode to the same bytes because of the unused bits of the last character, but a token must have
// exactly one encoding. Decoding therefore encodes the result again and rejects texts that differ.

namespace fescuesill
{
namespace
{

const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

unsigned char *bytesOf(std::string &text)
{
    return reinterpret_cast<unsigned char *>(text.data());
}

} // namespace

std::string toBase64Url(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(bytesOf(text), bytesOf(bytes), static_cast<int>(bytes.size()));
    text.resize(length);
    while (!text.empty() && text.back() == '=') {
        text.pop_back();
    }
    std::replace(text.begin(), text.end(), '+', '-');
    std::replace(text.begin(), text.end(), '/', '_');
    return text;
}

std::optional<std::string> fromBase64Url(std::string_view text)
{
    std::string padded(text);
    std::replace(padded.begin(), padded.end(), '-', '+');
    std::replace(padded.begin(), padded.end(), '_', '/');
    const std::size_t padding = (4 - padded.size() % 4) % 4;
    padded.append(padding, '=');
    std::string bytes(padded.size() / 4 * 3, '\0');
    const int length = EVP_DecodeBlock(bytesOf(bytes), bytesOf(padded), static_cast<int>(padded.size()));
    if (length < 0 || static_cast<std::size_t>(length) < padding) {
        return std::nullopt;
    }
    bytes.resize(length - padding);
    if (toBase64Url(bytes) != text) {
        return std::nullopt;
    }
    return bytes;
}

} // namespace fescuesill
