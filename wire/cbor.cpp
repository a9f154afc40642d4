// Walks the heads of the items and skips their contents, with one count for each open list or map of the items that are
// still to come. Stops where the decoder fails as well: at bytes that are missing and at heads that do not exist.

#include "wire/cbor.h"

#include "wire/wireerror.h"

#include <array>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>

namespace fescuesill
{
namespace
{

constexpr std::uint64_t untilBreak = std::numeric_limits<std::uint64_t>::max();
constexpr unsigned char breakByte = 0xff;

enum Major {
    Bytes = 2,
    Text = 3,
    List = 4,
    Map = 5,
};

} // namespace

bool exceedsNesting(std::string_view cbor)
{
    std::array<std::uint64_t, maxCborNesting> left{}; // items, of each open list or map
    std::size_t depth = 0;
    std::size_t at = 0;
    do {
        if (at >= cbor.size()) {
            return false;
        }
        const auto head = static_cast<unsigned char>(cbor[at++]);
        if (head == breakByte) {
            if (depth == 0 || left[depth - 1] != untilBreak) {
                return false;
            }
            left[depth - 1] = 0;
        } else {
            const int major = head >> 5;
            const unsigned info = head & 0x1fU;
            const bool isUntilBreak = info == 31 && major >= Bytes && major <= Map;
            if (info > 27 && !isUntilBreak) {
                return false;
            }
            std::uint64_t argument = info;
            if (info >= 24 && !isUntilBreak) {
                const std::size_t size = std::size_t{1} << (info - 24);
                if (cbor.size() - at < size) {
                    return false;
                }
                argument = 0;
                for (std::size_t index = 0; index < size; ++index) {
                    argument = argument << 8 | static_cast<unsigned char>(cbor[at++]);
                }
            }
            if (depth > 0 && left[depth - 1] != untilBreak) {
                --left[depth - 1];
            }
            if ((major == Bytes || major == Text) && !isUntilBreak) {
                if (argument > cbor.size() - at) {
                    return false;
                }
                at += argument;
            } else if (major >= Bytes && major <= Map) {
                if (depth == left.size()) {
                    return true;
                }
                const bool isCountable = argument <= cbor.size();
                const std::uint64_t items = major == Map && isCountable ? 2 * argument : argument;
                left[depth++] = isUntilBreak ? untilBreak : items;
            }
        }
        while (depth > 0 && left[depth - 1] == 0) {
            --depth;
        }
    } while (depth > 0);
    return false;
}

nlohmann::json decodeCbor(std::string_view bytes)
{
    if (exceedsNesting(bytes)) {
        throw WireError("nested too deep");
    }
    return nlohmann::json::from_cbor(bytes.begin(), bytes.end());
}

} // namespace fescuesill
