// The body is parsed into a thread-local scratch buffer. This is safe because parsing is synchronous, so no other
// coroutine of the thread runs in between. Beast's composed read operations are not used for the body: they need a
// buffer for each stream while it waits, which with 10,000 streams would be most of the memory that streams use.
//
// The expiry of a tcp_stream ends an operation that waits. A read that finds bytes does not wait and completes at any
// time, so a server that keeps sending would be read past every deadline. All reads of a reply pass fill(), which
// therefore compares the deadline with the clock itself.
//
// The parser returns the bytes of a body that arrive together with their head before the head has been checked. They
// stay in `partial`, which nobody reads after readHeader() has failed.

#include "wire/httpconnection.h"

#include "wire/address.h"
#include "wire/log.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <fmt/format.h>
#include <limits>

namespace fescuesill
{
namespace
{

constexpr std::size_t readSize = 4096; // bytes in one read; holds a burst of some 80 decode lines
constexpr std::size_t scratchSize = 16384;
constexpr int statusOk = 200;
constexpr int maxInterimReplies = 16; // with a status of 1xx, before one reply
constexpr std::size_t maxUnparsed = 64 << 10; // bytes without an end of a line or a part of a body among them
constexpr std::uint32_t headerLimit = 16 << 10; // bytes; headers of this server and common ones take under 1 KB

// The other host ends a tunnel this long after the deadline of its call, which has closed it by then.
constexpr std::chrono::milliseconds tunnelMargin{500};

std::array<char, scratchSize> &scratch()
{
    thread_local std::array<char, scratchSize> buffer;
    return buffer;
}

HttpFault faultOf(const boost::system::error_code &error)
{
    return error == beast::error::timeout ? HttpFault::Timeout : HttpFault::Closed;
}

// An error of the local side, such as a connection that this process closed, is none of these.
bool isReset(const boost::system::error_code &error)
{
    return error == asio::error::connection_reset || error == asio::error::broken_pipe;
}

} // namespace

void CallAbort::abort()
{
    this->aborted = true;
    if (this->connection != nullptr) {
        this->connection->close();
    }
    if (this->handler) {
        this->handler();
    }
}

void CallAbort::setHandler(std::function<void()> called)
{
    this->handler = std::move(called);
}

bool CallAbort::isAborted() const
{
    return this->aborted;
}

void HttpConnection::setAbort(CallAbort *handle)
{
    if (this->abort != nullptr && this->abort->connection == this) {
        this->abort->connection = nullptr;
    }
    this->abort = handle;
    if (handle != nullptr) {
        handle->connection = this;
    }
}

boost::system::error_code HttpConnection::connect(const std::string &peer, SteadyTime deadline,
                                                  const asio::yield_context &yield)
{
    const auto parsed = Address::parse(peer);
    if (!parsed) {
        return asio::error::invalid_argument;
    }
    boost::system::error_code error;
    this->stream.expires_at(deadline);
    this->stream.async_connect(tcp::endpoint(asio::ip::make_address(parsed->ip), parsed->port), yield[error]);
    if (!error) {
        boost::system::error_code ignored;
        this->stream.socket().set_option(tcp::no_delay(true), ignored);
    }
    return error;
}

std::optional<int> HttpConnection::openTunnel(const std::string &host, SteadyTime deadline, SteadyTime callDeadline,
                                              const asio::yield_context &yield)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(callDeadline - std::chrono::steady_clock::now());
    const std::string request =
        fmt::format("CONNECT {0} HTTP/1.1\r\nHost: {0}\r\n{1}: {2}\r\nTunnel-Lifetime-Ms: {3}\r\n\r\n", this->address,
                    tunnelFramingHeader, tunnelFraming, std::max<std::int64_t>(1, (left + tunnelMargin).count()));
    boost::system::error_code error;
    this->stream.expires_at(deadline);
    asio::async_write(this->stream, asio::buffer(request), yield[error]);
    http::response_parser<http::empty_body> reply;
    reply.skip(true);
    if (!error) {
        http::async_read_header(this->stream, this->buffer, reply, yield[error]);
    }
    if (error) {
        return std::nullopt;
    }
    const auto checked = headOf(reply, reply.get());
    if (!checked) {
        Log::info("tunnel_reply_bad", {{"host", host}, {"reason", checked.error().what()}});
        return std::nullopt;
    }
    const bool isFramed = checked->response().header(tunnelFramingHeader) == tunnelFraming;
    // The endpoint sends nothing before a request, so bytes after the reply are not part of this protocol.
    if (checked->status() == statusOk && (!isFramed || this->buffer.size() > 0)) {
        return std::nullopt;
    }
    this->isTunnelled = true;
    this->address = fmt::format("{} through {}", this->address, host);
    return checked->status();
}

