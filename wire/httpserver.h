#pragma once

// HTTP/1.1 server on one io_context, with one coroutine for each connection.
//
//     HttpServer::Options options;
//     options.address = "127.0.0.1:8080";
//     auto server = HttpServer::create(io, options, [&](HttpCall &call, HttpReply &reply, const asio::yield_context
//     &yield) {
//         reply.send(200, R"({"ok":true})", yield);
//     });
//
// A stream is written in parts. It has no buffer of its own: write() waits until the kernel has accepted the data, of
// which it holds a bounded part, so a slow caller delays only its own stream. A caller that accepts no data for
// stallLimit, or has not accepted all of it at the deadline of the response, is treated as disconnected: its connection
// is reset. So is one whose caller has not received all of a complete response soon after the deadline.
//
// What all connections together hold for their callers is bounded (decide/requestbudget.h). Beyond the bound, a request
// that is arriving is refused as not run, or a connection is closed.
//
//     reply.onCallerGone([&] { lines.close(); });
//     reply.startStream(200, yield);
//     while (lines.read(batch, limit, yield)) { reply.write(events(batch), yield); }
//     reply.finish(yield);

#include "decide/requestbudget.h"
#include "fescuesill/errors.h"
#include "fescuesill/ids.h"
#include "wire/coroutine.h"
#include "wire/httpclient.h"
#include "wire/traffic.h"
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

    // Returns an empty view if there is no such header. Names are case-insensitive.
    std::string_view header(std::string_view name) const;
};

// Thrown when the caller has closed its connection, has read nothing for stallLimit, or reads too slowly for the
// deadline.
class CallerGone : public std::runtime_error
{
public:
    CallerGone();
};

class ServerConnection;

// The response to one call. Every write throws CallerGone if the caller has disconnected.
class HttpReply
{
public:
    explicit HttpReply(ServerConnection &connection);

    void send(int status, std::string_view body, const asio::yield_context &yield,
              const std::vector<HttpHeader> &headers = {});
    void refuse(const Refusal &refusal, const asio::yield_context &yield);

    void startStream(int status, const asio::yield_context &yield, const std::vector<HttpHeader> &headers = {});
    void write(std::string_view data, const asio::yield_context &yield);
    void finish(const asio::yield_context &yield);
    // Writes the last part of the body together with its end.
    void finish(std::string_view last, const asio::yield_context &yield);

    // Forwards a complete response of another server: its status and these headers. Adds only framing headers.
    void forward(int status, std::string_view body, const std::vector<HttpHeader> &headers,
                 const asio::yield_context &yield);
    // Starts forwarding a response whose body follows through write() and ends with finish().
    void startForward(int status, const std::vector<HttpHeader> &headers, const asio::yield_context &yield);
    // Ends the connection before the end of the response, so that the caller can see that it is incomplete: closes it,
    // or resets it if the response has no chunks.
    void abort();

    // Sets a callback that is called once, on the same thread, when the caller closes its connection. Closing only the
    // sending half has the same effect, but callers of this protocol don't do that. An empty function removes the
    // callback.
    void onCallerGone(std::function<void()> callback);
    // Until when the caller must have accepted what is written, and shortly after which it must have received it;
    // without one, until stallLimit after each write. A write that starts later must be accepted at once. A response
    // that is written as a whole has a little longer.
    void setDeadline(Instant deadline);
    bool isStarted() const;
    // Closes the connection after this response, so that the caller connects next to a host that is not stopping.
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
        bool reusePort = false; // lets several servers of this process listen on the same port (SO_REUSEPORT)
        // A connection's coroutine takes 9 KB and one memory map; the kernel's limit on maps is reached soon after
        // 30,000.
        std::size_t connections = 20000;
        Bytes headerLimit{16 << 10}; // tokens and keys take under 1 KB
        Bytes bodyLimit{4 << 20}; // the longest log that fits an engine's context, with JSON escapes
        Duration headerLimitTime{5s}; // from the first byte; later bytes don't extend it
        Duration bodyLimitTime{20s}; // 4 MiB at 2 Mbit/s, the slowest workshop link
        Duration idleLimit{60s}; // between two requests on one connection
        Duration stallLimit{20s}; // for one write; frees engine memory held for a caller that reads nothing
        // What the kernel buffers for all callers together: an equal share each, up to 4 MiB (64 KiB of a stream).
        Bytes sendBuffers{64 << 20};
        // Of the requests of all connections, from their first byte until they have been answered.
        Bytes requestMemory{256 << 20};
        // How often the handler holds a body while it serves the call, the body of the call itself included.
        int bodyCopies = 1;
        Bytes receiveBuffer{16 << 10}; // what the kernel buffers of one caller that is not read
        std::function<RequestId()> newRequestId = {};
        // Determines the id of a call, for example from a header. If set, newRequestId is used only for requests that
        // could not be read.
        std::function<RequestId(const HttpCall &)> requestIdOf = {};
        std::function<void(const Refusal &)> onRefused = {}; // called for every refusal, to count them
        // Called with the cause for every connection that was closed, and every request that was refused, since memory
        // or connections are used up.
        std::function<void(std::string_view)> onDropped = {};
        // Whether a connection that was just accepted is read; always if empty. One that is not is closed unread, and
        // the server stops listening until listen(), so that callers are refused and go to another host: what they
        // would send takes the link of this one, read or not. The same holds for one beyond `connections`; without this
        // function it is refused.
        std::function<bool()> admits = {};
        Traffic *traffic = nullptr; // counts the bytes of all connections, if set
    };

    static tl::expected<std::unique_ptr<HttpServer>, WireError> create(asio::io_context &io, Options options,
                                                                       Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    std::uint16_t port() const;
    std::size_t openConnections() const;
    // What the connections hold, and how many were closed or refused for it.
    RequestBudget::Counts budget() const;
    // Closes the connections that are waiting for a request, so that their callers reconnect to hosts that are not
    // stopping.
    void closeIdle();
    // Applies the header and body limits and the idle limit of these options to everything read from now on.
    void setLimits(const Options &limits);
    // Listens again after a connection was not admitted. Does nothing while it listens.
    void listen();
    // Stops listening and closes every connection. Their coroutines end while the io_context keeps running.
    void close();

private:
    friend class ServerConnection;
    struct State;
    explicit HttpServer(std::shared_ptr<State> state);

    std::shared_ptr<State> state;
};

} // namespace fescuesill
