#include "wire/probesocket.h"

#include "wire/address.h"
#include "wire/clock.h"
#include "wire/log.h"
#include "wire/probecodec.h"
#include "wire/refusallog.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>

// Each datagram carries one message. If the kernel cannot send a datagram at once, the probe counts as lost: waiting
// for buffer space would only make its content older. A datagram larger than the MTU would be fragmented, and losing
// one fragment would lose all of it. So the membership keeps the data in a probe far below maxDatagramBytes.
//
// A datagram that the seal refuses is counted and not parsed. It costs at most one computation of an authentication
// code over its bytes.

namespace fescuesill
{
namespace
{

namespace asio = boost::asio;
using udp = asio::ip::udp;

constexpr std::size_t maxDatagramBytes = 1400;

} // namespace

struct ProbeSocket::Impl {
    Impl(asio::io_context &context, Handler callback, std::optional<DatagramSeal> given)
        : socket(context)
        , handler(std::move(callback))
        , seal(std::move(given))
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
        const std::string_view datagram(this->buffer.data(), size);
        const Instant now = sharedNow();
        const auto opened = this->seal ? this->seal->open(datagram, now) : DatagramSeal::Opened{datagram, now};
        if (!opened) {
            this->refuse(opened.error());
            return;
        }
        const auto message = decodeProbe(opened->payload);
        if (!message) {
            ++this->traffic.malformed;
            Log::debug("probe_malformed", {{"error", message.error().what()}});
            return;
        }
        const auto fault =
            this->seal ? this->seal->admit({message->from, message->to, opened->sentAt}, now) : std::nullopt;
        if (fault) {
            this->refuse(*fault);
            return;
        }
        this->handler(*message);
    }

    void refuse(DatagramFault fault)
    {
        ++this->traffic.refused[static_cast<std::size_t>(fault)];
        this->refusals.note(this->sender.address().to_string(), faultName(fault), steadyNow());
    }

    void send(const std::string &text, const ProbeMessage &message)
    {
        const auto address = Address::parse(text);
        const std::string plain = encodeProbe(message);
        const std::string bytes = this->seal ? this->seal->seal(plain, sharedNow()) : plain;
        if (!address || bytes.size() > maxDatagramBytes) {
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
    std::optional<DatagramSeal> seal;
    RefusalLog refusals{"probe_refused"};
    std::array<char, 2 * maxDatagramBytes> buffer{};
    ProbeTraffic traffic;
};

ProbeSocket::ProbeSocket(std::unique_ptr<Impl> made)
    : impl(std::move(made))
{
}

ProbeSocket::~ProbeSocket() = default;

tl::expected<std::unique_ptr<ProbeSocket>, WireError> ProbeSocket::create(asio::io_context &context,
                                                                          const std::string &address, Handler handler,
                                                                          std::optional<DatagramSeal> seal)
{
    auto made = std::make_unique<Impl>(context, std::move(handler), std::move(seal));
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
