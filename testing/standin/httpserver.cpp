// Each connection is one coroutine that reads a request, calls the handler, and goes on to the next request of the same
// connection. Everything runs in one thread, so handlers share their data without locks.
//
// Writing is by hand rather than by Beast's serializer: an engine writes one small chunk for each token, and a
// benchmark runs through a thousand such streams in one process. Reading is by Beast's parser, whose limits are set
// here.

#include "testing/standin/httpserver.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <charconv>
#include <fmt/format.h>
#include <memory>
#include <stdexcept>
#include <utility>

namespace fescuesill::standin
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        int value = 0;
        if (text[i] == '%' && i + 2 < text.size()
            && std::from_chars(&text[i + 1], &text[i + 1] + 2, value, 16).ptr == &text[i + 1] + 2) {
            decoded.push_back(static_cast<char>(value));
            i += 2;
        } else {
            decoded.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return decoded;
}

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
    return lower;
}

HttpRequest converted(http::request<http::string_body> &&message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    splitTarget(request.target, request.path, request.query);
    for (const auto &field : message) {
        const auto name = field.name_string();
        const auto value = field.value();
        request.headers[lowerCase({name.data(), name.size()})] = std::string(value);
    }
    request.body = std::move(message.body());
    return request;
}

void serveConnection(asio::ip::tcp::socket &socket, const HttpServer::Handler &handler, std::uint64_t number,
                     const asio::yield_context &yield)
{
    beast::flat_buffer buffer;
    while (socket.is_open()) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(maximumBodyBytes);
        error_code error;
        http::async_read(socket, buffer, parser, yield[error]);
        if (error) {
            return;
        }
        const bool keepAlive = parser.get().keep_alive();
        Exchange exchange(socket, converted(parser.release()), yield, number);
        handler(exchange);
        if (!keepAlive) {
            return;
        }
    }
}

} // namespace

std::string HttpRequest::header(const std::string &lowerCaseName) const
{
    const auto found = this->headers.find(lowerCaseName);
    return found == this->headers.end() ? std::string() : found->second;
}

std::string HttpRequest::parameter(const std::string &name, const std::string &fallback) const
{
    const auto found = this->query.find(name);
    return found == this->query.end() ? fallback : found->second;
}

std::int64_t HttpRequest::number(const std::string &name, std::int64_t fallback) const
{
    const std::string text = this->parameter(name);
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc() && !text.empty() ? value : fallback;
}

void Waker::wait(const asio::yield_context &yield)
{
    error_code error;
    this->timer.async_wait(yield[error]);
}

void Waker::wake()
{
    this->timer.cancel();
}

Exchange::Exchange(asio::ip::tcp::socket &socket, HttpRequest request, asio::yield_context yield,
                   std::uint64_t connection)
    : socket(socket)
    , received(std::move(request))
    , yield(std::move(yield))
    , connection(connection)
{
}

const HttpRequest &Exchange::request() const
{
    return this->received;
}

asio::yield_context Exchange::coroutine() const
{
    return this->yield;
}

std::uint64_t Exchange::connectionNumber() const
{
    return this->connection;
}

bool Exchange::isOpen() const
{
    return this->socket.is_open();
}

bool Exchange::isAbandoned()
{
    char byte = 0;
    error_code error;
    this->socket.non_blocking(true, error);
    this->socket.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
    return error && error != asio::error::would_block;
}

void Exchange::reply(int status, std::string_view body, std::string_view contentType)
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(status));
    this->write(fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n\r\n{}", status,
                            std::string_view(reason.data(), reason.size()), contentType, body.size(), body));
}

void Exchange::beginStream()
{
    this->write("HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n");
}

void Exchange::writeChunk(std::string_view data)
{
    this->write(fmt::format("{:x}\r\n{}\r\n", data.size(), data));
}

void Exchange::endStream()
{
    this->write("0\r\n\r\n");
}

void Exchange::cut()
{
    error_code ignored;
    this->socket.close(ignored);
}

void Exchange::fallSilent()
{
    // Nothing is read either, so the wait ends only with an error or an end of file from the other side.
    error_code error;
    while (!error && this->socket.is_open()) {
        this->socket.async_wait(asio::ip::tcp::socket::wait_error, this->yield[error]);
    }
    this->cut();
}

void Exchange::sleep(std::chrono::microseconds time)
{
    asio::steady_timer timer(this->socket.get_executor(), time);
    error_code error;
    timer.async_wait(this->yield[error]);
}

void Exchange::write(std::string_view data)
{
    if (!this->socket.is_open()) {
        return;
    }
    error_code error;
    asio::async_write(this->socket, asio::buffer(data.data(), data.size()), this->yield[error]);
    if (error) {
        this->cut();
    }
}

HttpServer::HttpServer(asio::io_context &io, const std::string &address, Handler handler)
    : io(io)
    , acceptor(io, parseEndpoint(address))
    , handler(std::move(handler))
{
    this->accept();
}

std::string HttpServer::address() const
{
    const auto endpoint = this->acceptor.local_endpoint();
    return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

std::uint64_t HttpServer::connectionsOpened() const
{
    return this->connections;
}

void HttpServer::accept()
{
    this->acceptor.async_accept([this](const error_code &error, asio::ip::tcp::socket socket) {
        if (!error) {
            socket.set_option(asio::ip::tcp::no_delay(true));
            const std::uint64_t number = ++this->connections;
            auto shared = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
            asio::spawn(this->io, [this, shared, number](const asio::yield_context &yield) {
                serveConnection(*shared, this->handler, number, yield);
            });
        }
        if (this->acceptor.is_open()) {
            this->accept();
        }
    });
}

asio::ip::tcp::endpoint parseEndpoint(const std::string &address)
{
    const auto colon = address.rfind(':');
    unsigned port = 0;
    error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    const char *const end = address.data() + address.size();
    if (colon == std::string::npos || error || std::from_chars(address.data() + colon + 1, end, port).ptr != end
        || port > 65535) {
        throw std::invalid_argument("not IP:PORT: " + address);
    }
    return {ip, static_cast<unsigned short>(port)};
}

void splitTarget(const std::string &target, std::string &path, std::map<std::string, std::string> &query)
{
    const std::string_view text(target);
    const auto mark = text.find('?');
    path = percentDecoded(text.substr(0, mark));
    std::string_view rest = mark == std::string_view::npos ? std::string_view() : text.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        query[percentDecoded(pair.substr(0, equals))] =
            equals == std::string_view::npos ? std::string() : percentDecoded(pair.substr(equals + 1));
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
}

} // namespace fescuesill::standin
