// A call takes a connection (a pooled one where that is allowed and one is at hand), writes the whole request, and
// feeds what comes back to Beast's parser piece by piece. The request is written from one flat buffer, so "nothing was
// sent" is simply "the write moved no byte".
//
// A pooled connection can turn out to be closed by the other end only after the write. Where reuse is allowed the call
// may be repeated, so it is, once, on a fresh connection; where it is not, every call has a connection of its own.
//
// The body is parsed into a scratch buffer that belongs to the thread: parsing is synchronous, so no other coroutine
// can come between. Reading through Beast's own composed operation was rejected: it needs a buffer for each stream for
// as long as it waits, which at 10,000 streams is most of their memory.

#include "wire/httpclient.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <deque>
#include <fmt/format.h>
#include <optional>
#include <unordered_map>

namespace fescuesill
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using SteadyTime = std::chrono::steady_clock::time_point;

namespace
{

constexpr std::size_t readSize = 4096; // of one read: a burst of some 80 decode lines
constexpr std::size_t scratchSize = 16384;
constexpr std::uint32_t headerLimit = 16 << 10; // of a reply; ours and common servers' take under 1 KB

std::array<char, scratchSize> &scratch()
{
    thread_local std::array<char, scratchSize> buffer;
    return buffer;
}

std::optional<tcp::endpoint> parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(host, error);
    const long port = std::strtol(address.c_str() + colon + 1, nullptr, 10);
    if (error || port <= 0 || port > 65535) {
        return std::nullopt;
    }
    return tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

bool hasControl(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < 0x20; });
}

// A line feed in a header would let one caller's text become another request on the same connection.
void checkClean(const HttpRequest &request)
{
    bool dirty = hasControl(request.method) || hasControl(request.target)
        || request.target.find(' ') != std::string::npos || request.target.empty();
    for (const HttpHeader &header : request.headers) {
        dirty = dirty || hasControl(header.name) || hasControl(header.value);
    }
    if (dirty) {
        throw HttpError(HttpFault::Malformed, true, "control character in a request");
    }
}

std::string serialize(const std::string &address, const HttpRequest &request)
{
    std::string text;
    text.reserve(256 + request.body.size());
    fmt::format_to(std::back_inserter(text), "{} {} HTTP/1.1\r\nHost: {}\r\n", request.method, request.target, address);
    for (const HttpHeader &header : request.headers) {
        fmt::format_to(std::back_inserter(text), "{}: {}\r\n", header.name, header.value);
    }
    const bool hasBody = !request.body.empty() || request.method == "POST" || request.method == "PUT";
    if (hasBody) {
        fmt::format_to(std::back_inserter(text), "Content-Type: application/json\r\nContent-Length: {}\r\n",
                       request.body.size());
    }
    text += "\r\n";
    text += request.body;
    return text;
}

HttpFault faultOf(const boost::system::error_code &error)
{
    return error == beast::error::timeout ? HttpFault::Timeout : HttpFault::Closed;
}

} // namespace

std::string_view HttpResponse::header(std::string_view name) const
{
    for (const HttpHeader &header : this->headers) {
        if (beast::iequals({header.name.data(), header.name.size()}, {name.data(), name.size()})) {
            return header.value;
        }
    }
    return {};
}

HttpError::HttpError(HttpFault fault, bool knownNotSent, const std::string &text)
    : std::runtime_error(text)
    , cause(fault)
    , notSent(knownNotSent)
{
}

HttpFault HttpError::fault() const
{
    return this->cause;
}

bool HttpError::isKnownNotSent() const
{
    return this->notSent;
}

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
    std::unique_ptr<HttpConnection> connect(const std::string &address, SteadyTime deadline,
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
    bool replied = false; // at least one byte of a reply came

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
};

