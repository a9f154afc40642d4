#pragma once

// Frames around the bytes that a tunnel carries back from an endpoint, with an end of their own.
//
//     std::string sent = tunnelFrameHead(bytes.size()) + bytes;   // a frame
//     sent += tunnelEnd();                                        // the endpoint closed its connection in order
//
//     TunnelFrames frames;
//     if (!frames.take(received, payload)) { ... not frames ... }
//     if (frames.hasEnded()) { ... the endpoint's bytes are complete ... }

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace fescuesill
{

// Stated by both sides when a tunnel is opened, so that one which knows other frames or none is not used.
inline constexpr const char *tunnelFramingHeader = "Tunnel-Framing";
inline constexpr const char *tunnelFraming = "length";

inline constexpr std::size_t maxTunnelFrame = 64 << 10; // bytes in one frame

// The head of a frame of this size, from 1 to maxTunnelFrame bytes.
std::string tunnelFrameHead(std::size_t size);
std::string tunnelEnd();

class TunnelFrames
{
public:
    // Appends the endpoint's bytes in these received ones, however they are split. Returns false if they are not
    // frames; then the tunnel can't be used further.
    bool take(std::string_view received, std::string &payload);
    bool hasEnded() const
    {
        return this->ended;
    }

private:
    std::uint32_t size = 0; // of the current frame, as far as its head was read
    std::size_t headBytes = 0; // of the current head that were read
    std::size_t left = 0; // bytes of the current frame still to come
    bool ended = false;
};

} // namespace fescuesill
