// A call takes a connection (a pooled one if reuse is allowed and one is available), writes the whole request, and
// feeds the received bytes to Beast's parser as they arrive. The request is written by one operation, a large body from
// where its owner holds it, so nothing was sent exactly if the write transferred no bytes.
//
// The client may learn only after the write that the server had closed a pooled connection. If reuse is allowed, the
// call may be retried, and it is retried once on a new connection. Otherwise each call uses a new connection.
//
// A tunnel is opened before any byte of the request is sent, so a failure until then changes nothing about whether the
// request was sent. An open tunnel carries bytes like a direct connection.

#include "wire/httpclient.h"

#include "wire/clock.h"
#include "wire/connectionreport.h"
#include "wire/httpconnection.h"
#include "wire/log.h"

#include <fmt/format.h>

namespace fescuesill
{
namespace
{

constexpr int maxTunnelAttempts = 3; // for one connection
constexpr Duration checkLimit{1s}; // for a direct connection and then a tunnel
constexpr std::size_t mostCopied = 16 << 10; // bytes of a body that are written in one piece with the head
constexpr int statusOk = 200;
// Replies of a TunnelServer: the endpoint can't be reached from there either, or is unknown there.
constexpr int statusBadGateway = 502;
constexpr int statusForbidden = 403;

bool hasControlCharacter(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < 0x20; });
}

// Rejects an empty target, a space in the target, and control characters anywhere: a line feed in a header would let a
// caller inject another request on the connection.
void validateRequest(const HttpRequest &request)
{
    bool isInvalid = hasControlCharacter(request.method) || hasControlCharacter(request.target)
        || request.target.find(' ') != std::string::npos || request.target.empty();
    for (const HttpHeader &header : request.headers) {
        isInvalid = isInvalid || hasControlCharacter(header.name) || hasControlCharacter(header.value);
    }
    if (isInvalid) {
        throw HttpError(HttpFault::Malformed, true, "control character in a request");
    }
}

SerializedRequest serialize(const std::string &address, const HttpRequest &request)
{
    const std::string_view body = request.content();
    const bool isCopied = body.size() <= mostCopied;
    SerializedRequest made;
    std::string &text = made.head;
    text.reserve(256 + (isCopied ? body.size() : 0));
    fmt::format_to(std::back_inserter(text), "{} {} HTTP/1.1\r\n", request.method, request.target);
    if (!request.isForwarded) {
        fmt::format_to(std::back_inserter(text), "Host: {}\r\n", address);
    }
    for (const HttpHeader &header : request.headers) {
        fmt::format_to(std::back_inserter(text), "{}: {}\r\n", header.name, header.value);
    }
    const bool hasBody = !body.empty() || request.method == "POST" || request.method == "PUT";
    if (hasBody) {
        if (!request.isForwarded) {
            text += "Content-Type: application/json\r\n";
        }
        fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n", body.size());
    }
    text += "\r\n";
    if (isCopied) {
        text += body;
    } else {
        made.body = body;
    }
    return made;
}

} // namespace

const char *nameOf(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunks:
        return "chunks";
    case BodyFraming::Connection:
        return "connection";
    }
    return "length";
}

const char *nameOf(Liveness liveness)
{
    switch (liveness) {
    case Liveness::Running:
        return "running";
    case Liveness::Ended:
        return "ended";
    case Liveness::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view HttpResponse::header(std::string_view name) const
{
    for (const HttpHeader &header : this->headers) {
        if (beast::iequals({header.name.data(), header.name.size()}, {name.data(), name.size()})) {
            return header.value;
        }
    }
    return {};
}

HttpError::HttpError(HttpFault fault, bool knownNotSent, const std::string &text, bool wasReset)
    : std::runtime_error(text)
    , cause(fault)
    , notSent(knownNotSent)
    , reset(wasReset)
{
}

bool HttpError::isResetBeforeReply() const
{
    return this->reset;
}

HttpFault HttpError::fault() const
{
    return this->cause;
}

bool HttpError::isKnownNotSent() const
{
    return this->notSent;
}

std::unique_ptr<HttpConnection> HttpClient::Pool::take(const std::string &address)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end()) {
        return nullptr;
    }
    auto &queue = found->second;
    const SteadyTime oldest = std::chrono::steady_clock::now() - this->options.idleLimit;
    while (!queue.empty() && queue.front().since < oldest) {
        queue.pop_front();
    }
    while (!queue.empty()) {
        std::unique_ptr<HttpConnection> connection = std::move(queue.back().connection);
        queue.pop_back();
        if (connection->isIdleAndOpen()) {
            connection->reused = true;
            return connection;
        }
    }
    return nullptr;
}

