#include "wire/probesocket.h"

#include "wire/address.h"
#include "wire/log.h"
#include "wire/probecodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>

// One datagram is one message. A send that the kernel will not take at once is a lost probe: waiting for room would
// only delay the news. Datagrams larger than a link's frame would be fragmented, and one lost fragment loses all, so
// membership bounds what rides on a probe far below datagramLimit.

namespace fescuesill
{
namespace
{

namespace asio = boost::asio;
using udp = asio::ip::udp;

constexpr std::size_t datagramLimit = 1400;

} // namespace

struct ProbeSocket::Impl {
    Impl(asio::io_context &context, Handler callback)
        : socket(context)
        , handler(std::move(callback))
    {
    }

    void open(const std::string &text)
    {
        const auto address = Address::parse(text);
        if (!address) {
            throw WireError(address.error());
        }
        const udp::endpoint endpoint(asio::ip::make_address(address->ip), address->port);
        this->socket.open(endpoint.protocol());
        this->socket.bind(endpoint);
        this->socket.non_blocking(true);
    }

    void receive()
    {
        this->socket.async_receive_from(asio::buffer(this->buffer), this->sender,
                                        [this](const boost::system::error_code &failed, std::size_t size) {
                                            if (failed == asio::error::operation_aborted) {
                                                return;
                                            }
                                            if (!failed) {
                                                this->onDatagram(size);
                                            }
                                            this->receive();
                                        });
    }

    void onDatagram(std::size_t size)
    {
        ++this->traffic.received;
        this->traffic.receivedBytes += size;
        const auto message = decodeProbe(std::string_view(this->buffer.data(), size));
        if (!message) {
            ++this->traffic.malformed;
            Log::debug("probe_malformed", {{"error", message.error().what()}});
            return;
        }
        this->handler(*message);
    }

    void send(const std::string &text, const ProbeMessage &message)
    {
        const auto address = Address::parse(text);
        const std::string bytes = encodeProbe(message);
        if (!address || bytes.size() > datagramLimit) {
            Log::warning("probe_not_sent", {{"address", text}, {"bytes", static_cast<std::uint64_t>(bytes.size())}});
            return;
        }
        boost::system::error_code lost;
        const udp::endpoint endpoint(asio::ip::make_address(address->ip), address->port);
        this->socket.send_to(asio::buffer(bytes), endpoint, 0, lost);
        ++this->traffic.sent;
        this->traffic.sentBytes += bytes.size();
    }

    udp::socket socket;
    udp::endpoint sender;
    Handler handler;
    std::array<char, 2 * datagramLimit> buffer{};
    ProbeTraffic traffic;
};

ProbeSocket::ProbeSocket(std::unique_ptr<Impl> made)
    : impl(std::move(made))
{
}

ProbeSocket::~ProbeSocket() = default;

tl::expected<std::unique_ptr<ProbeSocket>, WireError> ProbeSocket::create(asio::io_context &context,
                                                                          const std::string &address, Handler handler)
{
    auto made = std::make_unique<Impl>(context, std::move(handler));
    try {
        made->open(address);
    } catch (const std::exception &failed) {
        return tl::unexpected(WireError("probe port " + address + ": " + failed.what()));
    }
    made->receive();
    return std::unique_ptr<ProbeSocket>(new ProbeSocket(std::move(made)));
}

void ProbeSocket::send(const std::string &address, const ProbeMessage &message)
{
    this->impl->send(address, message);
}

const ProbeTraffic &ProbeSocket::traffic() const
{
    return this->impl->traffic;
}

} // namespace fescuesill
