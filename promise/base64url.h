#pragma once

// Base64 with the URL-safe alphabet and without padding.
//
//     const std::string text = toBase64Url(bytes);
//     const std::optional<std::string> bytes = fromBase64Url(text);

#include <optional>
#include <string>
#include <string_view>

namespace fescuesill
{

std::string toBase64Url(std::string_view bytes);
// None if the text is not the canonical encoding of any bytes.
std::optional<std::string> fromBase64Url(std::string_view text);

} // namespace fescuesill
