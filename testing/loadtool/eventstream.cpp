// The body is read as it comes with Beast's buffer_body parser and cut into events at blank lines. Only "id:" and
// "data:" lines matter; others are comments and keep-alives. A timer closes the socket when nothing comes for too long,
// since a connection that fell silent looks just like a slow one.

#include "testing/loadtool/eventstream.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace fescuesill::standin
{

namespace http = boost::beast::http;
using boost::system::error_code;

struct EventStream::Connection {
    explicit Connection(asio::io_context &io)
        : socket(std::make_shared<asio::ip::tcp::socket>(io))
        , timer(io)
    {
        this->parser.body_limit(maximumBodyBytes);
    }

    void limit(std::chrono::milliseconds time)
    {
        this->timer.expires_after(time);
        this->timer.async_wait([socket = this->socket](const error_code &error) {
            if (!error) {
                error_code ignored;
                socket->close(ignored);
            }
        });
    }

    std::shared_ptr<asio::ip::tcp::socket> socket;
    asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    bool wasSent = false;
    bool hasHeader = false;
};

EventStream::EventStream(asio::io_context &io, const std::string &address, const ClientCall &call,
                         const asio::yield_context &yield)
    : connection(std::make_unique<Connection>(io))
    , yield(yield)
{
    Connection &mine = *this->connection;
    mine.limit(call.limit);
    error_code error;
    mine.socket->async_connect(parseEndpoint(address), this->yield[error]);
    if (error) {
        return;
    }
    mine.wasSent = true;
    const std::string text = wireText(address, call);
    asio::async_write(*mine.socket, asio::buffer(text), this->yield[error]);
    if (!error) {
        http::async_read_header(*mine.socket, mine.buffer, mine.parser, this->yield[error]);
    }
    mine.hasHeader = !error;
}

EventStream::~EventStream()
{
    error_code ignored;
    this->connection->socket->close(ignored);
}

int EventStream::status() const
{
    return this->connection->hasHeader ? static_cast<int>(this->connection->parser.get().result_int()) : 0;
}

bool EventStream::wasSent() const
{
    return this->connection->wasSent;
}

bool EventStream::hasEvents() const
{
    return this->header("Content-Type").find("text/event-stream") != std::string::npos;
}

std::string EventStream::header(const std::string &name) const
{
    return this->connection->hasHeader ? std::string(this->connection->parser.get()[name]) : std::string();
}

bool EventStream::next(ServerEvent &event, std::chrono::milliseconds limit)
{
    while (!this->takeEvent(event)) {
        if (!this->readSome(limit)) {
            return false;
        }
    }
    return true;
}

bool EventStream::readBody(std::string &body, std::chrono::milliseconds limit)
{
    while (this->readSome(limit)) { }
    body = std::move(this->pending);
    return this->connection->parser.is_done();
}

bool EventStream::readSome(std::chrono::milliseconds limit)
{
    Connection &mine = *this->connection;
    if (!mine.hasHeader || mine.parser.is_done()) {
        return false;
    }
    std::array<char, 8192> room{};
    auto &body = mine.parser.get().body();
    body.data = room.data();
    body.size = room.size();
    body.more = true;
    mine.limit(limit);
    error_code error;
    http::async_read_some(*mine.socket, mine.buffer, mine.parser, this->yield[error]);
    this->pending.append(room.data(), room.size() - body.size);
    return !error || error == http::error::need_buffer;
}

bool EventStream::takeEvent(ServerEvent &event)
{
    const auto end = this->pending.find("\n\n");
    if (end == std::string::npos) {
        return false;
    }
    event = ServerEvent();
    std::string_view rest(this->pending.data(), end + 1);
    while (!rest.empty()) {
        const std::string_view line = rest.substr(0, rest.find('\n'));
        rest.remove_prefix(line.size() + 1);
        if (line.substr(0, 4) == "id: ") {
            event.id = std::string(line.substr(4));
        } else if (line.substr(0, 6) == "data: ") {
            event.data += std::string(line.substr(6));
        }
    }
    this->pending.erase(0, end + 2);
    return !event.data.empty() || this->takeEvent(event);
}

} // namespace fescuesill::standin
