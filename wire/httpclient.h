#pragma once

// HTTP/1.1 client with a pool of connections, for the coroutines of one io_context. Not shared between threads.
//
//     HttpClient client(io, HttpClient::Options{});
//     asio::spawn(io, [&](asio::yield_context yield) {
//         HttpRequest request{"POST", "/bookings", body};
//         try {
//             const HttpResponse response = client.call("127.0.0.1:8101", request, {2s, Reuse::Never}, yield);
//         } catch (const HttpError &error) {
//             if (error.isKnownNotSent()) { ... nothing of it left this process: another endpoint may be asked ... }
//         }
//     });
//
// A body of JSON lines is read as it comes:
//
//     LineStream lines = client.open(address, request, {2s, Reuse::Allowed}, yield);
//     while (lines.read(batch, 5s, yield)) { ... whole lines, as many as had arrived ... }

#include "fescuesill/units.h"

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
    // The headers are a caller's own, Host and Content-Type among them: nothing is added but the length of the body.
    bool isForwarded = false;
};

struct HttpResponse {
    int status = 0;
    std::vector<HttpHeader> headers;
    std::string body;

    // Empty where there is none; names compare without case.
    std::string_view header(std::string_view name) const;
};

// Whether a call may go out on a connection that was used before. The other end may have closed such a connection,
// which shows only after the send: then nobody can tell whether the request ran. Calls that may not be repeated
// therefore never reuse one.
enum class Reuse {
    Allowed,
    Never,
};

class HttpConnection;

// Ends one call from outside its coroutine, on the thread of its io_context.
//
//     CallAbort abort;
//     client.call(address, request, {20s, Reuse::Allowed, &abort}, yield); // ends with Closed once abort.abort() is
//                                                                          // called, before or during it
class CallAbort
{
public:
    CallAbort() = default;
    CallAbort(const CallAbort &) = delete;
    CallAbort &operator=(const CallAbort &) = delete;

    void abort();
    bool isAborted() const;

private:
    friend class HttpConnection;

    HttpConnection *connection = nullptr; // that the call is using now
    bool aborted = false;
};

// How long the body of a reply may take that grows with the deployment.
struct BodyLimits {
    Duration pause; // without a byte
    Duration total;
};

struct CallOptions {
    Duration deadline{2s}; // from the start to the last byte of the reply; of open(): to the end of the reply's header
    Reuse reuse = Reuse::Allowed;
    CallAbort *abort = nullptr; // outlives the call, and the stream that open() returns
    // Of call(): where set, the deadline ends with the reply's header. A limit on a whole reply of growing size fails
    // each try alike once the link is too slow for it.
    std::optional<BodyLimits> body = std::nullopt;
};

enum class HttpFault {
    Connect, // no connection
    Busy, // the bound on connections is reached
    Timeout, // the deadline or the progress limit passed
    Closed, // the connection broke
    TooLarge, // the reply is over its limit
    Malformed, // the reply is not HTTP
};

// A call that gave no reply.
class HttpError : public std::runtime_error
{
public:
    HttpError(HttpFault fault, bool knownNotSent, const std::string &text);

    HttpFault fault() const;
    // True only where not one byte of the request was handed to the kernel.
    bool isKnownNotSent() const;

private:
    HttpFault cause;
    bool notSent;
};

class HttpClient;

// The body of one reply, line by line. Destroying it closes the connection unless the body was read to its end.
class LineStream
{
public:
    LineStream(LineStream &&other) noexcept;
    LineStream &operator=(LineStream &&other) noexcept;
    LineStream(const LineStream &) = delete;
    LineStream &operator=(const LineStream &) = delete;
    ~LineStream();

    int status() const;
    // The rest of the body whole, for replies that are not 200.
    std::string readAll(Duration deadline, const asio::yield_context &yield);
    // Waits for at least one whole line and gives all that have arrived, each with its line feed. False at the end of
    // the body; a last line without a line feed is dropped. Throws Timeout when no byte comes within the limit.
    bool read(std::string &lines, Duration limit, const asio::yield_context &yield);
    // Waits for at least one byte of the body and appends all that have arrived, lines or not. False at the end of the
    // body.
    bool readSome(std::string &out, Duration limit, const asio::yield_context &yield);
    // Status and headers.
    HttpResponse head() const;
    // Closes the connection; a read that waits in another coroutine or handler ends with Closed.
    void close();

private:
    friend class HttpClient;
    explicit LineStream(std::unique_ptr<HttpConnection> connection);

    std::unique_ptr<HttpConnection> connection;
};

class HttpClient
{
public:
    struct Options {
        std::size_t connections = 20000; // at once, over all addresses; each is a descriptor and some 2 KB
        std::size_t idlePerAddress = 64; // kept for reuse; more would only hold descriptors of both ends
        Duration idleLimit{4s}; // shorter than the keep-alive of common servers, so that reuse seldom meets a close
        Duration connectLimit{1s}; // links between data centres take milliseconds; a lost SYN is sent again after 1 s
        Bytes bodyLimit{16 << 20}; // a whole reply; a bigger one is a fault of the endpoint
        Bytes lineLimit{1 << 20}; // one line of a stream
    };

    HttpClient(asio::io_context &io, Options options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Throws HttpError. Any status is a reply.
    HttpResponse call(const std::string &address, const HttpRequest &request, const CallOptions &options,
                      const asio::yield_context &yield);
    LineStream open(const std::string &address, const HttpRequest &request, const CallOptions &options,
                    const asio::yield_context &yield);

    std::size_t openConnections() const;

private:
    friend class HttpConnection;
    struct Pool;

    std::shared_ptr<Pool> pool;
};

} // namespace fescuesill
