#include "promise/mackey.h"

#include <array>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <stdexcept>

// Keying a context hashes the two pads of the key, which costs as much as a short message. It is done once, and each
// signature copies the keyed context. Resetting and reusing one context would be cheaper, but not safe when threads
// share a key.

namespace fescuesill
{
namespace
{

constexpr std::size_t digestBytes = 32;

using Context = std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)>;

EVP_MAC *hmac()
{
    static EVP_MAC *const algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    return algorithm;
}

void require(bool isDone)
{
    if (!isDone) {
        throw std::runtime_error("the cryptographic library does not provide HMAC-SHA256");
    }
}

} // namespace

MacKey::MacKey(std::string_view secret)
{
    Context made(EVP_MAC_CTX_new(hmac()), EVP_MAC_CTX_free);
    require(made != nullptr);
    std::array<char, 7> name{"SHA256"};
    const std::array<OSSL_PARAM, 2> params{
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, name.data(), 0),
        OSSL_PARAM_construct_end(),
    };
    const auto *const bytes = reinterpret_cast<const unsigned char *>(secret.data());
    require(EVP_MAC_init(made.get(), bytes, secret.size(), params.data()) == 1);
    this->keyed = std::move(made);
}

std::string MacKey::digest(std::initializer_list<std::string_view> parts) const
{
    const Context context(EVP_MAC_CTX_dup(this->keyed.get()), EVP_MAC_CTX_free);
    require(context != nullptr);
    for (const std::string_view part : parts) {
        const auto *const bytes = reinterpret_cast<const unsigned char *>(part.data());
        require(EVP_MAC_update(context.get(), bytes, part.size()) == 1);
    }
    std::string out(digestBytes, '\0');
    std::size_t length = 0;
    require(EVP_MAC_final(context.get(), reinterpret_cast<unsigned char *>(out.data()), &length, out.size()) == 1);
    return out;
}

std::string MacKey::sign(std::initializer_list<std::string_view> parts) const
{
    std::string mac = this->digest(parts);
    mac.resize(macBytes);
    return mac;
}

bool MacKey::check(std::string_view mac, std::initializer_list<std::string_view> parts) const
{
    const std::string expected = this->sign(parts);
    return mac.size() == macBytes && CRYPTO_memcmp(mac.data(), expected.data(), macBytes) == 0;
}

MacKey MacKey::derive(std::string_view purpose, std::string_view context) const
{
    const std::string_view end("\0", 1); // a purpose has no zero byte, so this separates it from the context
    return MacKey(this->digest({purpose, end, context}));
}

} // namespace fescuesill
