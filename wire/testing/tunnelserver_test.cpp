#include "wire/tunnelserver.h"

#include "wire/clock.h"
#include "wire/testing/servedthread.h"
#include "wire/tunnelframes.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

using tcp = asio::ip::tcp;

// What the endpoint does once it has read a request.
enum class Ending {
    Closes, // in order, after its reply
    Resets, // after a part of its reply
    Waits, // keeps the connection open without a reply
};

// A host that opens tunnels, an endpoint, and a client on another host that reaches neither this endpoint nor others.
class World
{
public:
    World(asio::io_context &context, Ending end)
        : io(context)
        , acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , ending(end)
        , clientPaths(EndpointPaths::Options{}, 1)
        , serverPaths(EndpointPaths::Options{}, 2)
    {
        this->endpoint = "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
        TunnelServer::Options options;
        options.address = "127.0.0.1:0";
        options.tunnels = 2;
        options.openings = 4;
        options.isEndpoint = [this](const std::string &address) {
            return this->isKnown && address != "127.0.0.1:9";
        };
        options.accepts = [this] {
            return this->accepts;
        };
        options.onReply = [this](const std::string &, const HttpResponse &head) {
            this->noticed.push_back(head.status);
        };
        this->server = *TunnelServer::create(context, options, this->serverPaths);
        this->clientPaths.setTunnelHosts({this->tunnels()});
        this->clientPaths.onConnectFailed("127.0.0.1:1", Instant());
        this->clientPaths.onConnectFailed("127.0.0.1:2", Instant());
        HttpClient::Options clientOptions;
        clientOptions.paths = &this->clientPaths;
        this->client = std::make_unique<HttpClient>(context, clientOptions);
        startCoroutine(context, [this](const asio::yield_context &yield) { this->serveEndpoint(yield); });
    }

    std::string tunnels() const
    {
        return "127.0.0.1:" + std::to_string(this->server->port());
    }
    HttpResponse call(const asio::yield_context &yield, Duration deadline = 2s, CallAbort *abort = nullptr)
    {
        return this->client->call(this->endpoint, {"POST", "/", "x"}, {deadline, Reuse::Never, abort}, yield);
    }
    void wait(Duration duration, const asio::yield_context &yield)
    {
        asio::steady_timer timer(this->io, duration);
        timer.async_wait(yield);
    }
    void end()
    {
        this->acceptor.close();
        this->server.reset();
    }

    asio::io_context &io;
    tcp::acceptor acceptor;
    Ending ending;
    std::string endpoint;
    EndpointPaths clientPaths;
    EndpointPaths serverPaths;
    std::unique_ptr<TunnelServer> server;
    std::unique_ptr<HttpClient> client;
    bool isKnown = true;
    bool accepts = true;
    int accepted = 0; // connections at the endpoint
    int ended = 0; // of these, seen closed by the other side
    int replying = 0; // of these, that the endpoint still serves
    std::string answer = "HTTP/1.1 200 OK\r\n\r\nwhole"; // without a length: the body ends with the connection
    std::vector<int> noticed; // statuses of the heads that the other host read as it passed them on

private:
    void serveEndpoint(const asio::yield_context &yield)
    {
        boost::system::error_code error;
        while (true) {
            auto socket = std::make_shared<tcp::socket>(this->io);
            this->acceptor.async_accept(*socket, yield[error]);
            if (error) {
                return;
            }
            ++this->accepted;
            ++this->replying;
            startCoroutine(this->io, [this, socket](const asio::yield_context &inner) {
                this->reply(*socket, inner);
                --this->replying;
            });
        }
    }
    void reply(tcp::socket &socket, const asio::yield_context &yield)
    {
        boost::system::error_code error;
        std::array<char, 1024> bytes{};
        socket.async_read_some(asio::buffer(bytes), yield[error]);
        if (this->ending != Ending::Waits && !error) {
            asio::async_write(socket, asio::buffer(this->answer), yield[error]);
            this->wait(20ms, yield);
        }
        if (this->ending == Ending::Resets) {
            socket.set_option(asio::socket_base::linger(true, 0));
        }
        if (this->ending != Ending::Waits) {
            socket.close();
            return;
        }
        while (!error) {
            socket.async_read_some(asio::buffer(bytes), yield[error]);
        }
        ++this->ended;
    }
};

std::optional<HttpError> faultOf(World &world, const asio::yield_context &yield, Duration deadline = 2s)
{
    try {
        world.call(yield, deadline);
    } catch (const HttpError &error) {
        return error;
    }
    return std::nullopt;
}

