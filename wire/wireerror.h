#pragma once

// Errors of the I/O layer.

#include <stdexcept>
#include <string>

namespace fescuesill
{

// A port that cannot be opened, an address that cannot be parsed, or a malformed message from a peer.
class WireError : public std::runtime_error
{
public:
    explicit WireError(const std::string &what)
        : std::runtime_error(what)
    {
    }
};

} // namespace fescuesill
