// A tunnel must end at the other host as the connection ended at the endpoint: a body may have no length and end with
// its connection, and it is complete only if the endpoint closed the connection in order. So the endpoint's bytes are
// sent in frames, the end of its connection as a frame of its own, and everything else resets both connections. If this
// process is killed, its connections are closed in order, but without that frame.
//
// A host that died, or whose link here is cut, never closes its connection. The lifetime that it stated, the deadline
// of its call, bounds how long the endpoint works for it in vain.

#include "wire/tunnelserver.h"

#include "wire/address.h"
#include "wire/clock.h"
#include "wire/connectionreport.h"
#include "wire/httpconnection.h"
#include "wire/log.h"
#include "wire/refusallog.h"
#include "wire/tunnelframes.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <fmt/format.h>
#include <list>

namespace fescuesill
{
namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t readSize = 8192; // bytes in one read; on the coroutine's stack
constexpr std::uint32_t headerLimit = 4096; // bytes; the request has three short lines
constexpr std::uint32_t replyHeaderLimit = 16 << 10; // bytes; as for the host that sends the call
constexpr int listenBacklog = 256;
constexpr int receiveBuffer = 64 << 10; // bytes that the kernel holds of each end while the other one reads slowly
constexpr Duration acceptRetryDelay{50ms}; // gives time for descriptors to be closed

// Whether an end that was read is that of a connection that was reset. A write that fails at the same time takes the
// error, and a read then returns an end as if the connection had been closed in order.
bool wasReset(const tcp::socket &socket)
{
    boost::system::error_code error;
    socket.remote_endpoint(error); // a connection that was closed in order by the other side still has one
    return error.failed();
}

std::optional<Duration> readMillis(std::string_view text)
{
    std::int64_t millis = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), millis);
    const bool isWhole = read.ec == std::errc() && read.ptr == text.data() + text.size() && millis > 0;
    return isWhole ? std::optional<Duration>(std::chrono::milliseconds(millis)) : std::nullopt;
}

} // namespace

struct TunnelServer::State : std::enable_shared_from_this<TunnelServer::State> {
    State(asio::io_context &context, Options given, EndpointPaths &endpointPaths)
        : io(context)
        , options(std::move(given))
        , paths(endpointPaths)
        , acceptor(context)
        , acceptRetryTimer(context)
    {
    }

    void accept();
    // Closes the connection that has been open for longest without a request, if there are too many.
    void limitOpenings();

    asio::io_context &io;
    Options options;
    EndpointPaths &paths;
    tcp::acceptor acceptor;
    asio::steady_timer acceptRetryTimer;
    std::size_t tunnels = 0;
    std::list<Connection *> openings; // in the order in which they came
    std::uint64_t replaced = 0;
    RefusalLog replacements{"tunnel_connection_replaced"};
};

