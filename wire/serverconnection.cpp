// One coroutine for each connection: wait for a byte, read a header, read a body, hand the call to the handler, answer,
// and again. Every wait has an end. The limit on a header or body counts from its first byte and no further byte
// extends it, so a caller that drips one byte a second is cut off as early as one that sends nothing.
//
// Answers are written with a plain send() first; the kernel nearly always takes the whole piece at once, and a turn
// through the reactor for each token would cost more than the token. Only the rest of a piece waits.
//
// A caller that goes is seen by waiting for its socket to become readable while the handler works: a read of
// nothing is the end. When bytes come instead (the next request, sent early), the wait is given up, and a write will
// tell.

#include "wire/serverconnection.h"

#include "wire/refusaljson.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace fescuesill
{
namespace
{

constexpr std::size_t firstRead = 2048; // most requests whole

std::string_view viewOf(beast::string_view text)
{
    return {text.data(), text.size()};
}

// What a broken request is told; nothing for a connection that just ended.
std::optional<Refusal> refusalFor(const beast::error_code &error)
{
    if (error == http::error::header_limit) {
        return Refusal{RefusalCode::TooLarge, RunState::NotRun, "header over the limit", std::nullopt};
    }
    if (error == http::error::body_limit) {
        return Refusal{RefusalCode::TooLarge, RunState::NotRun, "body over the limit", std::nullopt};
    }
    if (error == beast::error::timeout) {
        return Refusal{RefusalCode::Timeout, RunState::NotRun, "request sent too slowly", std::nullopt};
    }
    if (error == http::error::partial_message) {
        return Refusal{RefusalCode::BadRequest, RunState::NotRun, "request cut short", std::nullopt};
    }
    if (error.category() == http::make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream) {
        return Refusal{RefusalCode::BadRequest, RunState::NotRun, "not HTTP: " + error.message(), std::nullopt};
    }
    return std::nullopt;
}

// The parser takes a transfer coding that it does not know for no body, and would read the body as the next request: a
// request that its caller hid there would run under another caller's connection.
bool hasUnknownCoding(const RequestParser &parser)
{
    const auto &header = parser.get();
    const auto codings = header.equal_range(http::field::transfer_encoding);
    for (auto coding = codings.first; coding != codings.second; ++coding) {
        if (!beast::iequals(coding->value(), "chunked") || std::next(coding) != codings.second) {
            return true;
        }
    }
    return false;
}

} // namespace

bool ServerConnection::awaitByte(const asio::yield_context &yield)
{
    if (this->buffer.size() > 0) {
        return true;
    }
    beast::error_code error;
    this->stream.expires_after(this->server->options.idleLimit);
    this->isIdle = true;
    const std::size_t count = this->stream.async_read_some(this->buffer.prepare(firstRead), yield[error]);
    this->isIdle = false;
    this->buffer.commit(count);
    return !error;
}

bool ServerConnection::readParts(RequestParser &parser, beast::error_code &error, const asio::yield_context &yield)
{
    const auto &options = this->server->options;
    parser.header_limit(static_cast<std::uint32_t>(options.headerLimit.value()));
    parser.body_limit(static_cast<std::uint64_t>(options.bodyLimit.value()));
    this->limitRead(options.headerLimitTime);
    http::async_read_header(this->stream, this->buffer, parser, yield[error]);
    if (!error && hasUnknownCoding(parser)) {
        error = http::error::bad_transfer_encoding;
    }
    if (!error && parser.get()[http::field::expect] == "100-continue") {
        this->send("HTTP/1.1 100 Continue\r\n\r\n", yield);
    }
    if (!error && !parser.is_done()) {
        this->limitRead(options.bodyLimitTime);
        http::async_read(this->stream, this->buffer, parser, yield[error]);
    }
    this->readTimer.cancel();
    if (error && this->isLate) {
        error = beast::error::timeout;
    }
    return !error;
}

// tcp_stream's own limit closes the socket, and a caller that is too slow could not be told so.
void ServerConnection::limitRead(Duration limit)
{
    this->stream.expires_never();
    this->isLate = false;
    this->readTimer.expires_after(limit);
    this->readTimer.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
        if (error || self->readTimer.expiry() > std::chrono::steady_clock::now()) {
            return;
        }
        self->isLate = true;
        boost::system::error_code ignored;
        self->stream.socket().cancel(ignored);
    });
}

