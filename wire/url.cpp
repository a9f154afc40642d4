#include "wire/url.h"

#include "promise/hexadecimal.h"

namespace fescuesill
{
namespace
{

constexpr std::string_view hexDigits = "0123456789ABCDEF";

bool isUnreserved(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '.'
        || c == '_' || c == '~';
}

} // namespace

std::string percentEncode(std::string_view text)
{
    std::string encoded;
    encoded.reserve(text.size());
    for (const char c : text) {
        if (isUnreserved(c)) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += hexDigits[byte >> 4U];
        encoded += hexDigits[byte & 15U];
    }
    return encoded;
}

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        if (i + 2 >= text.size() || hexValue(text[i + 1]) < 0 || hexValue(text[i + 2]) < 0) {
            return std::nullopt;
        }
        decoded += static_cast<char>(hexValue(text[i + 1]) * 16 + hexValue(text[i + 2]));
        i += 2;
    }
    return decoded;
}

std::optional<std::string> Target::query(std::string_view name) const
{
    for (const QueryItem &item : this->items) {
        if (item.name == name) {
            return item.value;
        }
    }
    return std::nullopt;
}

Target parseTarget(std::string_view target)
{
    Target parsed;
    const std::size_t mark = target.find('?');
    parsed.path = target.substr(0, mark);
    std::string_view rest = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string_view item = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        const std::size_t equals = item.find('=');
        if (equals == std::string_view::npos) {
            continue;
        }
        auto value = percentDecode(item.substr(equals + 1));
        if (value) {
            parsed.items.push_back({std::string(item.substr(0, equals)), std::move(*value)});
        }
    }
    return parsed;
}

} // namespace fescuesill
