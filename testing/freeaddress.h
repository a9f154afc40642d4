#pragma once

// Addresses for tests that need one before anything listens on it.
//
//     const std::string first = freeAddress();   // "127.129.7.44:20000"
//     const std::string second = freeAddress();  // another port

#include <unistd.h>

#include <atomic>
#include <string>

namespace fescuesill
{

// The loopback address is this process's own, made from its number. An address found by binding and letting go again is
// anybody's until it is used: a connection of a parallel test, or of the test itself, may leave from that very port,
// and the listener then cannot have it. Connections on loopback leave from 127.0.0.1, so none takes a port of this
// address.
inline std::string freeAddress()
{
    constexpr int firstPort = 20000;
    constexpr unsigned firstNetwork = 128; // 127.128 to 127.191: 22 bits of process number
    static std::atomic<int> given{0};
    const auto process = static_cast<unsigned>(::getpid());
    const unsigned network = firstNetwork + (process >> 16U & 0x3fU);
    return "127." + std::to_string(network) + "." + std::to_string(process >> 8U & 0xffU) + "."
        + std::to_string(process & 0xffU) + ":" + std::to_string(firstPort + given++);
}

} // namespace fescuesill
