#include "promise/hexadecimal.h"

namespace fescuesill
{

int hexValue(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

std::optional<std::string> fromHexadecimal(std::string_view digits)
{
    if (digits.size() % 2 != 0) {
        return std::nullopt;
    }
    std::string bytes;
    for (std::size_t i = 0; i < digits.size(); i += 2) {
        const int high = hexValue(digits[i]);
        const int low = hexValue(digits[i + 1]);
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        bytes.push_back(static_cast<char>(high * 16 + low));
    }
    return bytes;
}

} // namespace fescuesill
