// The kernel tells how many bytes it holds that are not acknowledged (SIOCOUTQ). As bytes are acknowledged in order, a
// reply has been received once no more are held than were written after it. The end of the sending half counts as one
// more byte until it is acknowledged.

#include "wire/delivery.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace fescuesill
{

Delivery::Delivery(boost::asio::ip::tcp::socket &connection)
    : socket(connection)
{
}

void Delivery::onWritten(std::size_t bytes)
{
    this->total += bytes;
}

void Delivery::expect(const Reply &reply)
{
    this->expected.push_back({reply, this->total});
}

std::vector<Delivery::Reply> Delivery::takeReceived()
{
    std::vector<Reply> received;
    const std::uint64_t waiting = this->expected.empty() ? 0 : this->unreceived();
    while (!this->expected.empty() && (waiting == 0 || this->expected.front().end + waiting <= this->total)) {
        received.push_back(this->expected.front().reply);
        this->expected.pop_front();
    }
    return received;
}

const Delivery::Reply *Delivery::next() const
{
    return this->expected.empty() ? nullptr : &this->expected.front().reply;
}

std::size_t Delivery::unreceived() const
{
    if (!this->socket.is_open()) {
        return 0;
    }
    const int descriptor = this->socket.native_handle();
    int bytes = 0;
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (::ioctl(descriptor, SIOCOUTQ, &bytes) != 0 || bytes <= 0
        || ::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || info.tcpi_state == TCP_CLOSE) {
        return 0;
    }
    return static_cast<std::size_t>(bytes);
}

} // namespace fescuesill
