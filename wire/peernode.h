#pragma once

// WebSocket links between processes. A node has a thread that accepts links, reconnects outgoing links, and sends and
// receives messages.
//
//     PeerNode::Handlers handlers;
//     handlers.opened = [&](LinkId link) { ... };                       // handlers run on the node's thread
//     handlers.received = [&](LinkId link, peer::Message message) { ... };
//     handlers.closed = [&](LinkId link) { ... };
//     auto node = PeerNode::create({.listen = "127.0.0.1:8081"}, std::move(handlers)).value();
//     const LinkId owner = node->connect("127.0.0.1:8091");             // reconnects until disconnect(owner)
//     node->send(owner, peer::Submit{...});
//
// A message sent while a link is down is dropped. After opened() the user resends what the peer needs.

#include "promise/keyring.h"
#include "wire/linkid.h"
#include "wire/messages.h"

#include <functional>
#include <memory>
#include <vector>

namespace boost::asio
{
class io_context;
}

namespace fescuesill
{

class PeerNode
{
public:
    struct Options {
        std::string listen; // IP:PORT; empty for outgoing links only
        // An outgoing link is pinged if it was idle for `heartbeat` in either direction. A link on which nothing was
        // received for `silence` is closed and, if outgoing, reopened. A connection can stop working for good while new
        // ones work, and TCP alone would take many minutes to detect it.
        Duration heartbeat = 1s;
        Duration silence = 4s;
        Duration reconnectPause = 200ms;
        // A declaration of 600 engines takes about 100 KB. No valid message is far larger.
        std::size_t maxMessageBytes = 8 * 1024 * 1024;
        // Until the other end of an accepted link has sent a valid message. The first one of our programs says who
        // opened the link.
        std::size_t maxFirstMessageBytes = 4 * 1024;
        // Limit on the bytes queued for a peer. Beyond it the link is closed, so that a slow peer cannot exhaust the
        // memory.
        std::size_t maxQueuedBytes = 16 * 1024 * 1024;
        // Several times the links of 340 entries in one data centre. Connections that have not become links count as
        // well; the one that has been open for longest is closed for a new one.
        std::size_t maxLinks = 2048;
        // With a key, both ends of a link prove that they hold it before messages are accepted or sent
        // (wire/linkguard.h).
        std::shared_ptr<const KeyRing> keys = {};
        HostId host = {}; // the name sent in the handshake
    };

    struct Handlers {
        std::function<void(LinkId)> opened;
        std::function<void(LinkId, peer::Message)> received;
        std::function<void(LinkId)> closed;
    };

    static tl::expected<std::unique_ptr<PeerNode>, WireError> create(Options options, Handlers handlers);
    ~PeerNode();
    PeerNode(const PeerNode &) = delete;
    PeerNode &operator=(const PeerNode &) = delete;

    // Starts the thread, which calls the handlers.
    void start();
    // Stops the thread. No handler is called after stop() returns.
    void stop();

    // The functions below are thread-safe.
    LinkId connect(const std::string &address);
    void disconnect(LinkId link);
    void send(LinkId link, const peer::Message &message);
    // Encodes the message once for all of the links.
    void sendToAll(std::vector<LinkId> links, const peer::Message &message);
    // The number of links that failed the handshake since the start, and whether one did within the last half minute.
    std::uint64_t refusedLinks() const;
    bool hasRefusedLately() const;
    // The number of connections that were closed for new ones before they became links.
    std::uint64_t replacedConnections() const;

    // The event loop of the node, for timers and sockets of the same component.
    boost::asio::io_context &context();

private:
    struct Impl;
    explicit PeerNode(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace fescuesill
