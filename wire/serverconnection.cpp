// One coroutine for each connection repeats these steps: wait for a byte, read a header and a body, and pass the call
// to the handler, which writes the response. Every wait has a time limit. The limit on a header or body starts with its
// first byte and later bytes don't extend it, so a caller that sends one byte a second times out as early as one that
// sends nothing. A timer can only end a read that waits, so fill() also checks whether it has expired: the reads of a
// caller that keeps sending never wait.
//
// Responses are first written with a synchronous non-blocking write. The kernel nearly always accepts all of the data,
// and a pass through the reactor for each token would cost more than the token itself. Only the rest is written
// asynchronously.
//
// What the kernel has accepted is not yet with the caller. The kernel would hold megabytes for a caller that reads
// slowly and deliver them long after the deadline, also after a close. So the send buffer of each connection is
// bounded, and a reply that the caller has not received in full shortly after its deadline ends with a reset, which
// discards the rest. Until then connections end in order, after all that was written. Acknowledgements are those of the
// other end of the TCP connection: what a proxy, or the caller's kernel, holds beyond it can't be seen or discarded
// from here.
//
// What has arrived of a request is counted in the budget of the server with each read. If it is used up, the budget
// names the connections to drop, maybe this one. A read that waits is cancelled for it, like by the timer, and the
// request is refused. Bytes that arrive while the handler runs stay in the kernel and are counted from time to time.
//
// While the handler runs, a wait for the socket to become readable detects a caller that disconnects: a read of zero
// bytes is the end of the connection. If bytes arrive instead (a pipelined request), the wait is not renewed, and a
// disconnect is detected only by the next write.

#include "wire/serverconnection.h"

#include "wire/log.h"
#include "wire/refusaljson.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <utility>

