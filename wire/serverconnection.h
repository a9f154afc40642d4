#pragma once

// One caller's connection, and the state of the server that it belongs to. Internal to HttpServer.

#include "wire/clock.h"
#include "wire/delivery.h"
#include "wire/httpserver.h"
#include "wire/receivedbody.h"
#include "wire/refusallog.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>
#include <unordered_map>

namespace fescuesill
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using RequestParser = http::request_parser<ReceivedBody>;

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
    State(asio::io_context &context, Options limits, Handler serve)
        : io(context)
        , options(std::move(limits))
        , handler(std::move(serve))
        , acceptor(context)
        , acceptRetryTimer(context)
        , budget(budgetOptions(this->options))
        , unreadTimer(context)
    {
    }

    // Throws boost::system::system_error.
    void listen();
    void stopListening();
    void accept();
    void startConnection(tcp::socket socket);
    // Closes a connection that waits, if there are as many as there may be. Returns whether one more may be opened.
    bool makeRoom();
    // Closes connections until what the others hold is within the limit.
    void dropBeyondBudget();
    void noteDrop(std::string_view cause);
    // Counts what arrives for connections whose requests are running, as long as there is any.
    void watchUnread();

    asio::io_context &io;
    Options options;
    Handler handler;
    tcp::acceptor acceptor;
    tcp::endpoint endpoint;
    bool isClosed = false;
    asio::steady_timer acceptRetryTimer;
    RequestBudget budget;
    std::unordered_map<ConnectionId, ServerConnection *> connections;
    asio::steady_timer unreadTimer;
    bool isWatchingUnread = false;
    RefusalLog drops{"caller_dropped"};

private:
    static RequestBudget::Options budgetOptions(const Options &options)
    {
        RequestBudget::Options budget;
        budget.limit = options.requestMemory;
        budget.connections = options.connections;
        return budget;
    }
};

enum class ReplyKind {
    Whole, // written at once
    Stream,
};

class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(std::shared_ptr<HttpServer::State> owner, tcp::socket socket)
        : server(std::move(owner))
        , stream(std::move(socket))
        , readTimer(this->server->io)
        , deliveryTimer(this->server->io)
        , delivery(this->stream.socket())
        , held(this->server->budget.open(steadyNow()))
    {
        this->server->connections[this->held] = this;
    }
    ~ServerConnection()
    {
        this->server->budget.close(this->held);
        this->server->connections.erase(this->held);
    }
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    void serve(const asio::yield_context &yield);
    void refuse(const Refusal &refusal, const asio::yield_context &yield);
    // Notes that a reply has been started, and bounds what the kernel holds of it.
    void startReply(ReplyKind kind);
    void send(std::string_view data, const asio::yield_context &yield);
    // Sets the callback of HttpReply::onCallerGone().
    void watchForClose(std::function<void()> callback);
    void close()
    {
        boost::system::error_code ignored;
        this->stream.socket().close(ignored);
    }
    // Ends the connection since memory or connections are used up. A request that is arriving is refused.
    void drop();
    // Counts what the kernel holds of further requests while one is running. Returns false if none is.
    bool countUnread();
    // Ends the connection within a reply. The caller still gets what was written before, unless the body has no
    // framing.
    void abort();
    // Ends the connection for the caller after all that was written; serve() then closes it.
    void endInOrder();
    // Around a body without chunks, which ends with the connection: until it has ended, closing the connection, also by
    // the end of this process, resets it.
    void startUnframedBody();
    void endUnframedBody();
    RequestId newRequestId() const
    {
        return this->server->options.newRequestId ? this->server->options.newRequestId() : RequestId();
    }

    RequestId id;
    bool started = false; // whether the current response has been started
    bool isChunked = true;
    bool keepAlive = true;
    bool isIdle = false; // waiting for the first byte of a request
    std::chrono::steady_clock::time_point replyDeadline = std::chrono::steady_clock::time_point::max();

private:
    // Returns nothing if the connection has ended or the request was refused.
    std::optional<HttpCall> read(const asio::yield_context &yield);
    void handle(HttpCall &call, const asio::yield_context &yield);
    bool awaitByte(const asio::yield_context &yield);
    bool readHeaderAndBody(RequestParser &parser, beast::error_code &error, const asio::yield_context &yield);
    // Reads until the request is complete as far as `isComplete`, to an error, or until the read timer expires.
    void readUntil(bool (RequestParser::*isComplete)() const, RequestParser &parser, beast::error_code &error,
                   const asio::yield_context &yield);
    void fill(RequestParser &parser, beast::error_code &error, const asio::yield_context &yield);
    // What a request holds with so many bytes of its body.
    Bytes requestBytes(std::size_t body) const;
    // Counts what the request holds so far, and drops connections if it is too much.
    void countReceived(const RequestParser &parser);
    // Discards what the kernel holds of a request that is refused, which also keeps the close from being a reset.
    void discardReceived();
    // Refuses a request that is not run. Frees it first, since the caller may take time to receive the refusal.
    void refuseUnread(const Refusal &refusal, std::unique_ptr<RequestParser> parser, const asio::yield_context &yield);
    void onReadable();
    void startReadTimer(Duration limit);
    // Until when the caller must have accepted what is written now.
    std::chrono::steady_clock::time_point writeLimit() const;
    // Follows the reply that was written last until the caller has received it, or resets the connection at its limit.
    void watchDelivery();
    // Returns false if nothing is to be received any more, or the connection was reset.
    bool checkDelivery();
    // The caller is to receive all that was written so far soon after the write limit.
    void expectDelivery();
    void setDeliveryTimer(std::chrono::steady_clock::duration wait);
    void armDeliveryTimer(std::chrono::steady_clock::duration wait);
    // Ends the connection in order, once the caller has received all that was written.
    void finish(const asio::yield_context &yield);
    // Closing the socket from now on resets the connection, or ends it in order again.
    void setResetOnClose(bool resets);

    std::shared_ptr<HttpServer::State> server;
    beast::tcp_stream stream;
    asio::steady_timer readTimer;
    asio::steady_timer deliveryTimer;
    Delivery delivery;
    ReplyKind replyKind = ReplyKind::Whole;
    int sendBuffer = 0; // bytes, as last set; 0 before
    beast::flat_buffer buffer;
    std::function<void()> callerGoneCallback;
    ConnectionId held; // in the budget
    std::size_t headerBytes = 0; // of the request that is being read
    bool isWatching = false;
    bool isInUnframedBody = false;
    bool isTimedOut = false; // the time limit on a header or body was exceeded
    bool isReceiving = false;
    bool isRunning = false;
    bool isDropped = false;
};

} // namespace fescuesill
