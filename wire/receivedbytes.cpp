// The header of the C library has an older tcp_info, without the counters, and can't be included beside the kernel's.

#include "wire/receivedbytes.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>

namespace fescuesill
{

std::uint64_t receivedBytes(int descriptor)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    const bool isKnown = ::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0
        && size >= offsetof(tcp_info, tcpi_bytes_received) + sizeof(info.tcpi_bytes_received);
    return isKnown ? info.tcpi_bytes_received : 0;
}

} // namespace fescuesill