namespace fescuesill
{
namespace
{

constexpr std::size_t firstReadSize = 2048; // bytes; holds most requests completely
constexpr std::size_t bodyReadSize = 8192; // in one read of a longer body
// After its deadline. A whole reply holds no endpoint, and a caller that can't know whether its call ran is worse off
// than with a late one.
constexpr std::chrono::milliseconds wholeReplyMargin(150);
// For the acknowledgement of what was written last. With the margin above, half of the 0.5 s in which a caller must
// have its end; the rest is for what its own kernel holds.
constexpr std::chrono::milliseconds acknowledgementTime(100);
constexpr std::chrono::milliseconds slowDelivery(200); // a reply that is received later is followed and logged
constexpr std::chrono::milliseconds deliveryCheck(20); // between two looks at it
constexpr std::chrono::milliseconds firstDeliveryCheck(4); // after the end of a connection; the next ones double
// Of one connection; the kernel doubles them for its own bookkeeping. Events come in small pieces, and what is buffered
// of them is late. A whole reply is in memory anyway, and the kernel still delivers it after this process has stopped.
constexpr std::size_t streamSendBuffer = 64 << 10;
constexpr std::size_t wholeSendBuffer = 4 << 20;
constexpr std::size_t smallestSendBuffer = 4 << 10;
constexpr Duration retryAfterDrop{1s}; // the requests that hold the memory have ended, or another host is chosen
// For a caller to receive the refusal of a request that it may still be sending.
constexpr std::chrono::seconds unreadRefusalTime(1);
constexpr std::size_t mostDiscarded = 256 << 10; // bytes; more than the receive buffer holds
constexpr std::size_t headerCopies = 2; // as received, and parsed
constexpr std::size_t requestOverhead = 10 << 10; // bytes: the parser, more of the stack, a connection to an endpoint

std::string_view viewOf(beast::string_view text)
{
    return {text.data(), text.size()};
}

Refusal outOfMemory()
{
    return {RefusalCode::Overloaded, RunState::NotRun, "requests take all memory of this host", retryAfterDrop};
}

// The refusal of an invalid request. Returns nothing if the connection has merely ended.
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

// Beast's parser treats a request with an unknown transfer coding as one without a body and would parse the body as the
// next request. This would allow request smuggling: a request hidden in the body would run as if the owner of the
// connection, such as a proxy with many callers, had sent it.
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
    const std::size_t count = this->stream.async_read_some(this->buffer.prepare(firstReadSize), yield[error]);
    this->isIdle = false;
    this->buffer.commit(count);
    fescuesill::countReceived(this->server->options.traffic, count);
    return !error;
}

bool ServerConnection::readHeaderAndBody(RequestParser &parser, beast::error_code &error,
                                         const asio::yield_context &yield)
{
    const auto &options = this->server->options;
    parser.header_limit(static_cast<std::uint32_t>(options.headerLimit.value()));
    parser.body_limit(static_cast<std::uint64_t>(options.bodyLimit.value()));
    this->startReadTimer(options.headerLimitTime);
    this->readUntil(&RequestParser::is_header_done, parser, error, yield);
    if (!error && hasUnknownCoding(parser)) {
        error = http::error::bad_transfer_encoding;
    }
    if (!error && parser.get()[http::field::expect] == "100-continue") {
        this->send("HTTP/1.1 100 Continue\r\n\r\n", yield);
    }
    if (!error && !parser.is_done()) {
        this->startReadTimer(options.bodyLimitTime);
        this->readUntil(&RequestParser::is_done, parser, error, yield);
    }
    this->readTimer.expires_at(std::chrono::steady_clock::time_point::max());
    if (error && this->isTimedOut) {
        error = beast::error::timeout;
    }
    return !error && !this->isDropped;
}

// What the parser leaves is an element that is incomplete, such as the line before a chunk.
void ServerConnection::readUntil(bool (RequestParser::*isComplete)() const, RequestParser &parser,
                                 beast::error_code &error, const asio::yield_context &yield)
{
    while (!error && !(parser.*isComplete)()) {
        std::size_t used = 0;
        if (this->buffer.size() > 0) {
            used = parser.put(this->buffer.data(), error);
            this->buffer.consume(used);
            this->headerBytes += parser.is_header_done() ? 0 : used;
        }
        if (error == http::error::need_more) {
            error = {};
            used = 0;
        }
        if (!error && used == 0) {
            this->fill(parser, error, yield);
        }
    }
}

void ServerConnection::fill(RequestParser &parser, beast::error_code &error, const asio::yield_context &yield)
{
    const auto unparsedLimit = static_cast<std::size_t>(this->server->options.headerLimit.value());
    if (!this->isDropped) {
        this->countReceived(parser);
    }
    if (this->isDropped) {
        error = asio::error::operation_aborted;
        return;
    }
    if (this->isTimedOut) {
        error = beast::error::timeout;
        return;
    }
    if (this->buffer.size() > unparsedLimit) {
        error = http::error::header_limit;
        return;
    }
    const std::size_t size = parser.is_header_done() ? bodyReadSize : firstReadSize;
    const std::size_t count = this->stream.async_read_some(this->buffer.prepare(size), yield[error]);
    this->buffer.commit(count);
    fescuesill::countReceived(this->server->options.traffic, count);
    if (error == asio::error::eof) {
        error = {};
        parser.put_eof(error);
    }
}

Bytes ServerConnection::requestBytes(std::size_t body) const
{
    const std::size_t all = requestOverhead + this->buffer.capacity() + headerCopies * this->headerBytes + body;
    return Bytes(static_cast<std::int64_t>(all));
}

void ServerConnection::countReceived(const RequestParser &parser)
{
    this->server->budget.onReceived(this->held, this->requestBytes(parser.get().body().capacity()), steadyNow());
    this->server->dropBeyondBudget();
}

void ServerConnection::discardReceived()
{
    std::array<char, firstReadSize> discarded; // NOLINT(cppcoreguidelines-pro-type-member-init): never read
    boost::system::error_code error;
    for (std::size_t total = 0; total < mostDiscarded && !error;) {
        total += this->stream.socket().read_some(asio::buffer(discarded), error);
    }
}

void ServerConnection::refuseUnread(const Refusal &refusal, std::unique_ptr<RequestParser> parser,
                                    const asio::yield_context &yield)
{
    this->keepAlive = false;
    this->isReceiving = false;
    parser.reset();
    this->buffer.clear();
    this->buffer.shrink_to_fit();
    this->server->budget.onIdle(this->held, steadyNow());
    this->discardReceived();
    this->replyDeadline = std::chrono::steady_clock::now() + unreadRefusalTime;
    this->refuse(refusal, yield);
}

void ServerConnection::drop()
{
    this->isDropped = true;
    if (this->isReceiving) {
        boost::system::error_code ignored;
        this->stream.socket().cancel(ignored);
        return;
    }
    if (this->isRunning) {
        this->setResetOnClose(true); // the response must not look complete
    }
    this->close();
    if (const auto callback = std::exchange(this->callerGoneCallback, {})) {
        callback(); // the wait for the caller to close has ended with its pipelined bytes
    }
}

bool ServerConnection::countUnread()
{
    boost::system::error_code error;
    const std::size_t unread = this->stream.socket().available(error);
    if (!this->isRunning || error) {
        return false;
    }
    this->server->budget.onUnread(this->held, Bytes(static_cast<std::int64_t>(unread)));
    return unread > 0;
}

// The timeout of tcp_stream closes the socket, so a caller that is too slow could not be sent a refusal. This timer
// only cancels the read.
void ServerConnection::startReadTimer(Duration limit)
{
    this->stream.expires_never();
    this->isTimedOut = false;
    this->readTimer.expires_after(limit);
    this->readTimer.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
        if (error || self->readTimer.expiry() > std::chrono::steady_clock::now()) {
            return;
        }
        self->isTimedOut = true;
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
    this->replyDeadline = std::chrono::steady_clock::time_point::max();
    this->id = this->newRequestId();
    this->headerBytes = 0;
    this->isReceiving = true;
    auto parser = std::make_unique<RequestParser>();
    beast::error_code error;
    if (!this->readHeaderAndBody(*parser, error, yield)) {
        this->keepAlive = false;
        if (const auto refusal = this->isDropped ? outOfMemory() : refusalFor(error)) {
            this->refuseUnread(*refusal, std::move(parser), yield);
        }
        return std::nullopt;
    }
    this->isReceiving = false;
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
    const auto copies = static_cast<std::size_t>(this->server->options.bodyCopies);
    if (!this->server->budget.start(this->held, this->requestBytes(copies * call.body.capacity()), steadyNow())) {
        this->server->noteDrop("memory used up by running requests");
        call = {};
        this->refuseUnread(outOfMemory(), std::move(parser), yield);
        return std::nullopt;
    }
    return call;
}

void ServerConnection::handle(HttpCall &call, const asio::yield_context &yield)
{
    HttpReply reply(*this);
    this->isRunning = true;
    try {
        this->server->handler(call, reply, yield);
    } catch (const CallerGone &) {
        this->keepAlive = false;
    } catch (const std::exception &error) {
        // It is unknown here whether the work ran, so the refusal must not state NotRun.
        this->keepAlive = false;
        if (!this->started) {
            this->refuse({RefusalCode::Internal, RunState::MayHaveRun, error.what(), std::nullopt}, yield);
        }
    }
    this->watchForClose({});
    this->isRunning = false;
    this->server->budget.onIdle(this->held, steadyNow());
    this->watchDelivery();
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
        // The caller disconnected while its request was being refused; nothing is reserved for it.
    }
    this->finish(yield);
}

