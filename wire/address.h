#pragma once

// A numeric address and port, in the IP:PORT form used by settings and host lists.
//
//     const auto address = Address::parse("10.0.0.1:8080");     // WireError for host names, spaces and missing ports

#include "wire/wireerror.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace fescuesill
{

struct Address {
    static tl::expected<Address, WireError> parse(std::string_view text);

    std::string text() const;

    std::string ip;
    std::uint16_t port = 0;
};

} // namespace fescuesill
