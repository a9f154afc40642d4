#pragma once

// One connection to a server and the pool that it belongs to; private to the sources of the client.

#include "wire/httpclient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <deque>
#include <optional>
#include <unordered_map>

namespace fescuesill
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using SteadyTime = std::chrono::steady_clock::time_point;

struct Idle {
    std::unique_ptr<HttpConnection> connection;
    SteadyTime since;
};

struct HttpClient::Pool : std::enable_shared_from_this<HttpClient::Pool> {
    Pool(asio::io_context &context, const Options &limits)
        : io(context)
        , options(limits)
    {
    }

    std::unique_ptr<HttpConnection> take(const std::string &address);
    void giveBack(std::unique_ptr<HttpConnection> connection);
    std::unique_ptr<HttpConnection> connect(const std::string &address, CallAbort *abort, SteadyTime deadline,
                                            const asio::yield_context &yield);
    std::unique_ptr<HttpConnection> exchange(const std::string &address, const std::string &request, bool isHead,
                                             const CallOptions &options, SteadyTime deadline,
                                             const asio::yield_context &yield);

    asio::io_context &io;
    Options options;
    std::size_t open = 0;
    // One queue for each endpoint or engine that was ever called; they come from the declaration, so they are few.
    std::unordered_map<std::string, std::deque<Idle>> idle;
};

// One connection and the reply being read from it.
class HttpConnection
{
public:
    HttpConnection(std::shared_ptr<HttpClient::Pool> owner, std::string peer)
        : pool(std::move(owner))
        , address(std::move(peer))
        , stream(this->pool->io)
    {
        ++this->pool->open;
    }
    ~HttpConnection()
    {
        this->setAbort(nullptr);
        --this->pool->open;
    }
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    void connect(const tcp::endpoint &endpoint, SteadyTime deadline, const asio::yield_context &yield);
    void send(const std::string &request, bool isHead, SteadyTime deadline, const asio::yield_context &yield);
    void readHeader(SteadyTime deadline, const asio::yield_context &yield);
    // Appends what has arrived of the body; false where the body is whole.
    bool readSome(std::string &out, SteadyTime deadline, const asio::yield_context &yield);
    HttpResponse response() const;

    // Whose abort() closes this connection; null: nobody's.
    void setAbort(CallAbort *handle);

    // An idle connection with something to read was closed, or speaks out of turn.
    bool isQuiet();
    bool mayBeKept() const
    {
        return this->parser->is_done() && this->parser->keep_alive() && this->buffer.size() == 0;
    }

    std::shared_ptr<HttpClient::Pool> pool;
    std::string address;
    std::string partial; // the start of a line whose end has not come yet
    bool reused = false;
    std::size_t received = 0; // bytes of the reply

    int status() const
    {
        return static_cast<int>(this->parser->get().result_int());
    }
    void close()
    {
        boost::system::error_code ignored;
        this->stream.socket().close(ignored);
    }

private:
    void fill(SteadyTime deadline, const asio::yield_context &yield);
    void parse(std::string &out);

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::optional<http::response_parser<http::buffer_body>> parser;
    bool atEnd = false;
    CallAbort *abort = nullptr;
};

} // namespace fescuesill