void ServerConnection::startReply(ReplyKind kind)
{
    this->started = true;
    this->replyKind = kind;
    const auto all = static_cast<std::size_t>(this->server->options.sendBuffers.value());
    const std::size_t share = all / std::max<std::size_t>(this->server->connections.size(), 1);
    const std::size_t most = kind == ReplyKind::Stream ? streamSendBuffer : wholeSendBuffer;
    const auto size = static_cast<int>(std::clamp(share, smallestSendBuffer, most));
    if (size != this->sendBuffer) {
        boost::system::error_code ignored;
        this->stream.socket().set_option(asio::socket_base::send_buffer_size(size), ignored);
        this->sendBuffer = size;
    }
}

std::chrono::steady_clock::time_point ServerConnection::writeLimit() const
{
    const auto stalled = std::chrono::steady_clock::now() + this->server->options.stallLimit;
    if (this->replyDeadline == std::chrono::steady_clock::time_point::max()) {
        return stalled;
    }
    const bool isWhole = this->replyKind == ReplyKind::Whole;
    return std::min(stalled, this->replyDeadline + (isWhole ? wholeReplyMargin : std::chrono::milliseconds(0)));
}

void ServerConnection::expectDelivery()
{
    const auto now = std::chrono::steady_clock::now();
    this->delivery.expect({this->id, now, std::max(this->writeLimit(), now) + acknowledgementTime});
}

void ServerConnection::setDeliveryTimer(std::chrono::steady_clock::duration wait)
{
    this->deliveryTimer.expires_at(std::min(this->delivery.next()->limit, std::chrono::steady_clock::now() + wait));
}

