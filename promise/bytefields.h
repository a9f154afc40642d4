#pragma once

// Encodes numbers and texts one after the other in a byte string: numbers big-endian, texts with a length prefix.
//
//     std::string out;
//     putNumber(out, 7, 2);
//     putText(out, "athens-a");
//     FieldReader reader(out);
//     const std::uint64_t number = reader.number(2);
//     const std::string text = reader.text();
//     if (!reader.isWhole()) { ... truncated, or trailing bytes ... }

#include <cstdint>
#include <string>
#include <string_view>

namespace fescuesill
{

void putNumber(std::string &out, std::uint64_t number, int bytes);
// The text is at most 65,535 bytes long.
void putText(std::string &out, std::string_view text);

// Reads fields from the front. After the first field that does not fit, all further fields are empty.
class FieldReader
{
public:
    explicit FieldReader(std::string_view bytes);

    std::uint64_t number(int size);
    std::string text();
    // Reads exactly `size` bytes.
    std::string_view take(std::size_t size);

    // Whether every field read so far was present.
    bool fits() const;
    // Whether every field read so far was present and no bytes are left.
    bool isWhole() const;

private:
    std::string_view bytes;
    bool isShort = false;
};

} // namespace fescuesill
