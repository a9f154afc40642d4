#pragma once

// Counts the bytes of several connections. Each object that carries them adds to one counter, on one thread.
//
//     Traffic traffic;
//     HttpClient::Options options;
//     options.traffic = &traffic;

#include <cstdint>

namespace fescuesill
{

struct Traffic {
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
};

// Does nothing without a counter.
inline void countReceived(Traffic *traffic, std::uint64_t bytes)
{
    if (traffic != nullptr) {
        traffic->received += bytes;
    }
}
inline void countSent(Traffic *traffic, std::uint64_t bytes)
{
    if (traffic != nullptr) {
        traffic->sent += bytes;
    }
}

} // namespace fescuesill
