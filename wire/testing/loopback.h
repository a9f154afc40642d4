#pragma once

// Helpers for tests on real sockets: endpoints on the loopback interface, and waiting for conditions that other threads
// make true.
//
//     const std::string address = freeAddress();
//     ASSERT_TRUE(eventually([&] { return server.count() == 1; }));

#include "testing/freeaddress.h"
#include "wire/address.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <thread>

namespace fescuesill
{

inline boost::asio::ip::tcp::endpoint endpointOf(const std::string &address)
{
    const Address parsed = Address::parse(address).value();
    return {boost::asio::ip::make_address(parsed.ip), parsed.port};
}

inline bool eventually(const std::function<bool()> &condition)
{
    // Long enough for a slow machine under a sanitizer. A test that passes never waits that long.
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
}

} // namespace fescuesill
