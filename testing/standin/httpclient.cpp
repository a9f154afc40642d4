// A connection for each call: stand-ins and the load tool must see every connection fail on its own. The limit closes
// the socket, which ends whatever the coroutine waits for.

#include "testing/standin/httpclient.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <fmt/format.h>
#include <memory>

namespace fescuesill::standin
{

namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{

std::map<std::string, std::string> headersOf(const http::response<http::string_body> &message)
{
    std::map<std::string, std::string> headers;
    for (const auto &field : message) {
        std::string name(field.name_string());
        for (char &letter : name) {
            letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
        }
        headers[name] = std::string(field.value());
    }
    return headers;
}

} // namespace

std::string wireText(const std::string &address, const ClientCall &call)
{
    std::string text =
        fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n", call.method, call.target, address);
    for (const auto &[name, value] : call.headers) {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
        text += fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n", call.body.size());
    }
    return text + "\r\n" + call.body;
}

ClientReply fetch(asio::io_context &io, const std::string &address, const ClientCall &call,
                  const asio::yield_context &yield)
{
    ClientReply reply;
    const auto socket = std::make_shared<asio::ip::tcp::socket>(io);
    asio::steady_timer limit(io, call.limit);
    limit.async_wait([socket](const error_code &error) {
        if (!error) {
            error_code ignored;
            socket->close(ignored);
        }
    });
    error_code error;
    socket->async_connect(parseEndpoint(address), yield[error]);
    if (error) {
        return reply;
    }
    reply.wasSent = true;
    asio::async_write(*socket, asio::buffer(wireText(address, call)), yield[error]);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maximumBodyBytes);
    if (!error) {
        http::async_read(*socket, buffer, parser, yield[error]);
    }
    if (!error) {
        reply.status = static_cast<int>(parser.get().result_int());
        reply.headers = headersOf(parser.get());
        reply.body = std::move(parser.get().body());
    }
    return reply;
}

} // namespace fescuesill::standin
