#pragma once

// Opens tunnels to endpoints for hosts that reach no endpoint themselves.
//
//     TunnelServer::Options options;
//     options.address = "10.1.0.21:7675";
//     options.isEndpoint = [&](const std::string &address) { return fleet.isEndpoint(address); };
//     auto server = TunnelServer::create(io, options, paths);
//
// The other host sends one CONNECT request with the address of the endpoint and how long it needs the connection:
//
//     CONNECT 10.1.64.20:8204 HTTP/1.1
//     Tunnel-Lifetime-Ms: 14000
//
// After "200", bytes pass both ways. "502": the endpoint can't be reached from here either. "403": no such endpoint.
// "503": this host opens no tunnels now.

#include "decide/endpointpaths.h"
#include "wire/coroutine.h"
#include "wire/httpclient.h"
#include "wire/traffic.h"
#include "wire/wireerror.h"

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace fescuesill
{

class TunnelServer
{
public:
    struct Options {
        std::string address = {}; // IP:PORT; port 0 lets the kernel choose
        std::size_t tunnels = 256; // maximum; each takes two descriptors and some 30 KB
        // Connections whose CONNECT request has not arrived; the one that has been open for longest is closed for a new
        // one.
        std::size_t openings = 64;
        Duration requestLimit{1s}; // until the CONNECT request has arrived
        Duration connectLimit{150ms}; // to an endpoint
        Duration maxLifetime{10min}; // of one tunnel, whatever the other host requests
        // Whether tunnels to this address may be opened; without it, none are.
        std::function<bool(const std::string &)> isEndpoint = {};
        // Whether tunnels are opened now; always if empty.
        std::function<bool()> accepts = {};
        // Called with the head of the reply that comes through each tunnel.
        std::function<void(const std::string &, const HttpResponse &)> onReply = {};
        Traffic *traffic = nullptr; // counts the bytes that are relayed, if set; those to be sent on as well
    };

    // `paths` learns which endpoints this host reaches.
    static tl::expected<std::unique_ptr<TunnelServer>, WireError> create(asio::io_context &io, Options options,
                                                                         EndpointPaths &paths);
    ~TunnelServer();
    TunnelServer(const TunnelServer &) = delete;
    TunnelServer &operator=(const TunnelServer &) = delete;

    // Open tunnels.
    std::size_t tunnels() const;
    // Connections that were closed for new ones before their request had arrived.
    std::uint64_t replaced() const;
    std::uint16_t port() const;

private:
    struct State;
    class Connection;

    explicit TunnelServer(std::shared_ptr<State> created);

    std::shared_ptr<State> state;
};

} // namespace fescuesill
