#pragma once

// One connection to a server, and the pool that it belongs to. Internal to HttpClient.

#include "decide/endpointpaths.h"
#include "wire/httpclient.h"
#include "wire/replyhead.h"
#include "wire/tunnelframes.h"

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

// A request as it is written. The body is empty where the head holds all of it.
struct SerializedRequest {
    std::string head;
    std::string_view body = {};
};

struct IdleConnection {
    std::unique_ptr<HttpConnection> connection;
    SteadyTime since;
};

// A host that is full delays its own connections; a longer wait for them is shorter than another attempt.
constexpr int fullHostFactor = 4;

struct HttpClient::Pool : std::enable_shared_from_this<HttpClient::Pool> {
    Pool(asio::io_context &context, const Options &limits)
        : io(context)
        , options(limits)
    {
    }

    std::unique_ptr<HttpConnection> take(const std::string &address);
    void release(std::unique_ptr<HttpConnection> connection);
    std::unique_ptr<HttpConnection> make(const std::string &address, CallAbort *abort);
    std::unique_ptr<HttpConnection> connect(const std::string &address, const CallOptions &options, SteadyTime deadline,
                                            const asio::yield_context &yield);
    // Until when a connection that is begun now must be open.
    SteadyTime connectDeadline() const
    {
        const bool isHostFull = this->options.paths != nullptr && this->options.paths->isHostFull();
        return std::chrono::steady_clock::now() + this->options.connectLimit * (isHostFull ? fullHostFactor : 1);
    }
    boost::system::error_code connectDirectly(HttpConnection &connection, SteadyTime deadline,
                                              const asio::yield_context &yield);
    std::unique_ptr<HttpConnection> connectThroughTunnel(const std::string &address, CallAbort *abort,
                                                         SteadyTime deadline, const asio::yield_context &yield);
    std::unique_ptr<HttpConnection> exchange(const std::string &address, const SerializedRequest &request, bool isHead,
                                             const CallOptions &options, SteadyTime deadline,
                                             const asio::yield_context &yield);

    asio::io_context &io;
    Options options;
    std::size_t open = 0;
    std::size_t replies = 0; // that are read as a whole
    std::size_t buffered = 0; // bytes of these
    // One queue for each address that was ever called. Addresses come from the declaration, so there are few.
    std::unordered_map<std::string, std::deque<IdleConnection>> idle;
};

// The head that a parser has read, if it is one of HTTP.
tl::expected<ReplyHead, WireError> headOf(const http::basic_parser<false> &parser,
                                          const http::response_header<> &parsed);

// Bounds a reply that is read as a whole, and counts it towards those of all calls while it exists.
class ReplyBound
{
public:
    explicit ReplyBound(std::shared_ptr<HttpClient::Pool> owner)
        : pool(std::move(owner))
    {
        ++this->pool->replies;
    }
    ~ReplyBound()
    {
        --this->pool->replies;
        this->pool->buffered -= this->counted;
    }
    ReplyBound(const ReplyBound &) = delete;
    ReplyBound &operator=(const ReplyBound &) = delete;

    // Throws HttpError if the reply is too large, or if all of them together are and this is more than its share.
    void check(const std::string &address, std::size_t size);

private:
    std::shared_ptr<HttpClient::Pool> pool;
    std::size_t counted = 0;
};

// One connection and the reply that is being read from it.
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

    // Connects to `address`, or to another host in its place.
    boost::system::error_code connect(const std::string &peer, SteadyTime deadline, const asio::yield_context &yield);
    // Requests from the TunnelServer that this is connected to a connection to `address`, and returns the status of its
    // reply; empty if there was none.
    std::optional<int> openTunnel(const std::string &host, SteadyTime deadline, SteadyTime callDeadline,
                                  const asio::yield_context &yield);
    void send(const SerializedRequest &request, bool isHead, SteadyTime deadline, const asio::yield_context &yield);
    void readHeader(SteadyTime deadline, const asio::yield_context &yield);
    // Reads from the socket once, and appends what has arrived of the body: nothing, if that was a part of the framing
    // only. Returns false if the body is already complete.
    bool readSome(std::string &out, SteadyTime deadline, const asio::yield_context &yield);
    // Waits for bytes on the socket without reading them. Returns false if the limit expires first.
    bool waitReadable(Duration limit, const asio::yield_context &yield);
    // The reply whose head readHeader() has read, without its body.
    HttpResponse response() const;

    // Sets the handle whose abort() closes this connection; null removes it.
    void setAbort(CallAbort *handle);

    // False if an idle connection has become readable: the server closed it or sent data without a request.
    bool isIdleAndOpen();
    bool canBeReused() const
    {
        return !this->isTunnelled && this->parser->is_done() && this->parser->keep_alive() && this->buffer.size() == 0;
    }

    std::shared_ptr<HttpClient::Pool> pool;
    std::string address;
    std::unique_ptr<ReplyBound> bound; // of a body that LineStream::readAll() has returned
    std::string partial; // body bytes read but not yet returned, such as the start of an incomplete line
    bool reused = false;
    bool isTunnelled = false; // the other host ends it soon after the deadline of its call
    std::size_t received = 0; // bytes of the current reply

    int status() const
    {
        return this->head->status();
    }
    void close()
    {
        boost::system::error_code ignored;
        this->stream.socket().close(ignored);
    }

private:
    // Begins to read a reply, of which only the head is sent if the request was HEAD.
    void expectReply(bool isHead);
    // Throws TooLarge if more has arrived than one element of a reply takes, such as the line before a chunk, and
    // Timeout at the deadline, whatever has arrived.
    void fill(SteadyTime deadline, const asio::yield_context &yield);
    void unframe(std::string_view received);
    void parse(std::string &out);

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    TunnelFrames frames;
    std::optional<http::response_parser<http::buffer_body>> parser;
    std::optional<ReplyHead> head; // of the current reply, once it has been read and checked
    bool atEnd = false;
    bool isToHead = false; // the request was HEAD
    CallAbort *abort = nullptr;
};

} // namespace fescuesill
