#pragma once

// Encodes and decodes the probes that schedulers send each other as datagrams.
//
//     const std::string bytes = encodeProbe(message);
//     const auto message = decodeProbe(bytes);          // WireError if the bytes are not a probe

#include "promise/membership.h"
#include "wire/wireerror.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace fescuesill
{

std::string encodeProbe(const ProbeMessage &message);
tl::expected<ProbeMessage, WireError> decodeProbe(std::string_view bytes);

} // namespace fescuesill
