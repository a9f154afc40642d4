#include "wire/peernode.h"

#include "wire/testing/loopback.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <openssl/evp.h>
#include <openssl/sha.h>

#include <array>
#include <atomic>
#include <future>
#include <mutex>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <vector>

namespace fescuesill
{
namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// The events of a node, as promises that a test can wait for.
struct Seen {
    std::promise<LinkId> opened;
    std::promise<peer::Message> received;
    std::promise<LinkId> closed;
};

template<typename T>
void setOnce(std::promise<T> &promise, T value)
{
    try {
        promise.set_value(std::move(value));
    } catch (const std::future_error &) {
        return;
    }
}

PeerNode::Handlers handlersOf(Seen &seen)
{
    PeerNode::Handlers handlers;
    handlers.opened = [&seen](LinkId link) {
        setOnce(seen.opened, link);
    };
    handlers.received = [&seen](LinkId, peer::Message message) {
        setOnce(seen.received, std::move(message));
    };
    handlers.closed = [&seen](LinkId link) {
        setOnce(seen.closed, link);
    };
    return handlers;
}

PeerNode::Options quickOptions(const std::string &listen)
{
    PeerNode::Options options;
    options.listen = listen;
    options.heartbeat = 20ms;
    options.silence = 200ms;
    options.reconnectPause = 10ms;
    return options;
}

TEST(PeerNode, DeliversMessagesInBothDirections)
{
    const std::string address = freeAddress();
    Seen serverSeen;
    Seen clientSeen;
    auto server = PeerNode::create(quickOptions(address), handlersOf(serverSeen)).value();
    auto client = PeerNode::create(quickOptions(""), handlersOf(clientSeen)).value();
    server->start();
    client->start();
    const LinkId link = client->connect(address);
    EXPECT_EQ(clientSeen.opened.get_future().get(), link);
    client->send(link, peer::Hello{HostId("a"), DataCentreId("d"), true});
    EXPECT_EQ(std::get<peer::Hello>(serverSeen.received.get_future().get()).host, HostId("a"));
    server->send(serverSeen.opened.get_future().get(), peer::FetchConfig{});
    EXPECT_TRUE(std::holds_alternative<peer::FetchConfig>(clientSeen.received.get_future().get()));
}

TEST(PeerNode, DeliversAMessageToSeveralLinks)
{
    const std::string address = freeAddress();
    std::mutex mutex;
    std::vector<LinkId> opened;
    PeerNode::Handlers accepting;
    accepting.opened = [&](LinkId link) {
        const std::lock_guard<std::mutex> lock(mutex);
        opened.push_back(link);
    };
    accepting.received = [](LinkId, const peer::Message &) {
    };
    accepting.closed = [](LinkId) {
    };
    auto server = PeerNode::create(quickOptions(address), std::move(accepting)).value();
    server->start();
    constexpr std::size_t links = 3;
    std::array<Seen, links> seen;
    std::vector<std::unique_ptr<PeerNode>> clients;
    for (Seen &each : seen) {
        clients.push_back(PeerNode::create(quickOptions(""), handlersOf(each)).value());
        clients.back()->start();
        clients.back()->connect(address);
        each.opened.get_future().wait();
    }
    const auto areOpen = [&] {
        const std::lock_guard<std::mutex> lock(mutex);
        return opened.size() == links;
    };
    while (!areOpen()) {
        std::this_thread::sleep_for(1ms);
    }
    server->sendToAll({}, peer::FetchConfig{});
    server->sendToAll(opened, peer::Hello{HostId("a"), DataCentreId("d"), true});
    for (Seen &each : seen) {
        EXPECT_EQ(std::get<peer::Hello>(each.received.get_future().get()).host, HostId("a"));
    }
}

// A peer restarts and its end of the link is lost. The link must reopen under the same id without another call of
// connect().
TEST(PeerNode, AnOutgoingLinkReconnectsAfterThePeerRestarts)
{
    const std::string address = freeAddress();
    Seen firstSeen;
    Seen secondSeen;
    Seen clientSeen;
    auto server = PeerNode::create(quickOptions(address), handlersOf(firstSeen)).value();
    auto client = PeerNode::create(quickOptions(""), handlersOf(clientSeen)).value();
    server->start();
    client->start();
    const LinkId link = client->connect(address);
    clientSeen.opened.get_future().get();
    server.reset();
    EXPECT_EQ(clientSeen.closed.get_future().get(), link);
    server = PeerNode::create(quickOptions(address), handlersOf(secondSeen)).value();
    server->start();
    secondSeen.opened.get_future().get();
}

// A peer accepts the TCP connection but never answers the handshake, as when a middlebox has dropped the state of the
// connection. The link must not count as open, and other links must keep working.
TEST(PeerNode, ASilentPeerDoesNotBlockOtherLinks)
{
    asio::io_context context;
    tcp::acceptor silent(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const std::string address = freeAddress();
    Seen serverSeen;
    Seen clientSeen;
    auto server = PeerNode::create(quickOptions(address), handlersOf(serverSeen)).value();
    auto client = PeerNode::create(quickOptions(""), handlersOf(clientSeen)).value();
    server->start();
    client->start();
    client->connect("127.0.0.1:" + std::to_string(silent.local_endpoint().port()));
    const LinkId link = client->connect(address);
    EXPECT_EQ(clientSeen.opened.get_future().get(), link);
}

// A link is disconnected while it is still connecting, for example after a fetch timed out. Its connection may open
// shortly afterwards. Treated as an incoming connection it would be cast to the wrong type, which corrupts memory. It
// must never be reported as open under another id.
TEST(PeerNode, ALinkDisconnectedWhileConnectingNeverOpens)
{
    constexpr int tries = 50;
    const std::string address = freeAddress();
    Seen serverSeen;
    std::mutex mutex;
    std::set<LinkId> opened;
    std::promise<LinkId> lastOpened;
    std::atomic<std::uint64_t> last{0};
    PeerNode::Handlers handlers;
    handlers.opened = [&](LinkId link) {
        const std::lock_guard<std::mutex> lock(mutex);
        opened.insert(link);
        if (static_cast<std::uint64_t>(link) == last) {
            setOnce(lastOpened, link);
        }
    };
    handlers.received = [](LinkId, const peer::Message &) {
    };
    handlers.closed = [](LinkId) {
    };
    auto server = PeerNode::create(quickOptions(address), handlersOf(serverSeen)).value();
    auto client = PeerNode::create(quickOptions(""), handlers).value();
    server->start();
    std::set<LinkId> given;
    for (int i = 0; i < tries; ++i) {
        const LinkId link = client->connect(address);
        given.insert(link);
        client->disconnect(link);
    }
    const LinkId kept = client->connect(address);
    given.insert(kept);
    last = static_cast<std::uint64_t>(kept);
    client->start();
    lastOpened.get_future().get();
    const std::lock_guard<std::mutex> lock(mutex);
    for (const LinkId link : opened) {
        EXPECT_EQ(given.count(link), 1U) << static_cast<std::uint64_t>(link);
    }
}

// The end that opened a link only receives and the other end only sends, as when an owner sends updates to an entry
// that has no requests. The opening end must still send pings, or the other end closes the link as silent.
TEST(PeerNode, AnEndThatOnlyReceivesIsNotClosedAsSilent)
{
    const std::string address = freeAddress();
    Seen serverSeen;
    Seen clientSeen;
    PeerNode::Options options = quickOptions(address);
    options.silence = 1s;
    auto server = PeerNode::create(options, handlersOf(serverSeen)).value();
    options.listen = "";
    auto client = PeerNode::create(options, handlersOf(clientSeen)).value();
    server->start();
    client->start();
    client->connect(address);
    const LinkId link = serverSeen.opened.get_future().get();
    auto closed = serverSeen.closed.get_future();
    constexpr int messages = 300;
    for (int i = 0; i < messages; ++i) {
        server->send(link, peer::FetchConfig{});
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    EXPECT_EQ(closed.wait_for(std::chrono::seconds(0)), std::future_status::timeout);
}

// A foreign process connects to the internal port and sends malformed data, and then a real peer connects. The node
// must close the first connection and serve the second.
TEST(PeerNode, AConnectionWithMalformedDataIsClosed)
{
    const std::string address = freeAddress();
    Seen serverSeen;
    Seen clientSeen;
    auto server = PeerNode::create(quickOptions(address), handlersOf(serverSeen)).value();
    server->start();
    sendToTheEnd(address, std::string("\x00\xff nonsense \r\n\r\n", 16));
    auto client = PeerNode::create(quickOptions(""), handlersOf(clientSeen)).value();
    client->start();
    client->connect(address);
    clientSeen.opened.get_future().get();
}

// Guards against bytes that a node holds for clients that are none of our programs: each of these is closed before its
// end has come.
TEST(PeerNode, HoldsLittleForClientsThatAreNoPeers)
{
    const std::string address = freeAddress();
    Seen serverSeen;
    auto server = PeerNode::create(quickOptions(address), handlersOf(serverSeen)).value();
    server->start();
    sendToTheEnd(address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\nx");
    sendToTheEnd(address, websocketUpgrade + megabyteFrame + "x");
    Seen clientSeen;
    auto client = PeerNode::create(quickOptions(""), handlersOf(clientSeen)).value();
    client->start();
    const LinkId link = client->connect(address);
    clientSeen.opened.get_future().get();
    client->send(link, peer::Hello{HostId("a"), DataCentreId("d"), true});
    serverSeen.received.get_future().get();
}

// Guards against a limit for clients that are no peers, that would also hold for the messages of peers.
TEST(PeerNode, AcceptsLargeMessagesAfterTheFirst)
{
    const std::string address = freeAddress();
    Seen clientSeen;
    std::atomic<int> received = 0;
    PeerNode::Handlers handlers;
    handlers.opened = handlers.closed = [](LinkId) {
    };
    handlers.received = [&](LinkId, const peer::Message &) {
        ++received;
    };
    const auto patient = [](const std::string &listen) {
        PeerNode::Options options = quickOptions(listen);
        options.silence = 10s; // decoding the message may take a third of a second under a sanitizer
        return options;
    };
    auto server = PeerNode::create(patient(address), std::move(handlers)).value();
    auto client = PeerNode::create(patient(""), handlersOf(clientSeen)).value();
    server->start();
    client->start();
    const LinkId link = client->connect(address);
    clientSeen.opened.get_future().get();
    client->send(link, peer::Hello{HostId("a"), DataCentreId("d"), true});
    ASSERT_TRUE(eventually([&] { return received == 1; }));
    client->send(link, peer::Hello{HostId(std::string(1 << 20, 'h')), DataCentreId("d"), true});
    EXPECT_TRUE(eventually([&] { return received == 2; }));
}

// Guards against a link that is closed as silent while a message arrives that takes longer than that. Its sender, which
// gets no answers to pings that wait behind the message, must not take the link for silent either.
TEST(PeerNode, KeepsALinkWhileALongMessageArrives)
{
    constexpr int parts = 12;
    const std::string address = freeAddress();
    Seen seen;
    auto server = PeerNode::create(quickOptions(address), handlersOf(seen)).value();
    server->start();
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(endpointOf(address));
    asio::write(socket,
                asio::buffer("GET / HTTP/1.1\r\nHost: " + address
                             + "\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                               "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"));
    asio::streambuf head;
    asio::read_until(socket, head, "\r\n\r\n");
    seen.opened.get_future().get();

    const std::string message =
        peer::encodeMessage(peer::Hello{HostId(std::string(600, 'h')), DataCentreId("d"), true});
    const auto size = static_cast<std::uint16_t>(message.size());
    const unsigned char start[] = {
        0x82, 0xfe, static_cast<unsigned char>(size >> 8), static_cast<unsigned char>(size & 0xff), 0, 0,
        0,    0}; // the mask changes nothing
    asio::write(socket, asio::buffer(start));
    for (int part = 0; part < parts; ++part) {
        const std::size_t from = message.size() * part / parts;
        const std::size_t to = message.size() * (part + 1) / parts;
        std::this_thread::sleep_for(50ms);
        asio::write(socket, asio::buffer(message.data() + from, to - from));
    }
    EXPECT_EQ(std::get<peer::Hello>(seen.received.get_future().get()).host, HostId(std::string(600, 'h')));
    std::array<unsigned char, 2> pong{};
    asio::read(socket, asio::buffer(pong));
    EXPECT_EQ(pong, (std::array<unsigned char, 2>{0x8a, 0}));
}

// Guards against connections that send nothing and keep the links of other hosts out.
TEST(PeerNode, ReplacesConnectionsThatHaveNotBecomeLinks)
{
    const std::string address = freeAddress();
    PeerNode::Options options = quickOptions(address);
    options.maxLinks = 2;
    Seen serverSeen;
    Seen clientSeen;
    auto server = PeerNode::create(options, handlersOf(serverSeen)).value();
    server->start();
    asio::io_context context;
    std::vector<tcp::socket> silent;
    for (int i = 0; i < 5; ++i) {
        silent.emplace_back(context).connect(endpointOf(address));
    }
    ASSERT_TRUE(eventually([&] { return server->replacedConnections() == 3; }));
    auto client = PeerNode::create(quickOptions(""), handlersOf(clientSeen)).value();
    client->start();
    client->connect(address);
    clientSeen.opened.get_future().get();
}

// The value of Sec-WebSocket-Accept for the key of this request.
std::string acceptedKey(const std::string &request)
{
    const std::string name = "Sec-WebSocket-Key: ";
    const std::size_t begin = request.find(name) + name.size();
    const std::string key = request.substr(begin, request.find('\r', begin) - begin);
    const std::string text = key + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"; // RFC 6455, 1.3
    std::array<unsigned char, SHA_DIGEST_LENGTH> digest{};
    SHA1(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::array<unsigned char, 2 * SHA_DIGEST_LENGTH> encoded{};
    const int size = EVP_EncodeBlock(encoded.data(), digest.data(), SHA_DIGEST_LENGTH);
    return {encoded.begin(), encoded.begin() + size};
}

// Whether a link opens at a peer that answers the handshake with this line and header.
bool opensWith(const std::string &line, const std::string &header)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::atomic<bool> isOpened = false;
    std::atomic<int> answers = 0;
    std::thread peer([&] {
        boost::system::error_code closed; // the acceptor, at the end of the test
        while (!closed) {
            tcp::socket socket(io);
            acceptor.accept(socket, closed);
            boost::system::error_code ended; // the client's connection
            asio::streambuf buffer;
            const std::size_t count = closed ? 0 : asio::read_until(socket, buffer, "\r\n\r\n", ended);
            if (count == 0) {
                continue;
            }
            const std::string request(asio::buffers_begin(buffer.data()), asio::buffers_begin(buffer.data()) + count);
            std::string answer = line + "\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n";
            answer += header;
            answer += "Sec-WebSocket-Accept: " + acceptedKey(request) + "\r\n\r\n";
            asio::write(socket, asio::buffer(answer), ended);
            std::array<char, 16> bytes{};
            while (!ended && !isOpened) {
                socket.read_some(asio::buffer(bytes), ended);
            }
            ++answers;
        }
    });
    PeerNode::Handlers handlers;
    handlers.opened = [&](LinkId) {
        isOpened = true;
    };
    handlers.received = [](LinkId, const peer::Message &) {
    };
    handlers.closed = [](LinkId) {
    };
    auto client = PeerNode::create(quickOptions(""), std::move(handlers)).value();
    client->start();
    client->connect("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    EXPECT_TRUE(eventually([&] { return isOpened || answers >= 2; }));
    client->stop();
    client.reset();
    ::shutdown(acceptor.native_handle(), SHUT_RDWR); // ends the wait for a further connection
    peer.join();
    return isOpened;
}

// Guards against a link that opens on an answer that HTTP does not allow.
TEST(PeerNode, OpensNoLinkOnABrokenAnswer)
{
    const std::string switches = "HTTP/1.1 101 Switching Protocols";
    EXPECT_TRUE(opensWith(switches, ""));
    EXPECT_FALSE(opensWith("HTTP/1.1 000 Switching Protocols", ""));
    EXPECT_FALSE(opensWith("HTTP/1.1 200 OK", ""));
    EXPECT_FALSE(opensWith(switches, "X Other: 1\r\n"));
    EXPECT_FALSE(opensWith(switches, "X-\x01Other: 1\r\n"));
    EXPECT_FALSE(opensWith(switches, "X\tOther: 1\r\n"));
}

} // namespace
} // namespace fescuesill