void HttpConnection::expectReply(bool isHead)
{
    this->isToHead = isHead;
    this->head.reset();
    this->parser.emplace();
    this->parser->header_limit(headerLimit);
    // Not boost::none: with it, Boost 1.74 reports any body as over the limit if the header arrives in its own packet.
    this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    this->parser->eager(true);
    this->parser->skip(isHead);
}

void HttpConnection::send(const SerializedRequest &request, bool isHead, SteadyTime deadline,
                          const asio::yield_context &yield)
{
    this->expectReply(isHead);
    this->received = 0;
    this->atEnd = false;
    this->partial.clear();

    boost::system::error_code error;
    this->stream.expires_at(deadline);
    const std::array<asio::const_buffer, 2> parts = {asio::buffer(request.head), asio::buffer(request.body)};
    const std::size_t sent = request.body.empty() ? asio::async_write(this->stream, parts[0], yield[error])
                                                  : asio::async_write(this->stream, parts, yield[error]);
    countSent(this->pool->options.traffic, sent);
    if (error) {
        throw HttpError(faultOf(error), sent == 0, fmt::format("send {}: {}", this->address, error.message()),
                        isReset(error));
    }
}

void HttpConnection::fill(SteadyTime deadline, const asio::yield_context &yield)
{
    if (this->buffer.size() > maxUnparsed) {
        throw HttpError(HttpFault::TooLarge, false, fmt::format("{}: bytes without an end", this->address));
    }
    if (std::chrono::steady_clock::now() >= deadline) {
        throw HttpError(HttpFault::Timeout, false,
                        fmt::format("read {}: no time left after {} bytes", this->address, this->received));
    }
    boost::system::error_code error;
    this->stream.expires_at(deadline);
    const auto space = this->buffer.prepare(readSize);
    const std::size_t count = this->stream.async_read_some(space, yield[error]);
    countReceived(this->pool->options.traffic, count);
    if (this->isTunnelled) {
        this->unframe({static_cast<const char *>(space.data()), count});
    } else {
        this->buffer.commit(count);
    }
    this->received += count;
    if (error == asio::error::eof && !this->isTunnelled) {
        this->atEnd = true;
        return;
    }
    if (error && this->atEnd) {
        return; // of no matter after the last frame
    }
    if (error) {
        throw HttpError(faultOf(error), false,
                        fmt::format("read {}: {} after {} bytes", this->address, error.message(), this->received),
                        isReset(error) && this->received == 0);
    }
}

// Adds what these frames of a tunnel carry to the buffer.
void HttpConnection::unframe(std::string_view received)
{
    std::string payload;
    if (!this->frames.take(received, payload)) {
        throw HttpError(HttpFault::Malformed, false, fmt::format("{}: not a frame of a tunnel", this->address));
    }
    asio::buffer_copy(this->buffer.prepare(payload.size()), asio::buffer(payload));
    this->buffer.commit(payload.size());
    this->atEnd = this->frames.hasEnded();
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
        // At an end of stream before any header byte, the parser would report a complete reply, so put_eof() is
        // skipped.
        const bool hasHeader = this->parser->is_header_done();
        if (hasHeader) {
            this->parser->put_eof(error);
        }
        if (error || !hasHeader || !this->parser->is_done()) {
            throw HttpError(HttpFault::Closed, false, fmt::format("{}: reply cut short", this->address));
        }
    }
}

