#pragma once

// Numbers and texts one after the other in a string of bytes, big-endian, each text behind its length.
//
//     std::string out;
//     putNumber(out, 7, 2);
//     putText(out, "athens-a");
//     FieldReader reader(out);
//     const std::uint64_t number = reader.number(2);
//     const std::string text = reader.text();
//     if (!reader.isWhole()) { ... cut short, or more behind it ... }

#include <cstdint>
#include <string>
#include <string_view>

namespace fescuesill
{

void putNumber(std::string &out, std::uint64_t number, int bytes);
// A text of at most 65,535 bytes.
void putText(std::string &out, std::string_view text);

// Takes fields off the front; after the first that does not fit all are empty.
class FieldReader
{
public:
    explicit FieldReader(std::string_view bytes);

    std::uint64_t number(int size);
    std::string text();
    // Exactly as many bytes.
    std::string_view take(std::size_t size);

    // Whether all that was taken was there.
    bool fits() const;
    // And nothing is left.
    bool isWhole() const;

private:
    std::string_view bytes;
    bool isShort = false;
};

} // namespace fescuesill