void HttpConnection::connect(const tcp::endpoint &endpoint, SteadyTime deadline, const asio::yield_context &yield)
{
    boost::system::error_code error;
    this->stream.expires_at(deadline);
    this->stream.async_connect(endpoint, yield[error]);
    if (error) {
        throw HttpError(HttpFault::Connect, true, fmt::format("connect {}: {}", this->address, error.message()));
    }
    this->stream.socket().set_option(tcp::no_delay(true), error);
}

void HttpConnection::send(const std::string &request, bool isHead, SteadyTime deadline,
                          const asio::yield_context &yield)
{
    this->parser.emplace();
    this->parser->header_limit(headerLimit);
    this->parser->body_limit(boost::none);
    this->parser->eager(true);
    this->parser->skip(isHead);
    this->replied = false;
    this->atEnd = false;
    this->partial.clear();

    boost::system::error_code error;
    this->stream.expires_at(deadline);
    const std::size_t sent = asio::async_write(this->stream, asio::buffer(request), yield[error]);
    if (error) {
        throw HttpError(faultOf(error), sent == 0, fmt::format("send {}: {}", this->address, error.message()));
    }
}

void HttpConnection::fill(SteadyTime deadline, const asio::yield_context &yield)
{
    boost::system::error_code error;
    this->stream.expires_at(deadline);
    const std::size_t count = this->stream.async_read_some(this->buffer.prepare(readSize), yield[error]);
    this->buffer.commit(count);
    this->replied = this->replied || count > 0;
    if (error == asio::error::eof) {
        this->atEnd = true;
        return;
    }
    if (error) {
        throw HttpError(faultOf(error), false, fmt::format("read {}: {}", this->address, error.message()));
    }
}

void HttpConnection::parse(std::string &out)
{
    boost::system::error_code error;
    auto &space = scratch();
    bool more = true;
    while (more && this->buffer.size() > 0 && !this->parser->is_done()) {
        auto &body = this->parser->get().body();
        body.data = space.data();
        body.size = space.size();
        body.more = true;
        const std::size_t used = this->parser->put(this->buffer.data(), error);
        this->buffer.consume(used);
        out.append(space.data(), space.size() - body.size);
        more = used > 0 && (!error || error == http::error::need_buffer);
        if (error && error != http::error::need_buffer && error != http::error::need_more) {
            throw HttpError(HttpFault::Malformed, false, fmt::format("{}: {}", this->address, error.message()));
        }
    }
    if (this->atEnd && !this->parser->is_done()) {
        this->parser->put_eof(error);
        if (error || !this->parser->is_done()) {
            throw HttpError(HttpFault::Closed, false, fmt::format("{}: reply cut short", this->address));
        }
    }
}

void HttpConnection::readHeader(SteadyTime deadline, const asio::yield_context &yield)
{
    while (!this->parser->is_header_done()) {
        this->fill(deadline, yield);
        this->parse(this->partial);
    }
}

bool HttpConnection::readSome(std::string &out, SteadyTime deadline, const asio::yield_context &yield)
{
    if (this->parser->is_done()) {
        return false;
    }
    if (this->buffer.size() == 0 && !this->atEnd) {
        this->fill(deadline, yield);
    }
    const std::size_t before = this->buffer.size();
    this->parse(out);
    // A chunk's header cut in two leaves bytes that parse no further until more come.
    if (before > 0 && this->buffer.size() == before && !this->parser->is_done()) {
        this->fill(deadline, yield);
        this->parse(out);
    }
    return true;
}

HttpResponse HttpConnection::response() const
{
    HttpResponse response;
    response.status = this->status();
    for (const auto &field : this->parser->get()) {
        response.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return response;
}

bool HttpConnection::isQuiet()
{
    char byte = 0;
    boost::system::error_code error;
    this->stream.socket().non_blocking(true, error);
    this->stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
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
        if (connection->isQuiet()) {
            connection->reused = true;
            return connection;
        }
    }
    return nullptr;
}

