#include "wire/testing/servedthread.h"

#include <array>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace fescuesill
{

ServedThread::ServedThread(HttpServer::Options options, HttpServer::Handler handler)
{
    options.address = "127.0.0.1:0";
    auto created = HttpServer::create(this->io, std::move(options), std::move(handler));
    if (!created) {
        throw std::runtime_error(created.error().what());
    }
    this->server = std::move(*created);
    this->boundPort = this->server->port();
    this->thread = std::thread([this] { this->io.run(); });
}

ServedThread::~ServedThread()
{
    asio::post(this->io, [this] { this->server->close(); });
    this->thread.join();
}

std::uint16_t ServedThread::port() const
{
    return this->boundPort;
}

std::string ServedThread::address() const
{
    return "127.0.0.1:" + std::to_string(this->boundPort);
}

RawConnection::RawConnection(std::uint16_t port)
    : descriptor(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(this->descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        throw std::runtime_error("cannot connect to the test server");
    }
}

RawConnection::~RawConnection()
{
    ::close(this->descriptor);
}

void RawConnection::send(const std::string &text) const
{
    // Ignored, because the server may already have refused the request and closed the connection.
    [[maybe_unused]] const ssize_t ignored = ::send(this->descriptor, text.data(), text.size(), MSG_NOSIGNAL);
}

void RawConnection::finishSending() const
{
    ::shutdown(this->descriptor, SHUT_WR);
}

std::string RawConnection::readUntil(const std::string &text)
{
    std::array<char, 4096> buffer{};
    while (text.empty() || this->received.find(text) == std::string::npos) {
        const ssize_t count = ::recv(this->descriptor, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            break;
        }
        this->received.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return std::exchange(this->received, {});
}

std::string RawConnection::readToEnd()
{
    return this->readUntil({});
}

void runCoroutine(const std::function<void(asio::io_context &, const asio::yield_context &)> &body)
{
    asio::io_context io;
    startCoroutine(io, [&](const asio::yield_context &yield) { body(io, yield); });
    io.run();
}

} // namespace fescuesill
