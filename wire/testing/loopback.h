#pragma once

// Helpers for tests on real sockets: endpoints on the loopback interface, and waiting for conditions that other threads
// make true.
//
//     const std::string address = freeAddress();
//     ASSERT_TRUE(eventually([&] { return server.count() == 1; }));

#include "testing/freeaddress.h"
#include "wire/address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <string>
#include <thread>

namespace fescuesill
{

inline boost::asio::ip::tcp::endpoint endpointOf(const std::string &address)
{
    const Address parsed = Address::parse(address).value();
    return {boost::asio::ip::make_address(parsed.ip), parsed.port};
}

// Sends the bytes of a client that is none of our programs, and reads to the end of its connection.
inline void sendToTheEnd(const std::string &address, const std::string &bytes)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(endpointOf(address));
    boost::system::error_code failed;
    boost::asio::write(socket, boost::asio::buffer(bytes), failed);
    std::array<char, 1024> answer{};
    while (!failed) {
        socket.read_some(boost::asio::buffer(answer), failed);
    }
}

// Opens a link of the websocket protocol.
inline const std::string websocketUpgrade = "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
                                            "Connection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
                                            "Sec-WebSocket-Version: 13\r\n\r\n";
// The header of a masked binary frame of 2^20 bytes.
inline const std::string megabyteFrame("\x82\xff\0\0\0\0\0\x10\0\0\0\0\0\0", 14);

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