class TunnelServer::Connection : public std::enable_shared_from_this<TunnelServer::Connection>
{
public:
    Connection(std::shared_ptr<State> owner, tcp::socket socket)
        : server(std::move(owner))
        , host(std::move(socket))
        , endpoint(this->server->io)
        , lifetimeTimer(this->server->io)
    {
    }
    ~Connection()
    {
        this->server->tunnels -= this->isAdmitted ? 1 : 0;
        this->server->openings.remove(this);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void serve(const asio::yield_context &yield);
    void close()
    {
        boost::system::error_code ignored;
        this->host.socket().close(ignored);
    }

private:
    struct Request {
        std::string address;
        Duration lifetime{0};
    };

    std::optional<Request> read(const asio::yield_context &yield);
    void answer(int status, std::string_view reason, const asio::yield_context &yield);
    bool connect(const Request &request, const asio::yield_context &yield);
    void startTunnel(Duration lifetime);
    void relayFromHost(const asio::yield_context &yield);
    void relayFromEndpoint(const asio::yield_context &yield);
    void end(const char *reason, bool resets);
    void readHead(std::string_view received);

    std::shared_ptr<State> server;
    beast::tcp_stream host;
    beast::tcp_stream endpoint;
    asio::steady_timer lifetimeTimer;
    std::string address; // of the endpoint
    std::string head; // of the reply, until it is complete
    bool isHeadRead = false;
    Instant begin;
    std::size_t sent = 0; // bytes to the endpoint
    std::size_t received = 0; // bytes from it
    bool isAdmitted = false; // counts as a tunnel
    bool hasEnded = false;
};

std::optional<TunnelServer::Connection::Request> TunnelServer::Connection::read(const asio::yield_context &yield)
{
    boost::system::error_code error;
    beast::flat_buffer buffer;
    http::request_parser<http::empty_body> parser;
    parser.header_limit(headerLimit);
    this->host.expires_after(this->server->options.requestLimit);
    http::async_read_header(this->host, buffer, parser, yield[error]);
    if (error) {
        Log::info("tunnel_request_unread", {{"reason", error.message()}});
        return std::nullopt;
    }
    const auto &head = parser.get();
    const auto lifetime = readMillis({head["Tunnel-Lifetime-Ms"].data(), head["Tunnel-Lifetime-Ms"].size()});
    Request request{std::string(head.target()), Duration(0)};
    // The other host waits for the answer, so anything after the request is not part of this protocol.
    const bool isFramed = head[tunnelFramingHeader] == tunnelFraming;
    if (head.method() != http::verb::connect || !isFramed || !lifetime || !Address::parse(request.address)
        || buffer.size() > 0) {
        this->answer(400, "Bad Request", yield);
        return std::nullopt;
    }
    request.lifetime = std::min(*lifetime, this->server->options.maxLifetime);
    return request;
}

void TunnelServer::Connection::answer(int status, std::string_view reason, const asio::yield_context &yield)
{
    const std::string text =
        fmt::format("HTTP/1.1 {} {}\r\n{}: {}\r\n\r\n", status, reason, tunnelFramingHeader, tunnelFraming);
    boost::system::error_code error;
    this->host.expires_after(this->server->options.requestLimit);
    asio::async_write(this->host, asio::buffer(text), yield[error]);
    if (status != 200) {
        Log::info("tunnel_refused", {{"status", status}, {"endpoint", this->address}});
    }
}

bool TunnelServer::Connection::connect(const Request &request, const asio::yield_context &yield)
{
    if (this->server->paths.usesTunnel(request.address)) {
        return false;
    }
    const auto parsed = Address::parse(request.address);
    boost::system::error_code error;
    const Instant start = steadyNow();
    this->endpoint.expires_after(this->server->options.connectLimit);
    this->endpoint.async_connect(tcp::endpoint(asio::ip::make_address(parsed->ip), parsed->port), yield[error]);
    reportConnection(this->server->paths, request.address, error, steadyNow() - start);
    if (!error) {
        boost::system::error_code ignored;
        this->endpoint.socket().set_option(tcp::no_delay(true), ignored);
        this->endpoint.socket().set_option(asio::socket_base::receive_buffer_size(receiveBuffer), ignored);
    }
    return !error;
}

void TunnelServer::Connection::end(const char *reason, bool resets)
{
    if (this->hasEnded) {
        return;
    }
    this->hasEnded = true;
    this->lifetimeTimer.cancel();
    boost::system::error_code ignored;
    for (tcp::socket *socket : {&this->host.socket(), &this->endpoint.socket()}) {
        if (resets) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
        }
        socket->close(ignored);
    }
    Log::info("tunnel_ended",
              {{"endpoint", this->address},
               {"reason", reason},
               {"sent", static_cast<std::uint64_t>(this->sent)},
               {"received", static_cast<std::uint64_t>(this->received)},
               {"took_ms", (steadyNow() - this->begin).count() / 1000}});
}

void TunnelServer::Connection::relayFromHost(const asio::yield_context &yield)
{
    std::array<char, readSize> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): written before it is read
    boost::system::error_code error;
    while (!this->hasEnded) {
        const std::size_t count = this->host.socket().async_read_some(asio::buffer(buffer), yield[error]);
        if (error == asio::error::eof) {
            this->end("host closed", false); // the call was aborted or is complete
            return;
        }
        if (error) {
            this->end("host lost", true);
            return;
        }
        countReceived(this->server->options.traffic, count);
        countSent(this->server->options.traffic, count);
        asio::async_write(this->endpoint.socket(), asio::buffer(buffer.data(), count), yield[error]);
        if (error) {
            this->end("endpoint lost", true);
            return;
        }
        this->sent += count;
    }
}

void TunnelServer::Connection::relayFromEndpoint(const asio::yield_context &yield)
{
    std::array<char, readSize> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): written before it is read
    boost::system::error_code error;
    while (!this->hasEnded) {
        const std::size_t count = this->endpoint.socket().async_read_some(asio::buffer(buffer), yield[error]);
        const bool isEnd = error == asio::error::eof && !wasReset(this->endpoint.socket());
        if (error && !isEnd) {
            this->end("endpoint lost", true);
            return;
        }
        countReceived(this->server->options.traffic, count);
        countSent(this->server->options.traffic, count);
        const std::string head = isEnd ? tunnelEnd() : tunnelFrameHead(count);
        const std::array<asio::const_buffer, 2> frame = {asio::buffer(head), asio::buffer(buffer.data(), count)};
        asio::async_write(this->host.socket(), frame, yield[error]);
        if (error) {
            this->end("host lost", true);
            return;
        }
        if (isEnd) {
            return; // the other host closes its connection then
        }
        this->received += count;
        this->readHead({buffer.data(), count});
    }
}

