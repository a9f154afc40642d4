#pragma once

// HTTP/1.1 client with a connection pool, used from the coroutines of one io_context. Not thread-safe.
//
//     HttpClient client(io, HttpClient::Options{});
//     asio::spawn(io, [&](asio::yield_context yield) {
//         HttpRequest request{"POST", "/bookings", body};
//         try {
//             const HttpResponse response = client.call("127.0.0.1:8101", request, {2s, Reuse::Never}, yield);
//         } catch (const HttpError &error) {
//             if (error.isKnownNotSent()) { ... nothing was sent, so another endpoint may be tried ... }
//         }
//     });
//
// A body of JSON lines is read as it arrives:
//
//     LineStream lines = client.open(address, request, {2s, Reuse::Allowed}, yield);
//     while (lines.read(batch, 5s, yield)) { ... all whole lines that had arrived ... }

#include "fescuesill/units.h"
#include "wire/traffic.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace fescuesill
{

namespace asio = boost::asio;

struct HttpHeader {
    std::string name;
    std::string value;
};

struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    std::string body = {};
    std::vector<HttpHeader> headers = {};
    // The request is forwarded: its headers are the original caller's, including Host and Content-Type, and only
    // Content-Length is added.
    bool isForwarded = false;
    // In place of `body`: a body that another object holds, until the call or the stream has been opened. Large bodies
    // are not copied.
    std::string_view sharedBody = {};

    std::string_view content() const
    {
        return this->sharedBody.empty() ? std::string_view(this->body) : this->sharedBody;
    }
};

// What marks the end of a response body.
enum class BodyFraming {
    Length,
    Chunks,
    Connection, // neither: the body ends when the server closes the connection
};
const char *nameOf(BodyFraming framing);

class ReplyBound;

struct HttpResponse {
    int status = 0;
    std::vector<HttpHeader> headers;
    std::string body;
    BodyFraming framing = BodyFraming::Length;
    std::shared_ptr<const ReplyBound> bound = {}; // counts the body towards the limit of its client

    // Returns an empty view if there is no such header. Names are case-insensitive.
    std::string_view header(std::string_view name) const;
};

// Whether a call may use a pooled connection. The server may have closed such a connection, which the client detects
// only after sending the request, when it can't know whether the request ran. Calls that must not be retried therefore
// use Reuse::Never.
enum class Reuse {
    Allowed,
    Never,
};

class HttpConnection;

// Aborts one call from outside its coroutine. Must be used on the thread of the call's io_context.
//
//     CallAbort abort;
//     client.call(address, request, {20s, Reuse::Allowed, &abort}, yield); // throws Closed if abort.abort() is
//                                                                          // called before or during the call
class CallAbort
{
public:
    CallAbort() = default;
    CallAbort(const CallAbort &) = delete;
    CallAbort &operator=(const CallAbort &) = delete;

    void abort();
    bool isAborted() const;
    // Sets what abort() also calls, for a wait before the call; empty for nothing.
    void setHandler(std::function<void()> called);

private:
    friend class HttpConnection;

    HttpConnection *connection = nullptr; // that the call currently uses
    std::function<void()> handler;
    bool aborted = false;
};

// Time limits on reading a reply body whose size grows with the deployment.
struct BodyLimits {
    Duration idle; // the longest time without a byte
    Duration total;
};

// How a client with EndpointPaths may connect.
enum class Via {
    AnyHost, // through another host while this one can't reach the endpoint
    OwnHost,
};

struct CallOptions {
    Duration deadline{2s}; // from the start to the last byte of the reply; for open(), to the end of the reply's header
    Reuse reuse = Reuse::Allowed;
    CallAbort *abort = nullptr; // must outlive the call and the stream that open() returns
    // For call(): if set, the deadline covers only the reply's header, and these limits apply to its body. With one
    // deadline for a whole reply of growing size, every attempt would fail once the link is too slow for it.
    std::optional<BodyLimits> body = std::nullopt;
    Via via = Via::AnyHost;
};

enum class HttpFault {
    Connect, // no connection
    NoPath, // this host can reach no endpoint, neither directly nor through another host
    Busy, // the maximum number of connections is open
    Timeout, // the deadline or the limit on progress was exceeded
    Closed, // the connection was closed or lost
    TooLarge, // the reply exceeds its size limit
    Malformed, // the reply is not HTTP
};

// A call that ended without a complete reply.
class HttpError : public std::runtime_error
{
public:
    HttpError(HttpFault fault, bool knownNotSent, const std::string &text, bool wasReset = false);

