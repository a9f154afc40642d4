#pragma once

// Base64 with the alphabet for URLs and without padding.

#include <optional>
#include <string>
#include <string_view>

namespace fescuesill
{

std::string toBase64Url(std::string_view bytes);
// None where the text is not the one encoding of some bytes.
std::optional<std::string> fromBase64Url(std::string_view text);

} // namespace fescuesill
