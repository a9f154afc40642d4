#pragma once

// How much a connection has received, whether or not this process has read it.
//
//     const std::uint64_t before = receivedBytes(socket.native_handle());
//     ...
//     if (receivedBytes(socket.native_handle()) != before) { ... the other end is alive ... }

#include <cstdint>

namespace fescuesill
{

// Bytes that the kernel has received on the connected TCP socket since it was opened; 0 if the kernel does not tell.
std::uint64_t receivedBytes(int descriptor);

} // namespace fescuesill
