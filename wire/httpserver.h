#pragma once

// HTTP/1.1 server for the coroutines of one io_context; one coroutine for each connection.
//
//     HttpServer::Options options;
//     options.address = "127.0.0.1:8080";
//     auto server = HttpServer::create(io, options, [&](HttpCall &call, HttpReply &reply, const asio::yield_context
//     &yield) {
//         reply.send(200, R"({"ok":true})", yield);
//     });
//
// A stream is written piece by piece. There is no buffer behind it: write() waits until the kernel has taken the piece,
// so a slow reader holds up its own stream and no memory, and one that takes nothing for stallLimit counts as gone.
//
//     reply.onCallerGone([&] { lines.close(); });
//     reply.startStream(200, yield);
//     while (lines.read(batch, limit, yield)) { reply.write(events(batch), yield); }
//     reply.finish(yield);

#include "fescuesill/errors.h"
#include "fescuesill/ids.h"
#include "wire/coroutine.h"
#include "wire/httpclient.h"
#include "wire/wireerror.h"

#include <functional>
#include <memory>
#include <tl/expected.hpp>

namespace fescuesill
{

struct HttpCall {
    std::string method;
    std::string target;
    std::string body;
    std::vector<HttpHeader> headers;
    RequestId id;

    // Empty where there is none; names compare without case.
    std::string_view header(std::string_view name) const;
};

// The caller closed its connection, or has read nothing for too long.
class CallerGone : public std::runtime_error
{
public:
    CallerGone();
};

class ServerConnection;

// The answer to one call. Every write throws CallerGone where the caller has gone.
class HttpReply
{
public:
    explicit HttpReply(ServerConnection &connection);

    void send(int status, std::string_view body, const asio::yield_context &yield,
              const std::vector<HttpHeader> &headers = {});
    void refuse(const Refusal &refusal, const asio::yield_context &yield);

    void startStream(int status, const asio::yield_context &yield, const std::vector<HttpHeader> &headers = {});
    void write(std::string_view piece, const asio::yield_context &yield);
    void finish(const asio::yield_context &yield);

    // Hands on an answer of another server: its status and these headers, none of ours but for the framing.
    void forward(int status, std::string_view body, const std::vector<HttpHeader> &headers,
                 const asio::yield_context &yield);
    // The same for a body that is still to come; goes on with write() and ends with finish().
    void startForward(int status, const std::vector<HttpHeader> &headers, const asio::yield_context &yield);
    // Ends the connection in the middle of an answer, so that what was sent of it does not look whole.
    void abort();

    // Called once, from a handler of the same thread, when the caller closes its end; also when it only closes its
    // sending half, which callers of this protocol do not do. Reset by an empty function.
    void onCallerGone(std::function<void()> callback);
    bool isStarted() const;
    // The connection ends with this answer: its caller opens the next one, at a host that is not stopping.
    void closeAfterReply();

private:
    ServerConnection &connection;
};

class HttpServer
{
public:
    using Handler = std::function<void(HttpCall &, HttpReply &, const asio::yield_context &)>;

    struct Options {
        std::string address = {}; // IP:PORT; port 0 lets the kernel choose
        bool reusePort = false; // several servers of this process listen on the same port (SO_REUSEPORT)
        // A coroutine takes 9 KB and one memory map; the kernel's limit on maps comes soon after 30,000.
        std::size_t connections = 20000;
        Bytes headerLimit{16 << 10}; // tokens and keys take under 1 KB
        Bytes bodyLimit{4 << 20}; // the longest log that fits a context of engine memory, with escapes
        Duration headerLimitTime{5s}; // from the first byte; a drip of bytes does not extend it
        Duration bodyLimitTime{20s}; // 4 MiB at 2 Mbit/s, the slowest workshop line
        Duration idleLimit{60s}; // between two requests of one connection
        Duration stallLimit{20s}; // one write; engine memory is not held for a caller that reads nothing
        std::function<RequestId()> newRequestId = {};
        // The id that the caller gave; where it is set, newRequestId serves only calls that could not be read.
        std::function<RequestId(const HttpCall &)> requestIdOf = {};
        std::function<void(const Refusal &)> onRefused = {}; // every refusal, for the counters
    };

    static tl::expected<std::unique_ptr<HttpServer>, WireError> create(asio::io_context &io, Options options,
                                                                       Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    std::uint16_t port() const;
    std::size_t openConnections() const;
    // Closes the connections on which no request has begun; their callers open new ones, at hosts that stay.
    void closeIdle();
    // Takes the limits on size and time of these options for what is read from now on.
    void setLimits(const Options &limits);
    // Stops listening and closes every connection; their coroutines end as the context runs on.
    void close();

private:
    friend class ServerConnection;
    struct State;
    explicit HttpServer(std::shared_ptr<State> state);

    std::shared_ptr<State> state;
};

} // namespace fescuesill
