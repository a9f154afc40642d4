// A frame is its size, four bytes with the highest first, and that many bytes. A size of zero is the end.
//
// Without frames, the end of a tunnel would be the end of its TCP connection, which also ends in order if the host that
// carries the tunnel is killed.

#include "wire/tunnelframes.h"

#include <algorithm>

namespace fescuesill
{
namespace
{

constexpr std::size_t headSize = 4; // bytes
constexpr int bitsPerByte = 8;

std::string headOf(std::uint32_t size)
{
    std::string head(headSize, '\0');
    for (std::size_t at = headSize; at-- > 0; size >>= bitsPerByte) {
        head[at] = static_cast<char>(size & 0xffU);
    }
    return head;
}

} // namespace

std::string tunnelFrameHead(std::size_t size)
{
    return headOf(static_cast<std::uint32_t>(size));
}

std::string tunnelEnd()
{
    return headOf(0);
}

bool TunnelFrames::take(std::string_view received, std::string &payload)
{
    while (!received.empty()) {
        if (this->ended) {
            return false;
        }
        if (this->left > 0) {
            const std::size_t count = std::min(this->left, received.size());
            payload.append(received.substr(0, count));
            received.remove_prefix(count);
            this->left -= count;
            continue;
        }
        this->size = this->size << bitsPerByte | static_cast<unsigned char>(received.front());
        received.remove_prefix(1);
        if (++this->headBytes < headSize) {
            continue;
        }
        if (this->size > maxTunnelFrame) {
            return false;
        }
        this->left = this->size;
        this->ended = this->size == 0;
        this->size = 0;
        this->headBytes = 0;
    }
    return true;
}

} // namespace fescuesill
