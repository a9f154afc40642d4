#pragma once

// For tests on real sockets: an address of this machine, and waiting for what other threads do.
//
//     const std::string address = freeAddress();
//     ASSERT_TRUE(eventually([&] { return server.count() == 1; }));

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <thread>

namespace fescuesill
{

// Bound by the kernel and given back at once.
inline std::string freeAddress()
{
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

inline bool eventually(const std::function<bool()> &condition)
{
    // Long enough for a slow machine under a sanitizer; a test that passes never waits for it.
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
