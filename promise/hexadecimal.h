#pragma once

// Hexadecimal digits in upper or lower case.
//
//     hexValue('f');               // 15; -1 if the character is not a digit
//     fromHexadecimal("0fA0");     // two bytes; none for an odd number of digits or any other character

#include <optional>
#include <string>
#include <string_view>

namespace fescuesill
{

int hexValue(char c);
std::optional<std::string> fromHexadecimal(std::string_view digits);

} // namespace fescuesill