void HttpClient::Pool::release(std::unique_ptr<HttpConnection> connection)
{
    if (!connection->canBeReused() || this->options.idlePerAddress == 0) {
        return;
    }
    auto &queue = this->idle[connection->address];
    if (queue.size() >= this->options.idlePerAddress) {
        queue.pop_front();
    }
    queue.push_back({std::move(connection), std::chrono::steady_clock::now()});
}

std::unique_ptr<HttpConnection> HttpClient::Pool::make(const std::string &address, CallAbort *abort)
{
    if (abort != nullptr && abort->isAborted()) {
        throw HttpError(HttpFault::Closed, false, fmt::format("{}: call aborted", address));
    }
    if (this->open >= this->options.connections) {
        this->idle.clear();
    }
    if (this->open >= this->options.connections) {
        throw HttpError(HttpFault::Busy, true, "bound on connections reached");
    }
    auto connection = std::make_unique<HttpConnection>(this->shared_from_this(), address);
    connection->setAbort(abort);
    return connection;
}

boost::system::error_code HttpClient::Pool::connectDirectly(HttpConnection &connection, SteadyTime deadline,
                                                            const asio::yield_context &yield)
{
    const Instant begin = steadyNow();
    const auto error = connection.connect(connection.address, std::min(deadline, this->connectDeadline()), yield);
    if (this->options.paths != nullptr) {
        reportConnection(*this->options.paths, connection.address, error, steadyNow() - begin);
    }
    return error;
}

std::unique_ptr<HttpConnection> HttpClient::Pool::connect(const std::string &address, const CallOptions &options,
                                                          SteadyTime deadline, const asio::yield_context &yield)
{
    EndpointPaths *paths = options.via == Via::AnyHost ? this->options.paths : nullptr;
    if (paths == nullptr || !paths->usesTunnel(address)) {
        auto connection = this->make(address, options.abort);
        const auto error = this->connectDirectly(*connection, deadline, yield);
        if (!error) {
            return connection;
        }
        const bool hasTime = std::chrono::steady_clock::now() < deadline;
        if (paths == nullptr || !paths->usesTunnelAfterFailure() || !hasTime) {
            throw HttpError(HttpFault::Connect, true, fmt::format("connect {}: {}", address, error.message()));
        }
    }
    paths->onNeeded(address, steadyNow());
    return this->connectThroughTunnel(address, options.abort, deadline, yield);
}

std::unique_ptr<HttpConnection> HttpClient::Pool::connectThroughTunnel(const std::string &address, CallAbort *abort,
                                                                       SteadyTime deadline,
                                                                       const asio::yield_context &yield)
{
    EndpointPaths &paths = *this->options.paths;
    std::string unreachableFrom; // the host that could not reach the endpoint either
    for (int attempt = 0; attempt < maxTunnelAttempts; ++attempt) {
        const auto host = paths.nextTunnelHost(steadyNow(), unreachableFrom);
        if (!host) {
            break;
        }
        auto connection = this->make(address, abort);
        const SteadyTime begin = std::chrono::steady_clock::now();
        std::optional<int> status;
        if (!connection->connect(*host, std::min(deadline, this->connectDeadline()), yield)) {
            // The other host connects to the endpoint within the same limit.
            status = connection->openTunnel(*host, std::min(deadline, begin + 2 * this->options.connectLimit), deadline,
                                            yield);
        }
        if (status == statusOk) {
            if (paths.onTunnelOpened(address, steadyNow())) {
                Log::warning("endpoint_needs_tunnel", {{"endpoint", address}, {"host", *host}});
            }
            return connection;
        }
        if (status == statusBadGateway || status == statusForbidden) {
            if (!unreachableFrom.empty()) {
                break;
            }
            unreachableFrom = *host; // it may be cut off from this endpoint like this one
            continue;
        }
        if (std::chrono::steady_clock::now() >= deadline || (abort != nullptr && abort->isAborted())) {
            throw HttpError(HttpFault::Connect, true, fmt::format("connect {} through {}: no time", address, *host));
        }
        Log::info("tunnel_failed", {{"host", *host}, {"status", status.value_or(0)}});
        paths.onTunnelHostFailed(*host, steadyNow());
    }
    if (!unreachableFrom.empty()) {
        throw HttpError(HttpFault::Connect, true,
                        fmt::format("connect {}: not reached from {} either", address, unreachableFrom));
    }
    throw HttpError(HttpFault::NoPath, true, fmt::format("connect {}: no endpoint can be reached from here", address));
}

