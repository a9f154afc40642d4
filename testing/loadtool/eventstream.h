#pragma once

// A caller's view of one reply: a whole body, or server-sent events as they come.
//
//     EventStream stream(io, "127.0.0.1:8080", call, yield);
//     if (stream.status() == 200 && stream.hasEvents()) {
//         ServerEvent event;
//         while (stream.next(event, 5s)) { ... event.id, event.data ... }
//     }
//     // false: the end of the reply, a broken connection, or silence for longer than the limit

#include "testing/standin/httpclient.h"

#include <memory>

namespace fescuesill::standin
{

struct ServerEvent {
    std::string id;
    std::string data;
};

class EventStream
{
public:
    EventStream(asio::io_context &io, const std::string &address, const ClientCall &call,
                const asio::yield_context &yield);
    ~EventStream();
    EventStream(const EventStream &) = delete;
    EventStream &operator=(const EventStream &) = delete;

    int status() const; // 0: no reply
    bool wasSent() const;
    bool hasEvents() const;
    std::string header(const std::string &name) const;
    bool next(ServerEvent &event, std::chrono::milliseconds limit);
    // All of the body, where there are no events; false when it was cut short.
    bool readBody(std::string &body, std::chrono::milliseconds limit);

private:
    struct Connection;

    bool readSome(std::chrono::milliseconds limit);
    bool takeEvent(ServerEvent &event);

    std::unique_ptr<Connection> connection;
    asio::yield_context yield;
    std::string pending;
};

} // namespace fescuesill::standin
