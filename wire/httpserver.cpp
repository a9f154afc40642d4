// Accepts connections and writes responses; serverconnection.cpp reads requests. Responses are formatted directly, not
// through Beast's serializer: they have few, mostly fixed headers, and a chunk of a stream only adds two lines around
// the data.

#include "wire/httpserver.h"

#include "wire/address.h"
#include "wire/log.h"
#include "wire/refusaljson.h"
#include "wire/serverconnection.h"

#include <algorithm>
#include <fmt/format.h>

namespace fescuesill
{
namespace
{

constexpr int listenBacklog = 1024; // connections that may arrive in a burst before the accept loop runs
constexpr auto acceptRetryDelay = std::chrono::milliseconds(50); // gives time for descriptors to be closed
constexpr auto unreadCheck = std::chrono::milliseconds(100); // a link of 1 Gbit/s brings 12 MB meanwhile

constexpr std::string_view reasonOf(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 202:
        return "Accepted";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 413:
        return "Payload Too Large";
    case 429:
        return "Too Many Requests";
    case 503:
        return "Service Unavailable";
    default:
        return "Status";
    }
}

void appendHeaders(std::string &out, const std::vector<HttpHeader> &headers)
{
    for (const HttpHeader &header : headers) {
        fmt::format_to(std::back_inserter(out), "{}: {}\r\n", header.name, header.value);
    }
}

std::string chunkOf(std::string_view data)
{
    std::string chunk;
    chunk.reserve(data.size() + 16);
    fmt::format_to(std::back_inserter(chunk), "{:x}\r\n", data.size());
    chunk += data;
    chunk += "\r\n";
    return chunk;
}

} // namespace

std::string_view HttpCall::header(std::string_view name) const
{
    for (const HttpHeader &header : this->headers) {
        if (beast::iequals({header.name.data(), header.name.size()}, {name.data(), name.size()})) {
            return header.value;
        }
    }
    return {};
}

CallerGone::CallerGone()
    : std::runtime_error("caller gone")
{
}

HttpReply::HttpReply(ServerConnection &owner)
    : connection(owner)
{
}

void HttpReply::send(int status, std::string_view body, const asio::yield_context &yield,
                     const std::vector<HttpHeader> &headers)
{
    std::string text;
    text.reserve(body.size() + 256);
    fmt::format_to(std::back_inserter(text), "HTTP/1.1 {} {}\r\nContent-Length: {}\r\nX-Request-Id: {}\r\n", status,
                   reasonOf(status), body.size(), this->connection.id.value());
    const bool hasType = std::any_of(headers.begin(), headers.end(),
                                     [](const HttpHeader &header) { return header.name == "Content-Type"; });
    if (!hasType) {
        text += "Content-Type: application/json\r\n";
    }
    appendHeaders(text, headers);
    text += this->connection.keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
    text += body;
    this->connection.startReply(ReplyKind::Whole);
    this->connection.send(text, yield);
}

void HttpReply::refuse(const Refusal &refusal, const asio::yield_context &yield)
{
    this->connection.refuse(refusal, yield);
}

void HttpReply::startStream(int status, const asio::yield_context &yield, const std::vector<HttpHeader> &headers)
{
    std::vector<HttpHeader> all = {{"Content-Type", "text/event-stream"},
                                   {"Cache-Control", "no-cache"},
                                   {"X-Request-Id", this->connection.id.value()}};
    all.insert(all.end(), headers.begin(), headers.end());
    this->startForward(status, all, yield);
}

void HttpReply::write(std::string_view data, const asio::yield_context &yield)
{
    if (data.empty()) {
        return; // a chunk of length zero would end the body
    }
    if (!this->connection.isChunked) {
        this->connection.send(data, yield);
        return;
    }
    this->connection.send(chunkOf(data), yield);
}

void HttpReply::finish(const asio::yield_context &yield)
{
    this->finish({}, yield);
}

void HttpReply::finish(std::string_view last, const asio::yield_context &yield)
{
    if (this->connection.isChunked) {
        this->connection.send((last.empty() ? std::string() : chunkOf(last)) + "0\r\n\r\n", yield);
        return;
    }
    this->write(last, yield);
    this->connection.endUnframedBody();
}

