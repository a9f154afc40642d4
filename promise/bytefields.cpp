#include "promise/bytefields.h"

namespace fescuesill
{

void putNumber(std::string &out, std::uint64_t number, int bytes)
{
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
        out.push_back(static_cast<char>((number >> shift) & 0xff));
    }
}

void putText(std::string &out, std::string_view text)
{
    putNumber(out, text.size(), 2);
    out += text;
}

FieldReader::FieldReader(std::string_view bytes)
    : bytes(bytes)
{
}

std::uint64_t FieldReader::number(int size)
{
    std::uint64_t number = 0;
    for (const char c : this->take(static_cast<std::size_t>(size))) {
        number = number << 8 | static_cast<unsigned char>(c);
    }
    return number;
}

std::string FieldReader::text()
{
    return std::string(this->take(this->number(2)));
}

std::string_view FieldReader::take(std::size_t size)
{
    if (this->isShort || size > this->bytes.size()) {
        this->isShort = true;
        return {};
    }
    const std::string_view field = this->bytes.substr(0, size);
    this->bytes.remove_prefix(size);
    return field;
}

bool FieldReader::fits() const
{
    return !this->isShort;
}

bool FieldReader::isWhole() const
{
    return !this->isShort && this->bytes.empty();
}

} // namespace fescuesill