    HttpFault fault() const;
    // True only if no byte of the request was written to the socket.
    bool isKnownNotSent() const;
    // The connection was opened, and reset before any byte of the reply.
    bool isResetBeforeReply() const;

private:
    HttpFault cause;
    bool notSent;
    bool reset;
};

class EndpointPaths;
class HttpClient;

// What a new connection shows of the process at an address.
enum class Liveness {
    Running, // it accepts connections
    Ended, // its port refuses them
    Unknown, // the address can't be reached
};
const char *nameOf(Liveness liveness);

// The body of one reply, read line by line or in parts. Destroying the stream closes its connection.
class LineStream
{
public:
    LineStream(LineStream &&other) noexcept;
    LineStream &operator=(LineStream &&other) noexcept;
    LineStream(const LineStream &) = delete;
    LineStream &operator=(const LineStream &) = delete;
    ~LineStream();

    int status() const;
    // Returns the rest of the body, for replies whose status is not 200.
    std::string readAll(Duration deadline, const asio::yield_context &yield);
    // Waits for at least one whole line and returns all that have arrived, each with its line feed. Returns false at
    // the end of the body; a last line without a line feed is dropped. Throws Timeout if no whole line arrives within
    // the limit.
    bool read(std::string &lines, Duration limit, const asio::yield_context &yield);
    // Waits for at least one byte of the body and appends all that have arrived. Returns false at the end of the body.
    bool readSome(std::string &out, Duration limit, const asio::yield_context &yield);
    // Like readSome(), but reads from the connection at most once, and so may append nothing: what arrived may be part
    // of the framing only.
    bool readOnce(std::string &out, Duration limit, const asio::yield_context &yield);
    // Waits until readOnce() would return at once, without reading. Returns false if the limit expires first. An abort
    // or a fault ends the wait, and the next read reports it.
    bool waitReadable(Duration limit, const asio::yield_context &yield);
    // The status and headers of the reply, without its body.
    HttpResponse head() const;
    // Closes the connection. A read that is pending in another coroutine ends with Closed.
    void close();

private:
    friend class HttpClient;
    explicit LineStream(std::unique_ptr<HttpConnection> connection);
    bool readOnce(std::string &out, std::chrono::steady_clock::time_point deadline, const asio::yield_context &yield);

    std::unique_ptr<HttpConnection> connection;
};

class HttpClient
{
public:
    struct Options {
        std::size_t connections = 20000; // maximum for all addresses; each takes a descriptor and some 2 KB
        std::size_t idlePerAddress = 64; // kept for reuse; more would only hold descriptors at both ends
        Duration idleLimit{4s}; // shorter than the keep-alive of common servers: reuse rarely finds a closed connection
        Duration connectLimit{1s}; // links between data centres take milliseconds; a lost SYN is resent after 1 s
        Bytes bodyLimit{16 << 20}; // of a whole reply; a larger one is an endpoint fault
        // Of all replies together that are read as a whole, until the last copy of each HttpResponse is destroyed.
        // Beyond it, a call fails whose reply takes more than an equal share of it: an endpoint that sends bytes
        // without end must take neither the memory of all others nor their replies.
        Bytes bufferedLimit{64 << 20};
        Bytes lineLimit{1 << 20}; // of one line of a stream
        // Decides whether connections are opened directly or through another host (tunnelserver.h). If null, directly.
        // Must outlive the client.
        EndpointPaths *paths = nullptr;
        Traffic *traffic = nullptr; // counts the bytes of all connections, if set

        // For endpoints, whose ordinary replies take some kilobytes. The smallest hosts have 88 MB.
        static Options forEndpoints()
        {
            Options options;
            options.bodyLimit = Bytes(4 << 20);
            options.bufferedLimit = Bytes(8 << 20);
            return options;
        }
    };

    HttpClient(asio::io_context &io, Options options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Both throw HttpError if there is no complete reply. A reply with any status is returned.
    HttpResponse call(const std::string &address, const HttpRequest &request, const CallOptions &options,
                      const asio::yield_context &yield);
    LineStream open(const std::string &address, const HttpRequest &request, const CallOptions &options,
                    const asio::yield_context &yield);

    // Makes a check that EndpointPaths has due: connects to the endpoint and sends nothing.
    void check(const std::string &address, const asio::yield_context &yield);

    // Connects to the address and sends nothing, for at most a second or the limit. A refusal here counts only if no
    // other host is connected either. Does not report to EndpointPaths: the process may have ended.
    Liveness probe(const std::string &address, Duration limit, const asio::yield_context &yield);
    Liveness probe(const std::string &address, const asio::yield_context &yield);

    std::size_t openConnections() const;

private:
    friend class HttpConnection;
    friend class ReplyBound;
    struct Pool;

    std::shared_ptr<Pool> pool;
};

} // namespace fescuesill