void HttpConnection::readHeader(SteadyTime deadline, const asio::yield_context &yield)
{
    for (int interim = 0; interim <= maxInterimReplies; ++interim) {
        while (!this->parser->is_header_done()) {
            this->fill(deadline, yield);
            this->parse(this->partial);
        }
        auto checked = headOf(*this->parser, this->parser->get());
        if (!checked) {
            throw HttpError(HttpFault::Malformed, false, fmt::format("{}: {}", this->address, checked.error().what()));
        }
        if (!checked->isInterim()) {
            this->head = std::move(*checked);
            return;
        }
        this->expectReply(this->isToHead); // the reply itself is still to come
        this->parse(this->partial);
    }
    throw HttpError(HttpFault::Malformed, false, fmt::format("{}: no reply after many interim ones", this->address));
}

// Bytes that an earlier call left in the buffer can't be parsed without more.
bool HttpConnection::readSome(std::string &out, SteadyTime deadline, const asio::yield_context &yield)
{
    if (this->parser->is_done()) {
        return false;
    }
    if (!this->atEnd) {
        this->fill(deadline, yield);
    }
    this->parse(out);
    return true;
}

// The timer's handler may run after the wait has ended and the connection is gone, so it first checks the shared state.
bool HttpConnection::waitReadable(Duration limit, const asio::yield_context &yield)
{
    if (this->parser->is_done() || this->atEnd) {
        return true;
    }
    struct Wait {
        bool hasEnded = false;
        bool isExpired = false;
    };
    struct EndOfWait {
        std::shared_ptr<Wait> wait;
        ~EndOfWait()
        {
            this->wait->hasEnded = true;
        }
    };
    const EndOfWait end{std::make_shared<Wait>()};
    asio::steady_timer timer(this->stream.get_executor(), limit);
    timer.async_wait([this, wait = end.wait](const boost::system::error_code &cancelled) {
        if (!cancelled && !wait->hasEnded) {
            wait->isExpired = true;
            boost::system::error_code ignored;
            this->stream.socket().cancel(ignored);
        }
    });
    boost::system::error_code error;
    this->stream.socket().async_wait(tcp::socket::wait_read, yield[error]);
    return !error || !end.wait->isExpired;
}

void ReplyBound::check(const std::string &address, std::size_t size)
{
    this->pool->buffered += size - this->counted;
    this->counted = size;
    const HttpClient::Options &options = this->pool->options;
    // Replies below their share take as much as the limit together at most, so the sum stays below twice the limit.
    const auto limit = static_cast<std::size_t>(options.bufferedLimit.value());
    const bool isOverShare = this->pool->buffered > limit && size > limit / this->pool->replies;
    if (size > static_cast<std::size_t>(options.bodyLimit.value()) || isOverShare) {
        throw HttpError(HttpFault::TooLarge, false, fmt::format("{}: reply too large", address));
    }
}

tl::expected<ReplyHead, WireError> headOf(const http::basic_parser<false> &parser,
                                          const http::response_header<> &parsed)
{
    ParsedHead head{parsed.version(), static_cast<int>(parsed.result_int())};
    if (parser.chunked()) {
        head.framing = BodyFraming::Chunks;
    } else if (parser.need_eof()) {
        head.framing = BodyFraming::Connection;
    }
    for (const auto &field : parsed) {
        head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return ReplyHead::create(std::move(head));
}

HttpResponse HttpConnection::response() const
{
    return this->head->response();
}

bool HttpConnection::isIdleAndOpen()
{
    char byte = 0;
    boost::system::error_code error;
    this->stream.socket().non_blocking(true, error);
    this->stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace fescuesill