// A tunnel carries one call. A head that is no HTTP is left to the host that sent the call.
void TunnelServer::Connection::readHead(std::string_view received)
{
    if (this->isHeadRead || !this->server->options.onReply) {
        return;
    }
    this->head += received;
    while (!this->isHeadRead) {
        http::response_parser<http::empty_body> parser;
        parser.skip(true);
        parser.header_limit(replyHeaderLimit);
        boost::system::error_code error;
        const std::size_t used = parser.put(asio::buffer(this->head), error);
        if (!parser.is_header_done()) {
            this->isHeadRead = (error && error != http::error::need_more) || this->head.size() > replyHeaderLimit;
            break;
        }
        const auto checked = headOf(parser, parser.get());
        if (checked && checked->isInterim()) {
            this->head.erase(0, used);
            continue;
        }
        if (checked) {
            this->server->options.onReply(this->address, checked->response());
        }
        this->isHeadRead = true;
    }
    if (this->isHeadRead) {
        this->head = {};
    }
}

void TunnelServer::Connection::startTunnel(Duration lifetime)
{
    const auto self = this->shared_from_this();
    this->host.expires_never();
    this->endpoint.expires_never();
    this->lifetimeTimer.expires_after(lifetime);
    this->lifetimeTimer.async_wait([self](const boost::system::error_code &error) {
        if (!error) {
            self->end("lifetime over", true);
        }
    });
    startCoroutine(this->server->io, [self](const asio::yield_context &yield) { self->relayFromEndpoint(yield); });
}

void TunnelServer::Connection::serve(const asio::yield_context &yield)
{
    this->begin = steadyNow();
    const auto request = this->read(yield);
    this->server->openings.remove(this);
    if (!request) {
        return;
    }
    this->address = request->address;
    const Options &options = this->server->options;
    if (this->server->tunnels >= options.tunnels || (options.accepts && !options.accepts())) {
        this->answer(503, "Service Unavailable", yield);
        return;
    }
    if (!options.isEndpoint || !options.isEndpoint(request->address)) {
        this->answer(403, "Forbidden", yield);
        return;
    }
    ++this->server->tunnels;
    this->isAdmitted = true;
    if (!this->connect(*request, yield)) {
        this->answer(502, "Bad Gateway", yield);
        return;
    }
    this->answer(200, "OK", yield);
    this->startTunnel(request->lifetime);
    this->relayFromHost(yield);
}

void TunnelServer::State::accept()
{
    this->acceptor.async_accept(
        [self = this->shared_from_this()](const boost::system::error_code &error, tcp::socket socket) {
            if (!self->acceptor.is_open()) {
                return;
            }
            if (!error) {
                boost::system::error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                const auto connection = std::make_shared<Connection>(self, std::move(socket));
                self->openings.push_back(connection.get());
                self->limitOpenings();
                startCoroutine(self->io, [connection](const asio::yield_context &yield) { connection->serve(yield); });
                self->accept();
                return;
            }
            Log::warning("tunnel_accept_failed", {{"reason", error.message()}});
            self->acceptRetryTimer.expires_after(acceptRetryDelay);
            self->acceptRetryTimer.async_wait([self](const boost::system::error_code &) {
                if (self->acceptor.is_open()) {
                    self->accept();
                }
            });
        });
}

void TunnelServer::State::limitOpenings()
{
    while (this->openings.size() > this->options.openings) {
        this->openings.front()->close();
        this->openings.pop_front();
        ++this->replaced;
        this->replacements.note(this->options.address, "too many connections", steadyNow());
    }
}

tl::expected<std::unique_ptr<TunnelServer>, WireError> TunnelServer::create(asio::io_context &io, Options options,
                                                                            EndpointPaths &paths)
{
    const auto address = Address::parse(options.address);
    if (!address) {
        return tl::make_unexpected(address.error());
    }
    const auto state = std::make_shared<State>(io, std::move(options), paths);
    try {
        const tcp::endpoint endpoint(asio::ip::make_address(address->ip), address->port);
        state->acceptor.open(endpoint.protocol());
        state->acceptor.set_option(tcp::acceptor::reuse_address(true));
        state->acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBuffer)); // inherited by connections
        state->acceptor.bind(endpoint);
        state->acceptor.listen(listenBacklog);
    } catch (const boost::system::system_error &error) {
        return tl::make_unexpected(WireError(fmt::format("listen on {}: {}", state->options.address, error.what())));
    }
    state->accept();
    return std::unique_ptr<TunnelServer>(new TunnelServer(state));
}

TunnelServer::TunnelServer(std::shared_ptr<State> created)
    : state(std::move(created))
{
}

TunnelServer::~TunnelServer()
{
    boost::system::error_code ignored;
    this->state->acceptor.close(ignored);
    this->state->acceptRetryTimer.cancel();
}

std::size_t TunnelServer::tunnels() const
{
    return this->state->tunnels;
}

std::uint64_t TunnelServer::replaced() const
{
    return this->state->replaced;
}

std::uint16_t TunnelServer::port() const
{
    return this->state->acceptor.local_endpoint().port();
}

} // namespace fescuesill
