#include "promise/configpush.h"
#include "wire/address.h"
#include "wire/adminserver.h"
#include "wire/linkguard.h"
#include "wire/peernode.h"
#include "wire/probecodec.h"
#include "wire/probesocket.h"
#include "wire/testing/loopback.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <thread>

namespace fescuesill
{
namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using asio::ip::udp;

std::shared_ptr<const KeyRing> ringOf(const std::string &letters)
{
    std::string text;
    for (const char letter : letters) {
        text += std::string(64, letter) + "\n";
    }
    return std::make_shared<const KeyRing>(KeyRing::parse(text).value());
}

// A node that counts the calls of its handlers.
struct Node {
    Node(const std::string &listen, std::shared_ptr<const KeyRing> keys)
    {
        PeerNode::Options options;
        options.listen = listen;
        options.heartbeat = 20ms;
        options.silence = 5s;
        options.reconnectPause = 10ms;
        options.keys = std::move(keys);
        options.host = HostId(listen.empty() ? "entry" : "scheduler");
        PeerNode::Handlers handlers;
        handlers.opened = [this](LinkId) {
            ++this->opened;
        };
        handlers.received = [this](LinkId, const peer::Message &) {
            ++this->received;
        };
        handlers.closed = [this](LinkId) {
            ++this->closed;
        };
        this->node = PeerNode::create(std::move(options), std::move(handlers)).value();
        this->node->start();
    }

