#pragma once

// A small HTTP/1.1 server for stand-ins: one thread, one coroutine for each connection.
//
//     asio::io_context io;
//     HttpServer server(io, "127.0.0.1:0", [](Exchange &exchange) {
//         exchange.reply(200, R"({"path":")" + exchange.request().path + "\"}");
//     });
//     std::puts(server.address().c_str());    // 127.0.0.1:41873
//     io.run();
//
// A handler may wait inside its exchange; other connections go on. Bodies are limited to maximumBodyBytes.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace fescuesill::standin
{

namespace asio = boost::asio;

// A prompt of 100,000 tokens is some 0.5 MB; a declaration is smaller.
constexpr std::size_t maximumBodyBytes = 16U << 20U;

struct HttpRequest {
    std::string method;
    std::string target; // as sent, with the query
    std::string path; // decoded
    std::map<std::string, std::string> query; // decoded
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    std::string header(const std::string &lowerCaseName) const;
    std::string parameter(const std::string &name, const std::string &fallback = {}) const;
    // A parameter that is no number counts as the fallback.
    std::int64_t number(const std::string &name, std::int64_t fallback) const;
};

// Lets coroutines wait until something changes.
class Waker
{
public:
    explicit Waker(asio::io_context &io)
        : timer(io, std::chrono::steady_clock::time_point::max())
    {
    }

    void wait(const asio::yield_context &yield);
    void wake();

private:
    asio::steady_timer timer;
};

// One request and its answer.
class Exchange
{
public:
    Exchange(asio::ip::tcp::socket &socket, HttpRequest request, asio::yield_context yield, std::uint64_t connection);

    const HttpRequest &request() const;
    asio::yield_context coroutine() const;
    // Numbers connections in the order in which they were opened.
    std::uint64_t connectionNumber() const;
    bool isOpen() const;
    // The other end has closed the connection; looks without taking what it may have sent.
    bool isAbandoned();

    void reply(int status, std::string_view body, std::string_view contentType = "application/json");
    // An answer of unknown length: begin, chunks, end.
    void beginStream();
    void writeChunk(std::string_view data);
    void endStream();
    // Closes the connection without an answer, or in the middle of one.
    void cut();
    // Neither reads nor writes again and leaves the connection open until the other end closes it.
    void fallSilent();
    void sleep(std::chrono::microseconds time);

private:
    void write(std::string_view data);

    asio::ip::tcp::socket &socket;
    HttpRequest received;
    asio::yield_context yield;
    std::uint64_t connection;
};

class HttpServer
{
public:
    using Handler = std::function<void(Exchange &)>;

    // Listens on IP:PORT; port 0 lets the kernel choose. Throws boost::system::system_error when it can't.
    HttpServer(asio::io_context &io, const std::string &address, Handler handler);

    std::string address() const;
    std::uint64_t connectionsOpened() const;

private:
    void accept();

    asio::io_context &io;
    asio::ip::tcp::acceptor acceptor;
    Handler handler;
    std::uint64_t connections = 0;
};

// Reads IP:PORT. Throws std::invalid_argument.
asio::ip::tcp::endpoint parseEndpoint(const std::string &address);

// Splits a target into its decoded path and query.
void splitTarget(const std::string &target, std::string &path, std::map<std::string, std::string> &query);

} // namespace fescuesill::standin
