#pragma once

// Faults of the layer that does I/O.

#include <stdexcept>
#include <string>

namespace fescuesill
{

// A port that cannot be opened, an address that cannot be read, a peer that spoke nonsense.
class WireError : public std::runtime_error
{
public:
    explicit WireError(const std::string &what)
        : std::runtime_error(what)
    {
    }
};

} // namespace fescuesill