    std::atomic<int> opened{0};
    std::atomic<int> received{0};
    std::atomic<int> closed{0};
    std::unique_ptr<PeerNode> node; // declared last, so it is destroyed before the counters that its thread uses
};

const peer::Message hello = peer::Hello{HostId("a"), DataCentreId("d"), true};

// A client on the internal network without the fleet's key connects to a scheduler, and so does a host configured with
// another key. The scheduler must accept no message from either and report neither link as open, and links with the
// right key must keep working.
TEST(Keys, APeerWithoutTheKeyCannotDeliverMessages)
{
    const std::string address = freeAddress();
    Node scheduler(address, ringOf("a"));
    Node stranger("", nullptr);
    Node misconfigured("", ringOf("b"));
    for (Node *node : {&stranger, &misconfigured}) {
        const LinkId link = node->node->connect(address);
        EXPECT_TRUE(eventually([&] {
            node->node->send(link, hello);
            return node->closed + static_cast<int>(node->node->refusedLinks()) >= 3;
        }));
    }
    EXPECT_EQ(misconfigured.opened, 0);
    EXPECT_TRUE(misconfigured.node->hasRefusedLately());
    EXPECT_EQ(scheduler.opened, 0);
    EXPECT_EQ(scheduler.received, 0);
    EXPECT_GE(scheduler.node->refusedLinks(), 4U);
    Node entry("", ringOf("a"));
    const LinkId link = entry.node->connect(address);
    ASSERT_TRUE(eventually([&] { return entry.opened == 1; }));
    entry.node->send(link, hello);
    EXPECT_TRUE(eventually([&] { return scheduler.received == 1; }));
}

// When there are too many unauthenticated links, the oldest is evicted: a legitimate host authenticates within
// milliseconds, so the oldest link is not one of its links.
TEST(Keys, TheOldestUnprovenLinkIsEvicted)
{
    LinkGuard::Options options;
    options.maxUnproven = 2;
    LinkGuard guard(*ringOf("a"), {HostId("b"), "10.0.0.2:8090"}, options);
    const Instant now(1000s);
    const auto accept = [&](std::uint64_t id) {
        guard.begin(LinkId(id), {LinkGuard::Side::Accepted, "10.0.0.9:1"}, now);
    };
    guard.begin(LinkId(1), {LinkGuard::Side::Dialled, "10.0.0.3:8090"}, now);
    accept(2);
    accept(3);
    EXPECT_EQ(guard.surplus(), std::nullopt);
    accept(4);
    EXPECT_EQ(guard.surplus(), LinkId(2));
    guard.lost(LinkId(2), now);
    EXPECT_EQ(guard.surplus(), std::nullopt);
    EXPECT_TRUE(guard.overdue(now + 2s).empty());
    EXPECT_EQ(guard.overdue(now + 3s), (std::vector<LinkId>{LinkId(1), LinkId(3), LinkId(4)}));
    EXPECT_EQ(guard.refused(), 3U);
}

// Clients without the key open more connections than may be unauthenticated and send nothing. A host with the key must
// still get its link, and every other connection must be closed in the end, or they would hold slots and memory for
// good.
TEST(Keys, SilentConnectionsDoNotKeepAHostOut)
{
    constexpr int connections = 300;
    const std::string address = freeAddress();
    Node scheduler(address, ringOf("a"));
    asio::io_context context;
    std::vector<std::unique_ptr<tcp::socket>> sockets;
    for (int i = 0; i < connections; ++i) {
        sockets.push_back(std::make_unique<tcp::socket>(context));
        sockets.back()->connect(endpointOf(address));
        asio::write(*sockets.back(), asio::buffer(websocketUpgrade));
    }
    Node entry("", ringOf("a"));
    entry.node->connect(address);
    EXPECT_TRUE(eventually([&] { return entry.opened == 1; }));
    for (const auto &socket : sockets) {
        boost::system::error_code failed;
        std::array<char, 1024> answer{};
        while (!failed) {
            socket->read_some(asio::buffer(answer), failed);
        }
    }
    EXPECT_EQ(scheduler.opened, 1);
    EXPECT_EQ(scheduler.closed, 0);
}

// A client without the key announces a first message of one megabyte. The limit on the size of handshake messages must
// close the connection at once. Without it the node would buffer the bytes of each such client until the handshake
// times out.
TEST(Keys, AnUnprovenPeerCannotMakeTheNodeBufferBytes)
{
    const std::string address = freeAddress();
    const Node scheduler(address, ringOf("a"));
    // The header of a masked binary frame, and the first 700 bytes of its payload.
    sendToTheEnd(address, websocketUpgrade + megabyteFrame + std::string(700, 'x'));
    EXPECT_EQ(scheduler.node->refusedLinks(), 0U); // closed before the handshake timed out
    EXPECT_EQ(scheduler.opened, 0);
}

// The key is rotated by restarting one end of a link after the other, in three rounds. After each restart the link must
// reopen by itself. If one end rejected the keys of the other in any step, a host would lose its scheduler.
TEST(Keys, ARotationOneHostAtATimeKeepsTheLink)
{
    const std::string address = freeAddress();
    auto scheduler = std::make_unique<Node>(address, ringOf("a"));
    auto entry = std::make_unique<Node>("", ringOf("a"));
    LinkId link = entry->node->connect(address);
    ASSERT_TRUE(eventually([&] { return entry->opened == 1; }));
    for (const char *round : {"ab", "ba", "b"}) {
        const int before = entry->opened;
        scheduler.reset();
        scheduler = std::make_unique<Node>(address, ringOf(round));
        ASSERT_TRUE(eventually([&] { return entry->opened > before; })) << round;
        entry = std::make_unique<Node>("", ringOf(round));
        link = entry->node->connect(address);
        ASSERT_TRUE(eventually([&] { return entry->opened == 1; })) << round;
        entry->node->send(link, hello);
        EXPECT_TRUE(eventually([&] { return scheduler->received == 1; })) << round;
    }
}

// A single forged datagram that names version 9e18 of the declaration would make the fleet wait for that version for
// ever. Only probes signed with the fleet's key may reach the handler, and each only once.
TEST(Keys, OnlySignedProbesAreAcceptedAndEachOnce)
{
    const std::string address = freeAddress();
    asio::io_context context;
    std::vector<std::uint64_t> taken;
    const DatagramSeal own(*ringOf("a"), HostId("b"));
    auto socket = ProbeSocket::create(
                      context, address, [&](const ProbeMessage &probe) { taken.push_back(probe.sequence); }, own)
                      .value();
    ProbeMessage probe;
    probe.from = HostId("a");
    probe.to = HostId("b");
    probe.sequence = 7;
    const Instant now(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
    const std::string sealed = DatagramSeal(*ringOf("a"), HostId("a")).seal(encodeProbe(probe), now);
    const std::string otherKey = DatagramSeal(*ringOf("c"), HostId("a")).seal(encodeProbe(probe), now);
    const std::string old = DatagramSeal(*ringOf("a"), HostId("a")).seal(encodeProbe(probe), now - 1h);
    udp::socket attacker(context, udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const udp::endpoint target(endpointOf(address).address(), endpointOf(address).port());
    for (const std::string &datagram :
         {encodeProbe(probe), otherKey, old, sealed.substr(0, sealed.size() - 1), sealed, sealed}) {
        attacker.send_to(asio::buffer(datagram), target);
    }
    while (socket->traffic().received < 6) {
        context.run_one();
    }
    EXPECT_EQ(taken, std::vector<std::uint64_t>{7});
    const std::array<std::uint64_t, datagramFaults> refused{1, 1, 1, 1, 0, 1};
    EXPECT_EQ(socket->traffic().refused, refused);
}

struct AdminCase {
    const char *name;
    http::verb method;
    const char *target;
    std::string authorization;
    unsigned status;
};

// Without a key, any client that reaches an admin port could stop the host. With an operator key, commands need a
// proof, and reads stay open.
TEST(Keys, AnAdminPortAcceptsCommandsFromOperatorsOnly)
{
    int drained = 0;
    const auto keys = ringOf("d");
    AdminServer::Options options;
    options.address = freeAddress();
    options.status = [] {
        return "{}";
    };
    options.drain = [&drained] {
        ++drained;
    };
    options.operators = keys;
    options.host = HostId("athens-a");
    options.process = "entry";
    const std::string address = options.address;
    const auto admin = AdminServer::create(std::move(options), std::make_shared<prometheus::Registry>()).value();
    const Instant now(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
    const OperatorCommand drain{HostId("athens-a"), "entry", "POST", "/drain"};
    const OperatorCommand other{HostId("athens-b"), "entry", "POST", "/drain"};
    const std::vector<AdminCase> cases{
        {"healthz", http::verb::get, "/healthz", "", 200},
        {"metrics", http::verb::get, "/metrics", "", 200},
        {"status", http::verb::get, "/status", "", 200},
        {"drain without a proof", http::verb::post, "/drain", "", 401},
        {"of another host", http::verb::post, "/drain", operatorProof(*keys, other, now), 401},
        {"of another key", http::verb::post, "/drain", operatorProof(*ringOf("e"), drain, now), 401},
        {"an unknown command", http::verb::post, "/reload", "", 401},
        {"drain as a read", http::verb::get, "/drain", "", 404},
        {"drain with a proof", http::verb::post, "/drain", operatorProof(*keys, drain, now), 200},
    };
    asio::io_context context;
    for (const AdminCase &c : cases) {
        boost::beast::tcp_stream stream(context);
        stream.connect(endpointOf(address));
        http::request<http::empty_body> request(c.method, c.target, 11);
        if (!c.authorization.empty()) {
            request.set(http::field::authorization, c.authorization);
        }
        http::write(stream, request);
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        http::read(stream, buffer, response);
        EXPECT_EQ(response.result_int(), c.status) << c.name;
        EXPECT_EQ(drained, c.status == 200 && c.method == http::verb::post ? 1 : 0) << c.name;
    }
}

struct PushCase {
    const char *name;
    std::string target;
    std::string body;
    std::string authorization;
    unsigned status;
};

// An attacker on the path to an admin port keeps an operator's proof and replaces the declaration sent with it. The
// replaced declaration must not take effect, and a body without a valid proof must not even be read.
TEST(Keys, AnAdminPortAcceptsOnlyTheRecordThatTheProofCovers)
{
    std::vector<std::string> taken;
    const auto keys = ringOf("d");
    AdminServer::Options options;
    options.address = freeAddress();
    options.config = [&taken](const std::string &record) {
        taken.push_back(record);
        return record != "nonsense";
    };
    options.operators = keys;
    options.host = HostId("athens-a");
    options.process = "scheduler";
    const std::string address = options.address;
    const auto admin = AdminServer::create(std::move(options), std::make_shared<prometheus::Registry>()).value();
    const Instant now(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
    const auto proofFor = [&](const std::string &body) {
        return operatorProof(*keys, {HostId("athens-a"), "scheduler", "POST", configPushTarget(body)}, now);
    };
    const std::string text(600000, 't');
    const std::vector<PushCase> cases{
        {"no proof", configPushTarget(text), text, "", 401},
        {"proof of another text", configPushTarget(text), text, proofFor("other"), 401},
        {"another text behind the proof", configPushTarget("other"), text, proofFor("other"), 400},
        {"no record", configPushTarget("nonsense"), "nonsense", proofFor("nonsense"), 400},
        {"the text of the proof", configPushTarget(text), text, proofFor(text), 200},
    };
    asio::io_context context;
    for (const PushCase &c : cases) {
        boost::beast::tcp_stream stream(context);
        stream.connect(endpointOf(address));
        http::request<http::string_body> request(http::verb::post, c.target, 11, c.body);
        request.prepare_payload();
        if (!c.authorization.empty()) {
            request.set(http::field::authorization, c.authorization);
        }
        boost::system::error_code refusedEarly;
        http::write(stream, request, refusedEarly);
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        boost::system::error_code cut;
        http::read(stream, buffer, response, cut);
        // The server closes the connection with bytes unread, so it may be reset before the refusal is read.
        const bool mayBeCut = c.status == 401;
        EXPECT_TRUE(response.result_int() == c.status || (mayBeCut && cut)) << c.name;
    }
    EXPECT_EQ(taken, (std::vector<std::string>{"nonsense", text}));
}

} // namespace
} // namespace fescuesill
