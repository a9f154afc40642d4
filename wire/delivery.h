#pragma once

// Which bytes written to a TCP connection the other end has not acknowledged yet, and until when it must have.
//
//     Delivery delivery(socket);
//     delivery.onWritten(socket.write_some(buffer));
//     delivery.expect({request, now, limit});
//     for (const Delivery::Reply &reply : delivery.takeReceived()) { ... }
//     if (delivery.next() && delivery.next()->limit <= now) { ... it was not received in time ... }

#include "fescuesill/ids.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <vector>

namespace fescuesill
{

class Delivery
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Reply {
        RequestId id;
        TimePoint written;
        TimePoint limit;
    };

    // The socket must outlive this object.
    explicit Delivery(boost::asio::ip::tcp::socket &socket);

    void onWritten(std::size_t bytes);
    // All that was written so far, of which the reply is the last, is to be received until its limit.
    void expect(const Reply &reply);
    // The replies that have been received since the last call, the oldest first.
    std::vector<Reply> takeReceived();
    // The oldest reply that takeReceived() has not returned; null without one.
    const Reply *next() const;

    // Bytes. 0 once the connection is closed, or was reset by the other end.
    std::size_t unreceived() const;
    bool hasUnreceived() const
    {
        return this->unreceived() > 0;
    }
    // Bytes, of the whole connection.
    std::uint64_t written() const
    {
        return this->total;
    }

private:
    struct Expected {
        Reply reply;
        std::uint64_t end; // its last byte, counted from the start of the connection
    };

    boost::asio::ip::tcp::socket &socket;
    std::uint64_t total = 0;
    std::deque<Expected> expected; // each takes a part of the send buffer, which bounds them
};

} // namespace fescuesill