void HttpReply::forward(int status, std::string_view body, const std::vector<HttpHeader> &headers,
                        const asio::yield_context &yield)
{
    std::string text;
    text.reserve(body.size() + 512);
    fmt::format_to(std::back_inserter(text), "HTTP/1.1 {} {}\r\nContent-Length: {}\r\n", status, reasonOf(status),
                   body.size());
    appendHeaders(text, headers);
    text += this->connection.keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
    text += body;
    this->connection.startReply(ReplyKind::Whole);
    this->connection.send(text, yield);
}

void HttpReply::startForward(int status, const std::vector<HttpHeader> &headers, const asio::yield_context &yield)
{
    std::string text;
    fmt::format_to(std::back_inserter(text), "HTTP/1.1 {} {}\r\n", status, reasonOf(status));
    appendHeaders(text, headers);
    if (this->connection.isChunked) {
        text += "Transfer-Encoding: chunked\r\n";
    } else {
        this->connection.keepAlive = false;
        this->connection.startUnframedBody();
    }
    text += this->connection.keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
    this->connection.startReply(ReplyKind::Stream);
    this->connection.send(text, yield);
}

void HttpReply::abort()
{
    this->connection.keepAlive = false;
    this->connection.abort();
}

void HttpReply::onCallerGone(std::function<void()> callback)
{
    this->connection.watchForClose(std::move(callback));
}

void HttpReply::setDeadline(Instant deadline)
{
    this->connection.replyDeadline = std::chrono::steady_clock::time_point(deadline.time_since_epoch());
}

void HttpReply::closeAfterReply()
{
    this->connection.keepAlive = false;
}

bool HttpReply::isStarted() const
{
    return this->connection.started;
}

void HttpServer::State::listen()
{
    this->acceptor.open(this->endpoint.protocol());
    this->acceptor.set_option(tcp::acceptor::reuse_address(true));
    if (this->options.reusePort) {
        this->acceptor.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
    }
    const auto receiveBuffer = static_cast<int>(this->options.receiveBuffer.value());
    this->acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBuffer)); // inherited by connections
    this->acceptor.bind(this->endpoint);
    this->acceptor.listen(listenBacklog);
    this->endpoint = this->acceptor.local_endpoint(); // with the port that the kernel chose, if it was to
    this->accept();
}

// Connections that the kernel has accepted already are closed one by one, since their callers would wait.
void HttpServer::State::stopListening()
{
    boost::system::error_code error;
    this->acceptor.non_blocking(true, error);
    for (int waiting = 0; waiting < listenBacklog && !error; ++waiting) {
        tcp::socket socket(this->io);
        this->acceptor.accept(socket, error);
    }
    this->acceptor.close(error);
}

void HttpServer::State::accept()
{
    this->acceptor.async_accept(
        [self = this->shared_from_this()](const boost::system::error_code &error, tcp::socket socket) {
            if (!self->acceptor.is_open()) {
                return;
            }
            if (!error) {
                self->startConnection(std::move(socket));
                if (self->acceptor.is_open()) {
                    self->accept();
                }
                return;
            }
            // Usually out of descriptors: retrying without a delay would be a busy loop.
            self->acceptRetryTimer.expires_after(acceptRetryDelay);
            self->acceptRetryTimer.async_wait([self](const boost::system::error_code &) {
                if (self->acceptor.is_open()) {
                    self->accept();
                }
            });
        });
}

void HttpServer::State::startConnection(tcp::socket socket)
{
    boost::system::error_code ignored;
    const bool hasRoom = this->makeRoom();
    if (this->options.admits && (!hasRoom || !this->options.admits())) {
        socket.close(ignored);
        this->stopListening();
        return;
    }
    socket.non_blocking(true, ignored);
    socket.set_option(tcp::no_delay(true), ignored);
    const auto connection = std::make_shared<ServerConnection>(this->shared_from_this(), std::move(socket));
    if (hasRoom) {
        startCoroutine(this->io, [connection](const asio::yield_context &yield) { connection->serve(yield); });
        return;
    }
    startCoroutine(this->io, [connection](const asio::yield_context &yield) {
        connection->id = connection->newRequestId();
        connection->keepAlive = false;
        try {
            connection->refuse({RefusalCode::Overloaded, RunState::NotRun, "too many connections", Duration(1s)},
                               yield);
        } catch (const CallerGone &) {
            connection->close();
        }
    });
}

