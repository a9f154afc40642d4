#include "wire/adminserver.h"

#include "wire/testing/loopback.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <gtest/gtest.h>

#include <array>
#include <deque>

namespace fescuesill
{
namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

std::unique_ptr<AdminServer> serverAt(const std::string &address)
{
    AdminServer::Options options;
    options.address = address;
    options.status = [] {
        return "{}";
    };
    options.drain = [] {
    };
    options.config = [](const std::string & /*record*/) {
        return true;
    };
    return AdminServer::create(std::move(options), std::make_shared<prometheus::Registry>()).value();
}

// The status of the answer to a request that is the last on its connection.
unsigned statusOf(const std::string &address, const std::string &request)
{
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(endpointOf(address));
    asio::write(socket, asio::buffer(request));
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    boost::system::error_code failed;
    http::read(socket, buffer, response, failed);
    const unsigned status = failed ? 0 : response.result_int();
    std::array<char, 64> rest{};
    while (!failed) {
        socket.read_some(asio::buffer(rest), failed); // to the end, with which the server's coroutine ends
    }
    return status;
}

// Guards against clients that keep a port for commands and metrics from operators and scrapers: connections that send
// nothing, and bodies that stop short of their end.
TEST(AdminServer, AnswersBesideClientsThatHoldOn)
{
    const std::vector<std::string> begins = {"", "GET /healthz HT",
                                             "POST /config HTTP/1.1\r\nContent-Length: 1000\r\n\r\nx"};
    const std::string address = freeAddress();
    const auto server = serverAt(address);
    asio::io_context context;
    std::deque<tcp::socket> holding;
    for (int i = 0; i < 200; ++i) {
        holding.emplace_back(context).connect(endpointOf(address));
        boost::system::error_code ignored;
        asio::write(holding.back(), asio::buffer(begins[static_cast<std::size_t>(i) % begins.size()]), ignored);
    }
    EXPECT_EQ(statusOf(address, "GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n"), 200U);
    EXPECT_EQ(statusOf(address, "POST /drain HTTP/1.1\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx"), 200U);
}

// Guards against bodies that are read for requests that need none.
TEST(AdminServer, ReadsNoBodyOfARequestThatOnlyReads)
{
    const std::string address = freeAddress();
    const auto server = serverAt(address);
    EXPECT_EQ(statusOf(address, "GET /metrics HTTP/1.1\r\nContent-Length: 1000000\r\n\r\nx"), 413U);
    EXPECT_EQ(statusOf(address, "GET /metrics HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nx"), 413U);
    EXPECT_EQ(statusOf(address, "GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n"), 200U);
}

} // namespace
} // namespace fescuesill
