#pragma once

// Hexadecimal digits, of either case.
//
//     hexValue('f');               // 15; -1 for what is no digit
//     fromHexadecimal("0fA0");     // two bytes; none for half a byte or another character

#include <optional>
#include <string>
#include <string_view>

namespace fescuesill
{

int hexValue(char c);
std::optional<std::string> fromHexadecimal(std::string_view digits);

} // namespace fescuesill
