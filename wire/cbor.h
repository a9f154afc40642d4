#pragma once

// Decodes CBOR that another process has written. Its nesting is bounded, because the decoder calls itself for each
// level.
//
//     const nlohmann::json array = decodeCbor(bytes);

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace fescuesill
{

// Of lists, maps and texts in pieces. Our own messages have four at most.
constexpr std::size_t maxCborNesting = 16;

// Whether the bytes nest deeper than maxCborNesting. Bytes that are no CBOR do not; they are left to the decoder.
bool exceedsNesting(std::string_view cbor);

// Throws WireError for bytes that exceed the nesting, and nlohmann::json::exception for those that are no CBOR.
nlohmann::json decodeCbor(std::string_view bytes);

} // namespace fescuesill
