#pragma once

// For tests: an HttpServer that runs on its own thread, and a raw TCP connection to it.
//
//     ServedThread served(options, handler);
//     RawConnection raw(served.port());
//     raw.send("GET / HTTP/1.1\r\n\r\n");
//     raw.readToEnd();

#include "wire/httpserver.h"

#include <string>
#include <thread>

namespace fescuesill
{

class ServedThread
{
public:
    ServedThread(HttpServer::Options options, HttpServer::Handler handler);
    ~ServedThread();
    ServedThread(const ServedThread &) = delete;
    ServedThread &operator=(const ServedThread &) = delete;

    std::uint16_t port() const;
    std::string address() const;

private:
    asio::io_context io;
    std::unique_ptr<HttpServer> server;
    std::uint16_t boundPort = 0;
    std::thread thread;
};

class RawConnection
{
public:
    explicit RawConnection(std::uint16_t port);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    void send(const std::string &text) const;
    // Closes the sending half of the connection.
    void finishSending() const;
    // Reads until the received bytes contain this text, or to the end of the connection.
    std::string readUntil(const std::string &text);
    std::string readToEnd();

private:
    int descriptor = -1;
    std::string received;
};

// Runs one coroutine to its end on its own io_context.
void runCoroutine(const std::function<void(asio::io_context &, const asio::yield_context &)> &body);

} // namespace fescuesill