TEST(TunnelServer, CarriesACallOfAHostThatReachesNoEndpoint)
{
    runCoroutine([](asio::io_context &io, const asio::yield_context &yield) {
        World world(io, Ending::Closes);
        const HttpResponse response = world.call(yield);
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.body, "whole");
        EXPECT_EQ(world.clientPaths.counts().tunnelled, 1U);
        EXPECT_EQ(world.clientPaths.counts().opened, 0U);
        EXPECT_EQ(world.serverPaths.counts().opened, 1U);
        world.wait(50ms, yield);
        EXPECT_EQ(world.server->tunnels(), 0U);
        world.end();
    });
}

// Guards against a body that ends with its connection and looks complete although the endpoint reset the connection.
TEST(TunnelServer, PassesOnAReset)
{
    runCoroutine([](asio::io_context &io, const asio::yield_context &yield) {
        World world(io, Ending::Resets);
        const auto fault = faultOf(world, yield);
        ASSERT_TRUE(fault);
        EXPECT_EQ(fault->fault(), HttpFault::Closed);
        EXPECT_FALSE(fault->isKnownNotSent());
        world.end();
    });
}

// Guards against a notice that the other host takes from a head that HTTP does not allow.
TEST(TunnelServer, NotesHeadsOfRepliesOnly)
{
    const struct {
        std::string answer;
        std::vector<int> noticed;
    } cases[] = {
        {"HTTP/1.1 200 OK\r\n\r\nwhole", {200}},
        {"HTTP/1.1 503 Service Unavailable\r\n\r\nwhole", {503}},
        {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\n\r\nwhole", {201}},
        {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Status\r\n\r\nwhole", {}},
        {"HTTP/1.1 000 Status\r\n\r\nwhole", {}},
        {"HTTP/1.1 999 Status\r\n\r\nwhole", {}},
        {"HTTP/1.1 200 OK\r\nX Other: 1\r\n\r\nwhole", {}},
        {"HTTP/1.1 200 OK\r\nX-\x01Other: 1\r\n\r\nwhole", {}},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nwhole", {}},
    };
    for (const auto &each : cases) {
        runCoroutine([&each](asio::io_context &io, const asio::yield_context &yield) {
            World world(io, Ending::Closes);
            world.answer = each.answer;
            const bool isReply = !each.noticed.empty();
            EXPECT_EQ(!faultOf(world, yield), isReply) << each.answer;
            EXPECT_EQ(world.noticed, each.noticed) << each.answer;
            while (world.replying > 0) { // a caller that refuses the head does not wait for the endpoint
                world.wait(10ms, yield);
            }
            world.end();
        });
    }
}

// Guards against endpoints that work on for callers who have left.
TEST(TunnelServer, EndsWithTheCall)
{
    runCoroutine([](asio::io_context &io, const asio::yield_context &yield) {
        World world(io, Ending::Waits);
        CallAbort abort;
        asio::steady_timer timer(io, 100ms);
        timer.async_wait([&abort](const boost::system::error_code &) { abort.abort(); });
        EXPECT_THROW(world.call(yield, 2s, &abort), HttpError);
        world.wait(50ms, yield);
        EXPECT_EQ(world.accepted, 1);
        EXPECT_EQ(world.ended, 1);
        EXPECT_EQ(world.server->tunnels(), 0U);
        world.end();
    });
}

// Guards against endpoints that work on for a host that died, or whose link is cut: it never closes its connection.
TEST(TunnelServer, EndsWithItsLifetime)
{
    runCoroutine([](asio::io_context &io, const asio::yield_context &yield) {
        World world(io, Ending::Waits);
        tcp::socket host(io);
        host.async_connect(tcp::endpoint(asio::ip::address_v4::loopback(), world.server->port()), yield);
        const std::string request =
            "CONNECT " + world.endpoint + " HTTP/1.1\r\nTunnel-Framing: length\r\nTunnel-Lifetime-Ms: 100\r\n\r\n";
        asio::async_write(host, asio::buffer(request), yield);
        world.wait(50ms, yield);
        asio::async_write(host, asio::buffer("x", 1), yield);
        EXPECT_EQ(world.server->tunnels(), 1U);
        world.wait(150ms, yield);
        EXPECT_EQ(world.ended, 1);
        EXPECT_EQ(world.server->tunnels(), 0U);
        world.end();
    });
}

// Guards against an endpoint that counts as ended since there was no time to connect to it.
TEST(TunnelServer, AProbeWithoutTimeShowsNothing)
{
    runCoroutine([](asio::io_context &io, const asio::yield_context &yield) {
        World world(io, Ending::Waits);
        EXPECT_STREQ(nameOf(world.client->probe(world.endpoint, 1s, yield)), "running");
        EXPECT_STREQ(nameOf(world.client->probe(world.endpoint, 0ms, yield)), "unknown");
        while (world.ended < world.accepted) {
            world.wait(10ms, yield);
        }
        world.end();
    });
}

TEST(TunnelServer, TellsWhatWasNotSent)
{
    struct Case {
        const char *name;
        std::function<void(World &)> prepare;
        HttpFault fault;
        bool isHostPaused;
    };
    const Case cases[] = {
        {"the endpoint is down", [](World &world) { world.acceptor.close(); }, HttpFault::Connect, false},
        {"the endpoint is unknown there", [](World &world) { world.isKnown = false; }, HttpFault::Connect, false},
        {"the other host reaches none either", [](World &world) { world.accepts = false; }, HttpFault::NoPath, true},
        {"the other host is gone", [](World &world) { world.clientPaths.setTunnelHosts({"127.0.0.1:9"}); },
         HttpFault::NoPath, true},
    };
    for (const Case &one : cases) {
        runCoroutine([&one](asio::io_context &io, const asio::yield_context &yield) {
            World world(io, Ending::Closes);
            one.prepare(world);
            const auto fault = faultOf(world, yield);
            ASSERT_TRUE(fault) << one.name;
            EXPECT_EQ(fault->fault(), one.fault) << one.name;
            EXPECT_TRUE(fault->isKnownNotSent()) << one.name;
            EXPECT_EQ(world.accepted, 0) << one.name;
            EXPECT_EQ(!world.clientPaths.nextTunnelHost(steadyNow()), one.isHostPaused) << one.name;
            world.end();
        });
    }
}

// A host that answers a request for a tunnel with these bytes, and closes its connection in order.
std::string hostThatSends(asio::io_context &io, tcp::acceptor &acceptor, std::string bytes)
{
    startCoroutine(io, [&io, &acceptor, bytes = std::move(bytes)](const asio::yield_context &yield) {
        boost::system::error_code error;
        tcp::socket socket(io);
        std::array<char, 1024> request{};
        acceptor.async_accept(socket, yield[error]);
        socket.async_read_some(asio::buffer(request), yield[error]);
        asio::async_write(socket, asio::buffer(std::string_view(bytes).substr(0, bytes.find("\r\n\r\n") + 4)),
                          yield[error]);
        socket.async_read_some(asio::buffer(request), yield[error]);
        asio::async_write(socket, asio::buffer(std::string_view(bytes).substr(bytes.find("\r\n\r\n") + 4)),
                          yield[error]);
    });
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

// Guards against the end of a host that carries a tunnel being taken for the end of a body without a length.
TEST(TunnelServer, TellsItsOwnEndFromThatOfTheEndpoint)
{
    const std::string opened = "HTTP/1.1 200 OK\r\nTunnel-Framing: length\r\n\r\n";
    const std::string answer = "HTTP/1.1 200 OK\r\n\r\nwhole";
    const std::string framed = tunnelFrameHead(answer.size()) + answer;
    struct Case {
        const char *name;
        std::string sent;
        std::optional<HttpFault> fault;
    };
    const Case cases[] = {
        {"the endpoint closed", opened + framed + tunnelEnd(), std::nullopt},
        {"the host ended between frames", opened + framed, HttpFault::Closed},
        {"the host ended within a frame", opened + framed.substr(0, framed.size() - 2), HttpFault::Closed},
        {"the host ended within the head of a frame", opened + framed + tunnelEnd().substr(1), HttpFault::Closed},
        {"no frames", opened + answer, HttpFault::Malformed},
        {"a host without frames", "HTTP/1.1 200 OK\r\n\r\n" + answer, HttpFault::NoPath},
        {"no status", "HTTP/1.1 000 OK\r\nTunnel-Framing: length\r\n\r\n" + framed + tunnelEnd(), HttpFault::NoPath},
        {"a blank in a name", "HTTP/1.1 200 OK\r\nX Other: 1\r\nTunnel-Framing: length\r\n\r\n" + framed + tunnelEnd(),
         HttpFault::NoPath},
        {"an unknown coding",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nTunnel-Framing: length\r\n\r\n" + framed + tunnelEnd(),
         HttpFault::NoPath},
    };
    for (const Case &one : cases) {
        runCoroutine([&one](asio::io_context &io, const asio::yield_context &yield) {
            World world(io, Ending::Closes);
            tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
            world.clientPaths.setTunnelHosts({hostThatSends(io, acceptor, one.sent)});
            std::string body;
            std::optional<HttpFault> fault;
            try {
                body = world.call(yield).body;
            } catch (const HttpError &error) {
                fault = error.fault();
            }
            EXPECT_EQ(fault, one.fault) << one.name;
            EXPECT_EQ(body, one.fault ? "" : "whole") << one.name;
            world.end();
        });
    }
}

TEST(TunnelServer, RefusesWhatIsNotARequestForATunnel)
{
    const std::string begin = "CONNECT 127.0.0.1:7 HTTP/1.1\r\n";
    const std::string framing = "Tunnel-Framing: length\r\n";
    const std::string lifetime = "Tunnel-Lifetime-Ms: 100\r\n";
    const std::string requests[] = {
        "GET / HTTP/1.1\r\n\r\n",
        begin + framing + "\r\n",
        begin + lifetime + "\r\n",
        begin + "Tunnel-Framing: none\r\n" + lifetime + "\r\n",
        begin + framing + "Tunnel-Lifetime-Ms: -1\r\n\r\n",
        begin + framing + "Tunnel-Lifetime-Ms: 1x\r\n\r\n",
        "CONNECT host.example:7 HTTP/1.1\r\n" + framing + lifetime + "\r\n",
        begin + framing + lifetime + "\r\nbytes that came too soon",
    };
    for (const std::string &request : requests) {
        runCoroutine([&request](asio::io_context &io, const asio::yield_context &yield) {
            World world(io, Ending::Closes);
            tcp::socket host(io);
            host.async_connect(tcp::endpoint(asio::ip::address_v4::loopback(), world.server->port()), yield);
            asio::async_write(host, asio::buffer(request), yield);
            std::array<char, 64> reply{};
            const std::size_t count = host.async_read_some(asio::buffer(reply), yield);
            EXPECT_EQ(std::string(reply.data(), count).substr(0, 12), "HTTP/1.1 400") << request;
            EXPECT_EQ(world.accepted, 0);
            world.end();
        });
    }
}

// Orders come from one host: an engine that got them from two could not tell which of them leads.
TEST(TunnelServer, IsNotUsedByACallOfTheOwnHost)
{
    runCoroutine([](asio::io_context &io, const asio::yield_context &yield) {
        World world(io, Ending::Closes);
        CallOptions options{2s, Reuse::Never};
        options.via = Via::OwnHost;
        EXPECT_EQ(world.client->call(world.endpoint, {}, options, yield).body, "whole");
        EXPECT_EQ(world.serverPaths.counts().opened, 0U);
        world.end();
    });
}

TEST(TunnelServer, IsNotUsedOnceACheckReachesAnEndpoint)
{
    runCoroutine([](asio::io_context &io, const asio::yield_context &yield) {
        World world(io, Ending::Closes);
        world.client->check(world.endpoint, yield);
        EXPECT_FALSE(world.clientPaths.isCutOff());
        EXPECT_EQ(world.call(yield).body, "whole");
        EXPECT_EQ(world.serverPaths.counts().opened, 0U);
        world.end();
    });
}

// Guards against tunnels that take all descriptors of a host.
TEST(TunnelServer, OpensABoundedNumber)
{
    runCoroutine([](asio::io_context &io, const asio::yield_context &yield) {
        World world(io, Ending::Waits);
        int failed = 0;
        for (int call = 0; call < 4; ++call) {
            startCoroutine(io, [&](const asio::yield_context &inner) {
                const auto fault = faultOf(world, inner, 200ms);
                failed += fault && fault->isKnownNotSent();
            });
        }
        world.wait(300ms, yield);
        EXPECT_EQ(world.accepted, 2);
        EXPECT_EQ(failed, 2);
        world.end();
    });
}

// Guards against connections that send nothing and keep the tunnels of other hosts out.
TEST(TunnelServer, ReplacesConnectionsThatRequestNothing)
{
    runCoroutine([](asio::io_context &io, const asio::yield_context &yield) {
        World world(io, Ending::Closes);
        std::vector<tcp::socket> silent;
        for (int i = 0; i < 10; ++i) {
            silent.emplace_back(io).async_connect(
                tcp::endpoint(asio::ip::make_address("127.0.0.1"), world.server->port()), yield);
        }
        EXPECT_EQ(world.call(yield).body, "whole");
        EXPECT_GT(world.server->replaced(), 0);
        silent.clear();
        world.end();
    });
}

} // namespace
} // namespace fescuesill