bool HttpServer::State::makeRoom()
{
    if (!this->budget.isFull()) {
        return true;
    }
    const Instant now = steadyNow();
    const auto replaced = this->budget.nextToReplace(now);
    if (!replaced) {
        return false;
    }
    this->noteDrop("too many connections");
    this->budget.onIdle(*replaced, now); // it takes a moment to end, and must not be chosen again meanwhile
    this->connections.at(*replaced)->drop();
    return true;
}

void HttpServer::State::dropBeyondBudget()
{
    const Instant now = steadyNow();
    while (const auto dropped = this->budget.nextToDrop(now)) {
        this->noteDrop("memory used up");
        this->budget.onIdle(*dropped, now);
        this->connections.at(*dropped)->drop();
    }
}

void HttpServer::State::noteDrop(std::string_view cause)
{
    this->drops.note(this->options.address, cause, steadyNow());
    if (this->options.onDropped) {
        this->options.onDropped(cause);
    }
}

void HttpServer::State::watchUnread()
{
    if (this->isWatchingUnread || this->isClosed) {
        return;
    }
    this->isWatchingUnread = true;
    this->unreadTimer.expires_after(unreadCheck);
    this->unreadTimer.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
        self->isWatchingUnread = false;
        if (error) {
            return;
        }
        bool hasUnread = false;
        for (const auto &[id, connection] : self->connections) {
            hasUnread = connection->countUnread() || hasUnread;
        }
        self->dropBeyondBudget();
        if (hasUnread) {
            self->watchUnread();
        }
    });
}

tl::expected<std::unique_ptr<HttpServer>, WireError> HttpServer::create(asio::io_context &io, Options options,
                                                                        Handler handler)
{
    const auto address = Address::parse(options.address);
    if (!address) {
        return tl::make_unexpected(address.error());
    }
    const auto state = std::make_shared<State>(io, std::move(options), std::move(handler));
    try {
        state->endpoint = tcp::endpoint(asio::ip::make_address(address->ip), address->port);
        state->listen();
    } catch (const boost::system::system_error &error) {
        return tl::make_unexpected(WireError(fmt::format("listen on {}: {}", state->options.address, error.what())));
    }
    return std::unique_ptr<HttpServer>(new HttpServer(state));
}

HttpServer::HttpServer(std::shared_ptr<State> created)
    : state(std::move(created))
{
}

HttpServer::~HttpServer()
{
    this->close();
}

std::uint16_t HttpServer::port() const
{
    return this->state->endpoint.port();
}

std::size_t HttpServer::openConnections() const
{
    return this->state->connections.size();
}

RequestBudget::Counts HttpServer::budget() const
{
    return this->state->budget.counts();
}

void HttpServer::setLimits(const Options &limits)
{
    this->state->options.headerLimit = limits.headerLimit;
    this->state->options.bodyLimit = limits.bodyLimit;
    this->state->options.headerLimitTime = limits.headerLimitTime;
    this->state->options.bodyLimitTime = limits.bodyLimitTime;
    this->state->options.idleLimit = limits.idleLimit;
}

void HttpServer::closeIdle()
{
    for (const auto &[id, connection] : this->state->connections) {
        if (connection->isIdle) {
            connection->endInOrder();
        }
    }
}

void HttpServer::listen()
{
    if (this->state->isClosed || this->state->acceptor.is_open()) {
        return;
    }
    try {
        this->state->listen();
    } catch (const boost::system::system_error &error) {
        boost::system::error_code ignored;
        this->state->acceptor.close(ignored); // the next call tries again
        Log::warning("cannot_listen", {{"address", this->state->options.address}, {"reason", error.what()}});
    }
}

void HttpServer::close()
{
    boost::system::error_code ignored;
    this->state->isClosed = true;
    this->state->acceptor.close(ignored);
    this->state->acceptRetryTimer.cancel();
    this->state->unreadTimer.cancel();
    for (const auto &[id, connection] : this->state->connections) {
        connection->close();
    }
}

} // namespace fescuesill
