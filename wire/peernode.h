#pragma once

// Websocket links between our processes: a thread that listens, keeps outgoing links open and carries messages.
//
//     PeerNode::Handlers handlers;
//     handlers.opened = [&](LinkId link) { ... };                       // all on the node's own thread
//     handlers.received = [&](LinkId link, peer::Message message) { ... };
//     handlers.closed = [&](LinkId link) { ... };
//     auto node = PeerNode::create({.listen = "127.0.0.1:8081"}, std::move(handlers)).value();
//     const LinkId owner = node->connect("127.0.0.1:8091");             // stays: reconnects until disconnect(owner)
//     node->send(owner, peer::Submit{...});
//
// A message sent while a link is down is dropped: opened() tells when to say again what matters.

#include "promise/keyring.h"
#include "wire/linkid.h"
#include "wire/messages.h"

#include <functional>
#include <memory>

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
        std::string listen; // IP:PORT; empty: outgoing links only
        // An outgoing link is pinged where it was quiet for `heartbeat`.
        // A link that has been silent for `silence` is dropped and, if outgoing, opened anew. Connections can go silent
        // for good while new ones work, and TCP alone would wait for many minutes.
        Duration heartbeat = 1s;
        Duration silence = 4s;
        Duration reconnectPause = 200ms;
        // A declaration of 600 engines takes some 100 KB; anything far larger is not ours.
        std::size_t maxMessageBytes = 8 * 1024 * 1024;
        // Bytes waiting for a slow peer; past it the link is dropped, so that one slow peer cannot fill our memory.
        std::size_t maxQueuedBytes = 16 * 1024 * 1024;
        // 340 entries of one data centre's worth of links fit many times over.
        std::size_t maxLinks = 2048;
        // With a key both ends of a link prove that they hold it before a message is taken or sent (wire/linkguard.h).
        std::shared_ptr<const KeyRing> keys = {};
        HostId host = {}; // the name given in the proof
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

    // Starts the thread; handlers are called from now on.
    void start();
    // Ends the thread; no handler is called after it.
    void stop();

    // All safe on any thread.
    LinkId connect(const std::string &address);
    void disconnect(LinkId link);
    void send(LinkId link, const peer::Message &message);
    // Links refused for want of a proof, since the start and within the last half minute.
    std::uint64_t refusedLinks() const;
    bool hasRefusedLately() const;

    // The node's own event loop, for timers and sockets of the same duty.
    boost::asio::io_context &context();

private:
    struct Impl;
    explicit PeerNode(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace fescuesill