std::optional<HttpCall> ServerConnection::read(const asio::yield_context &yield)
{
    if (!this->awaitByte(yield)) {
        return std::nullopt;
    }
    this->started = false;
    this->isChunked = true;
    this->id = this->newRequestId();
    const auto parser = std::make_unique<RequestParser>();
    beast::error_code error;
    if (!this->readParts(*parser, error, yield)) {
        this->keepAlive = false;
        if (const auto refusal = refusalFor(error)) {
            this->refuse(*refusal, yield);
        }
        return std::nullopt;
    }
    auto &message = parser->get();
    this->keepAlive = message.keep_alive();
    this->isChunked = message.version() >= 11;

    HttpCall call;
    call.id = this->id;
    call.method = viewOf(message.method_string());
    call.target = viewOf(message.target());
    for (const auto &field : message) {
        call.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    call.body = std::move(message.body());
    if (this->server->options.requestIdOf) {
        this->id = this->server->options.requestIdOf(call);
        call.id = this->id;
    }
    if (this->buffer.size() == 0) {
        this->buffer.shrink_to_fit();
    }
    return call;
}

void ServerConnection::handle(HttpCall &call, const asio::yield_context &yield)
{
    HttpReply reply(*this);
    try {
        this->server->handler(call, reply, yield);
    } catch (const CallerGone &) {
        this->keepAlive = false;
    } catch (const std::exception &error) {
        // Whether the work ran is not known here, so it must not be called not run.
        this->keepAlive = false;
        if (!this->started) {
            this->refuse({RefusalCode::Internal, RunState::MayHaveRun, error.what(), std::nullopt}, yield);
        }
    }
    this->watch({});
}

void ServerConnection::serve(const asio::yield_context &yield)
{
    try {
        while (this->keepAlive && this->stream.socket().is_open()) {
            auto call = this->read(yield);
            if (!call) {
                break;
            }
            this->handle(*call, yield);
        }
    } catch (const CallerGone &) {
        // It went while it was being refused; nothing is held for it.
    }
    boost::system::error_code ignored;
    this->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    this->close();
}

void ServerConnection::send(std::string_view data, const asio::yield_context &yield)
{
    boost::system::error_code error;
    auto &socket = this->stream.socket();
    const std::size_t sent = socket.write_some(asio::buffer(data.data(), data.size()), error);
    if (error && error != asio::error::would_block) {
        throw CallerGone();
    }
    data.remove_prefix(error ? 0 : sent);
    if (data.empty()) {
        return;
    }
    this->stream.expires_after(this->server->options.stallLimit);
    asio::async_write(this->stream, asio::buffer(data.data(), data.size()), yield[error]);
    if (error) {
        throw CallerGone();
    }
}

void ServerConnection::refuse(const Refusal &refusal, const asio::yield_context &yield)
{
    if (this->server->options.onRefused) {
        this->server->options.onRefused(refusal);
    }
    std::vector<HttpHeader> headers;
    if (refusal.retryAfter) {
        headers.push_back({"Retry-After", retryAfterSeconds(*refusal.retryAfter)});
    }
    HttpReply(*this).send(httpStatus(refusal.code), refusalJson(refusal, this->id), yield, headers);
}

void ServerConnection::watch(std::function<void()> callback)
{
    this->gone = std::move(callback);
    if (!this->gone || this->isWatching) {
        return;
    }
    this->isWatching = true;
    this->stream.socket().async_wait(tcp::socket::wait_read,
                                     [self = this->shared_from_this()](const boost::system::error_code &error) {
                                         self->isWatching = false;
                                         if (!error) {
                                             self->onReadable();
                                         }
                                     });
}

void ServerConnection::onReadable()
{
    if (!this->gone) {
        return;
    }
    char byte = 0;
    boost::system::error_code error;
    const std::size_t count = this->stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error == asio::error::would_block || count > 0) {
        return;
    }
    const auto callback = std::move(this->gone);
    this->gone = {};
    callback();
}

} // namespace fescuesill
