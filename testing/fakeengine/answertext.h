#pragma once

// The text that a stand-in engine answers, so that a caller can tell its own whole answer from any other.
//
//     const std::uint64_t seed = answerSeed("... nonce=5f3a90 ...");    // what the engine works out from the prompt
//     fragmentText(seed, 0) + fragmentText(seed, 1);                    // the first two tokens of the answer
//     answerDigest(seed, 2);                                            // the digest in the end line after two
//
// An answer has as many fragments as the request allows output tokens. A prompt may carry "nonce=NAME": then the seed
// depends on the last NAME alone, so a caller needs not know the template that an entry puts around chat messages.

#include <array>
#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>
#include <xxhash.h>

namespace fescuesill::standin
{

constexpr std::size_t fragmentLength = 7;

inline std::uint64_t answerSeed(std::string_view prompt)
{
    constexpr std::string_view mark = "nonce=";
    const auto found = prompt.rfind(mark);
    if (found == std::string_view::npos) {
        return XXH3_64bits(prompt.data(), prompt.size());
    }
    std::string_view name = prompt.substr(found + mark.size());
    name = name.substr(0, name.find_first_not_of("0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-"));
    return XXH3_64bits(name.data(), name.size());
}

// A space and six hexadecimal digits.
inline std::string fragmentText(std::uint64_t seed, std::int64_t number)
{
    constexpr std::uint64_t mixer = 0x9e3779b97f4a7c15U;
    constexpr std::string_view digits = "0123456789abcdef";
    std::uint64_t mixed = (seed ^ (static_cast<std::uint64_t>(number) + 1U)) * mixer;
    mixed ^= mixed >> 29U;
    mixed *= mixer;
    std::string text(fragmentLength, ' ');
    for (std::size_t i = 1; i < fragmentLength; ++i) {
        mixed = (mixed << 4U) | (mixed >> 60U);
        text[i] = digits[mixed & 15U];
    }
    return text;
}

inline std::string answerText(std::uint64_t seed, std::int64_t fragments)
{
    std::string text;
    text.reserve(static_cast<std::size_t>(fragments) * fragmentLength);
    for (std::int64_t i = 0; i < fragments; ++i) {
        text += fragmentText(seed, i);
    }
    return text;
}

inline std::string hexadecimal(std::uint64_t value)
{
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(value));
    return digits.data();
}

inline std::string answerDigest(std::uint64_t seed, std::int64_t fragments)
{
    const std::string text = answerText(seed, fragments);
    return hexadecimal(XXH3_64bits(text.data(), text.size()));
}

} // namespace fescuesill::standin