std::unique_ptr<HttpConnection> HttpClient::Pool::exchange(const std::string &address, const SerializedRequest &request,
                                                           bool isHead, const CallOptions &options, SteadyTime deadline,
                                                           const asio::yield_context &yield)
{
    std::unique_ptr<HttpConnection> connection = options.reuse == Reuse::Allowed ? this->take(address) : nullptr;
    if (connection) {
        connection->setAbort(options.abort);
        try {
            connection->send(request, isHead, deadline, yield);
            connection->readHeader(deadline, yield);
            return connection;
        } catch (const HttpError &error) {
            const bool wasStale = error.fault() == HttpFault::Closed && connection->received == 0;
            if (!wasStale) {
                throw;
            }
        }
    }
    connection = this->connect(address, options, deadline, yield);
    connection->send(request, isHead, deadline, yield);
    connection->readHeader(deadline, yield);
    return connection;
}

HttpClient::HttpClient(asio::io_context &io, Options options)
    : pool(std::make_shared<Pool>(io, options))
{
}

HttpClient::~HttpClient()
{
    // The pool and its idle connections own each other; this breaks the cycle.
    const auto idle = std::move(this->pool->idle);
    this->pool->idle.clear();
    this->pool->options.idlePerAddress = 0;
}

HttpResponse HttpClient::call(const std::string &address, const HttpRequest &request, const CallOptions &options,
                              const asio::yield_context &yield)
{
    validateRequest(request);
    const SteadyTime deadline = std::chrono::steady_clock::now() + options.deadline;
    auto connection =
        this->pool->exchange(address, serialize(address, request), request.method == "HEAD", options, deadline, yield);
    HttpResponse response = connection->response();
    response.body = std::move(connection->partial);
    connection->partial.clear();
    const SteadyTime bodyEnd = std::chrono::steady_clock::now() + (options.body ? options.body->total : Duration(0));
    const auto bodyDeadline = [&] {
        return options.body ? std::min(bodyEnd, std::chrono::steady_clock::now() + options.body->idle) : deadline;
    };
    const auto bound = std::make_shared<ReplyBound>(this->pool);
    while (connection->readSome(response.body, bodyDeadline(), yield)) {
        bound->check(address, response.body.size());
    }
    response.bound = bound;
    connection->setAbort(nullptr);
    this->pool->release(std::move(connection));
    return response;
}

LineStream HttpClient::open(const std::string &address, const HttpRequest &request, const CallOptions &options,
                            const asio::yield_context &yield)
{
    validateRequest(request);
    const SteadyTime deadline = std::chrono::steady_clock::now() + options.deadline;
    return LineStream(this->pool->exchange(address, serialize(address, request), false, options, deadline, yield));
}

void HttpClient::check(const std::string &address, const asio::yield_context &yield)
{
    EndpointPaths &paths = *this->pool->options.paths;
    const SteadyTime deadline = std::chrono::steady_clock::now() + checkLimit;
    try {
        const auto direct = this->pool->make(address, nullptr);
        const auto error = direct->connect(address, std::min(deadline, this->pool->connectDeadline()), yield);
        if (!error) {
            reportConnection(paths, address, error, Duration(0));
            return;
        }
        paths.onCheckFailed();
        if (!paths.isCutOff()) {
            this->pool->connectThroughTunnel(address, nullptr, deadline, yield);
        }
    } catch (const HttpError &error) {
        Log::info("endpoint_check_failed", {{"endpoint", address}, {"reason", error.what()}});
    }
}