void HttpClient::Pool::giveBack(std::unique_ptr<HttpConnection> connection)
{
    if (!connection->mayBeKept() || this->options.idlePerAddress == 0) {
        return;
    }
    auto &queue = this->idle[connection->address];
    if (queue.size() >= this->options.idlePerAddress) {
        queue.pop_front();
    }
    queue.push_back({std::move(connection), std::chrono::steady_clock::now()});
}

std::unique_ptr<HttpConnection> HttpClient::Pool::connect(const std::string &address, SteadyTime deadline,
                                                          const asio::yield_context &yield)
{
    if (this->open >= this->options.connections) {
        this->idle.clear();
    }
    if (this->open >= this->options.connections) {
        throw HttpError(HttpFault::Busy, true, "bound on connections reached");
    }
    const auto endpoint = parseAddress(address);
    if (!endpoint) {
        throw HttpError(HttpFault::Connect, true, fmt::format("not an address: {}", address));
    }
    auto connection = std::make_unique<HttpConnection>(this->shared_from_this(), address);
    connection->connect(*endpoint, std::min(deadline, std::chrono::steady_clock::now() + this->options.connectLimit),
                        yield);
    return connection;
}

std::unique_ptr<HttpConnection> HttpClient::Pool::exchange(const std::string &address, const std::string &request,
                                                           bool isHead, const CallOptions &options, SteadyTime deadline,
                                                           const asio::yield_context &yield)
{
    std::unique_ptr<HttpConnection> connection = options.reuse == Reuse::Allowed ? this->take(address) : nullptr;
    if (connection) {
        try {
            connection->send(request, isHead, deadline, yield);
            connection->readHeader(deadline, yield);
            return connection;
        } catch (const HttpError &error) {
            const bool wasStale = error.fault() == HttpFault::Closed && !connection->replied;
            if (!wasStale) {
                throw;
            }
        }
    }
    connection = this->connect(address, deadline, yield);
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
    // Idle connections hold the pool and the pool holds them.
    const auto idle = std::move(this->pool->idle);
    this->pool->idle.clear();
    this->pool->options.idlePerAddress = 0;
}

HttpResponse HttpClient::call(const std::string &address, const HttpRequest &request, const CallOptions &options,
                              const asio::yield_context &yield)
{
    checkClean(request);
    const SteadyTime deadline = std::chrono::steady_clock::now() + options.deadline;
    auto connection =
        this->pool->exchange(address, serialize(address, request), request.method == "HEAD", options, deadline, yield);
    HttpResponse response = connection->response();
    response.body = std::move(connection->partial);
    connection->partial.clear();
    while (connection->readSome(response.body, deadline, yield)) {
        if (response.body.size() > static_cast<std::size_t>(this->pool->options.bodyLimit.value())) {
            throw HttpError(HttpFault::TooLarge, false, fmt::format("{}: reply too large", address));
        }
    }
    this->pool->giveBack(std::move(connection));
    return response;
}

LineStream HttpClient::open(const std::string &address, const HttpRequest &request, const CallOptions &options,
                            const asio::yield_context &yield)
{
    checkClean(request);
    const SteadyTime deadline = std::chrono::steady_clock::now() + options.deadline;
    return LineStream(this->pool->exchange(address, serialize(address, request), false, options, deadline, yield));
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
    const auto limit = static_cast<std::size_t>(this->connection->pool->options.bodyLimit.value());
    std::string body = std::move(this->connection->partial);
    this->connection->partial.clear();
    while (this->connection->readSome(body, end, yield)) {
        if (body.size() > limit) {
            throw HttpError(HttpFault::TooLarge, false, "reply too large");
        }
    }
    return body;
}

bool LineStream::read(std::string &lines, Duration limit, const asio::yield_context &yield)
{
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
        if (!this->connection->readSome(text, std::chrono::steady_clock::now() + limit, yield)) {
            return false;
        }
    }
}

void LineStream::close()
{
    this->connection->close();
}

} // namespace fescuesill
