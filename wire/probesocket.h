#pragma once

// The UDP socket over which schedulers probe each other.
//
//     auto socket = ProbeSocket::create(io, "127.0.0.1:8081", [&](const ProbeMessage &probe) { ... }).value();
//     socket->send("127.0.0.1:8091", probe);       // may be lost, like any datagram
//
// With a seal (promise/datagramseal.h) the handler receives only probes signed with the fleet's key, and each only
// once.
//
// Not thread-safe: used from the thread of its io_context only.

#include "promise/datagramseal.h"
#include "promise/membership.h"
#include "wire/wireerror.h"

#include <array>
#include <functional>
#include <memory>
#include <tl/expected.hpp>

namespace boost::asio
{
class io_context;
}

namespace fescuesill
{

struct ProbeTraffic {
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t malformed = 0;
    std::array<std::uint64_t, datagramFaults> refused{}; // by DatagramFault
};

class ProbeSocket
{
public:
    using Handler = std::function<void(const ProbeMessage &)>;

    static tl::expected<std::unique_ptr<ProbeSocket>, WireError> create(boost::asio::io_context &context,
                                                                        const std::string &address, Handler handler,
                                                                        std::optional<DatagramSeal> seal = {});
    ~ProbeSocket();
    ProbeSocket(const ProbeSocket &) = delete;
    ProbeSocket &operator=(const ProbeSocket &) = delete;

    void send(const std::string &address, const ProbeMessage &message);
    const ProbeTraffic &traffic() const;

private:
    struct Impl;
    explicit ProbeSocket(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace fescuesill