Liveness HttpClient::probe(const std::string &address, Duration limit, const asio::yield_context &yield)
{
    const EndpointPaths *paths = this->pool->options.paths;
    const SteadyTime deadline = std::chrono::steady_clock::now() + std::min(limit, checkLimit);
    const bool isDirect = paths == nullptr || !paths->usesTunnel(address);
    bool isRefused = false;
    try {
        if (isDirect) {
            const auto connection = this->pool->make(address, nullptr);
            const auto error = connection->connect(address, std::min(deadline, this->pool->connectDeadline()), yield);
            if (!error) {
                return Liveness::Running;
            }
            isRefused = error == asio::error::connection_refused || error == asio::error::connection_reset;
        }
        if (paths != nullptr) {
            this->pool->connectThroughTunnel(address, nullptr, deadline, yield);
            return Liveness::Running;
        }
    } catch (const HttpError &error) {
        const bool hadTime = std::chrono::steady_clock::now() < deadline;
        isRefused = isRefused || (!isDirect && hadTime && error.fault() == HttpFault::Connect);
    }
    return isRefused ? Liveness::Ended : Liveness::Unknown;
}

Liveness HttpClient::probe(const std::string &address, const asio::yield_context &yield)
{
    return this->probe(address, checkLimit, yield);
}

std::size_t HttpClient::openConnections() const
{
    return this->pool->open;
}

LineStream::LineStream(std::unique_ptr<HttpConnection> opened)
    : connection(std::move(opened))
{
}

LineStream::LineStream(LineStream &&other) noexcept = default;
LineStream &LineStream::operator=(LineStream &&other) noexcept = default;
LineStream::~LineStream() = default;

int LineStream::status() const
{
    return this->connection->status();
}

std::string LineStream::readAll(Duration deadline, const asio::yield_context &yield)
{
    const SteadyTime end = std::chrono::steady_clock::now() + deadline;
    this->connection->bound = std::make_unique<ReplyBound>(this->connection->pool);
    std::string body = std::move(this->connection->partial);
    this->connection->partial.clear();
    while (this->connection->readSome(body, end, yield)) {
        this->connection->bound->check(this->connection->address, body.size());
    }
    return body;
}

bool LineStream::read(std::string &lines, Duration limit, const asio::yield_context &yield)
{
    const SteadyTime deadline = std::chrono::steady_clock::now() + limit;
    std::string &text = this->connection->partial;
    const auto lineLimit = static_cast<std::size_t>(this->connection->pool->options.lineLimit.value());
    while (true) {
        const std::size_t end = text.rfind('\n');
        if (end != std::string::npos) {
            lines.assign(text, 0, end + 1);
            text.erase(0, end + 1);
            return true;
        }
        if (text.size() > lineLimit) {
            throw HttpError(HttpFault::TooLarge, false, "line too long");
        }
        if (!this->connection->readSome(text, deadline, yield)) {
            return false;
        }
    }
}

bool LineStream::readSome(std::string &out, Duration limit, const asio::yield_context &yield)
{
    const std::size_t before = out.size();
    const SteadyTime deadline = std::chrono::steady_clock::now() + limit;
    while (this->readOnce(out, deadline, yield)) {
        if (out.size() > before) {
            return true;
        }
    }
    return out.size() > before;
}

bool LineStream::readOnce(std::string &out, Duration limit, const asio::yield_context &yield)
{
    return this->readOnce(out, std::chrono::steady_clock::now() + limit, yield);
}

bool LineStream::readOnce(std::string &out, SteadyTime deadline, const asio::yield_context &yield)
{
    std::string &buffered = this->connection->partial; // arrived together with the header
    if (!buffered.empty()) {
        out += buffered;
        buffered.clear();
        return true;
    }
    return this->connection->readSome(out, deadline, yield);
}

bool LineStream::waitReadable(Duration limit, const asio::yield_context &yield)
{
    return !this->connection->partial.empty() || this->connection->waitReadable(limit, yield);
}

HttpResponse LineStream::head() const
{
    return this->connection->response();
}

void LineStream::close()
{
    this->connection->close();
}

} // namespace fescuesill