void ServerConnection::watchDelivery()
{
    const bool isWatched = this->checkDelivery();
    if (!this->keepAlive || !this->delivery.hasUnreceived()) {
        return;
    }
    this->expectDelivery();
    if (!isWatched) {
        this->armDeliveryTimer(slowDelivery);
    }
}

bool ServerConnection::checkDelivery()
{
    const auto now = std::chrono::steady_clock::now();
    for (const Delivery::Reply &reply : this->delivery.takeReceived()) {
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(now - reply.written);
        if (took > slowDelivery && this->stream.socket().is_open()) {
            Log::info("reply_received_late", {{"request", reply.id.value()}, {"after_ms", took.count()}});
        }
    }
    const Delivery::Reply *next = this->delivery.next();
    if (next == nullptr || !this->stream.socket().is_open()) {
        return false;
    }
    if (next->limit > now) {
        return true;
    }
    Log::info("reply_reset",
              {{"request", next->id.value()},
               {"after_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - next->written).count()},
               {"unreceived_bytes", static_cast<std::uint64_t>(this->delivery.unreceived())},
               {"written_bytes", this->delivery.written()}});
    this->setResetOnClose(true);
    this->close();
    return false;
}

void ServerConnection::armDeliveryTimer(std::chrono::steady_clock::duration wait)
{
    this->setDeliveryTimer(wait);
    this->deliveryTimer.async_wait([weak = this->weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self && self->checkDelivery()) {
            self->armDeliveryTimer(deliveryCheck);
        }
    });
}

void ServerConnection::finish(const asio::yield_context &yield)
{
    boost::system::error_code ignored;
    if (!this->isInUnframedBody) { // a shutdown would end the connection in order
        this->endInOrder();
        this->expectDelivery();
        auto wait = firstDeliveryCheck;
        while (this->checkDelivery()) {
            this->setDeliveryTimer(wait);
            this->deliveryTimer.async_wait(yield[ignored]);
            wait = std::min(wait * 2, deliveryCheck);
        }
    }
    this->deliveryTimer.cancel();
    this->close();
}

void ServerConnection::setResetOnClose(bool resets)
{
    boost::system::error_code ignored;
    this->stream.socket().set_option(asio::socket_base::linger(resets, 0), ignored);
}

void ServerConnection::abort()
{
    if (this->isInUnframedBody || !this->delivery.hasUnreceived()) {
        this->close();
    } else {
        this->endInOrder();
    }
}

void ServerConnection::endInOrder()
{
    boost::system::error_code ignored;
    this->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

void ServerConnection::startUnframedBody()
{
    this->setResetOnClose(true);
    this->isInUnframedBody = true;
}

void ServerConnection::endUnframedBody()
{
    this->setResetOnClose(false);
    this->isInUnframedBody = false;
}

void ServerConnection::send(std::string_view data, const asio::yield_context &yield)
{
    countSent(this->server->options.traffic, data.size());
    boost::system::error_code error;
    auto &socket = this->stream.socket();
    const std::size_t sent = socket.write_some(asio::buffer(data.data(), data.size()), error);
    if (error && error != asio::error::would_block) {
        throw CallerGone();
    }
    data.remove_prefix(error ? 0 : sent);
    this->delivery.onWritten(error ? 0 : sent);
    if (data.empty()) {
        return;
    }
    this->stream.expires_at(this->writeLimit());
    this->setResetOnClose(true); // by the expiry, at which the kernel still holds a buffer full
    this->server->budget.onUnsent(this->held, Bytes(static_cast<std::int64_t>(data.size())), steadyNow());
    this->server->dropBeyondBudget();
    const std::size_t rest = asio::async_write(this->stream, asio::buffer(data.data(), data.size()), yield[error]);
    this->delivery.onWritten(rest);
    this->server->budget.onUnsent(this->held, Bytes(0), steadyNow());
    if (error) {
        throw CallerGone();
    }
    this->setResetOnClose(this->isInUnframedBody);
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

void ServerConnection::watchForClose(std::function<void()> callback)
{
    this->callerGoneCallback = std::move(callback);
    if (!this->callerGoneCallback || this->isWatching) {
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
    if (!this->callerGoneCallback) {
        return;
    }
    char byte = 0;
    boost::system::error_code error;
    const std::size_t count = this->stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (count > 0) {
        this->server->watchUnread();
        return;
    }
    if (error == asio::error::would_block) {
        return;
    }
    const auto callback = std::move(this->callerGoneCallback);
    this->callerGoneCallback = {};
    callback();
}

} // namespace fescuesill
