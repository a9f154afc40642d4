#pragma once

// One caller's connection and the server state that it belongs to; private to the sources of the server.

#include "wire/httpserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <unordered_set>

namespace fescuesill
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using RequestParser = http::request_parser<http::string_body>;

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
    State(asio::io_context &context, Options limits, Handler serve)
        : io(context)
        , options(std::move(limits))
        , handler(std::move(serve))
        , acceptor(context)
        , pause(context)
    {
    }

    void accept();
    void take(tcp::socket socket);

    asio::io_context &io;
    Options options;
    Handler handler;
    tcp::acceptor acceptor;
    asio::steady_timer pause;
    std::unordered_set<ServerConnection *> connections;
};

class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(std::shared_ptr<HttpServer::State> owner, tcp::socket socket)
        : server(std::move(owner))
        , stream(std::move(socket))
        , readTimer(this->server->io)
    {
        this->server->connections.insert(this);
    }
    ~ServerConnection()
    {
        this->server->connections.erase(this);
    }
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    void serve(const asio::yield_context &yield);
    void refuse(const Refusal &refusal, const asio::yield_context &yield);
    void send(std::string_view data, const asio::yield_context &yield);
    void watch(std::function<void()> callback);
    void close()
    {
        boost::system::error_code ignored;
        this->stream.socket().close(ignored);
    }
    RequestId newRequestId() const
    {
        return this->server->options.newRequestId ? this->server->options.newRequestId() : RequestId();
    }

    RequestId id;
    bool started = false; // of the current answer
    bool isChunked = true;
    bool keepAlive = true;
    bool isIdle = false; // between two requests

private:
    // Empty where the connection has ended or was refused.
    std::optional<HttpCall> read(const asio::yield_context &yield);
    void handle(HttpCall &call, const asio::yield_context &yield);
    bool awaitByte(const asio::yield_context &yield);
    bool readParts(RequestParser &parser, beast::error_code &error, const asio::yield_context &yield);
    void onReadable();
    void limitRead(Duration limit);

    std::shared_ptr<HttpServer::State> server;
    beast::tcp_stream stream;
    asio::steady_timer readTimer;
    beast::flat_buffer buffer;
    std::function<void()> gone;
    bool isWatching = false;
    bool isLate = false; // the limit on a header or body passed
};

} // namespace fescuesill
