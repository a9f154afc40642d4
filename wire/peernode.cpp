#include "wire/peernode.h"

#include "wire/address.h"
#include "wire/clock.h"
#include "wire/linkguard.h"
#include "wire/log.h"
#include "wire/receivedbytes.h"
#include "wire/refusallog.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <list>
#include <map>
#include <thread>

// One event loop runs the listening endpoint and the connecting endpoint. Everything below runs on its thread, and the
// public functions post to it. An outgoing link keeps its LinkId over reconnects, so the user never handles
// connections.
//
// Heartbeat: the end that opened a link sends a ping if for `heartbeat` it sent nothing or received nothing. Any data
// received shows that the other end is alive, the pong included. Pings from both ends would double the bytes and detect
// no more. A link on which nothing was received for `silence` is terminated without the closing handshake, which the
// peer would not answer, and reported as closed. An outgoing link is then reopened on a new connection, which recovers
// from a middlebox that dropped its state of the old one.
//
// A large message may take longer than `silence` on a slow path, so bytes of a message that is not yet whole count as
// received. Its sender receives nothing meanwhile, since its pings wait behind the message, so an accepted link sends a
// pong without a ping.
//
// Whoever connects can hold memory before it has shown that it is one of our programs. So an opening request has no
// body, connections that have not become links are limited together with the links, and the messages of an accepted
// link are small until one of them was valid.
//
// With a key, a link is reported open only after the handshake of its LinkGuard has succeeded, and every message passes
// through the guard.

namespace fescuesill
{
namespace
{

namespace asio = boost::asio;
using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;
using Clock = std::chrono::steady_clock;
using websocketpp::lib::error_code;

struct Link {
    std::string address; // outgoing only
    bool isOutgoing = false;
    bool isOpen = false;
    bool isTrusted = false; // has sent a valid message
    Handle handle;
    Clock::time_point lastReceived;
    Clock::time_point lastSent;
    std::uint64_t receivedBytes = 0; // when it was last checked
};

} // namespace

struct PeerNode::Impl {
    Impl(Options given, Handlers callbacks)
        : options(std::move(given))
        , handlers(std::move(callbacks))
        , timer(context)
    {
        if (this->options.keys) {
            this->guard.emplace(*this->options.keys, LinkEnd{this->options.host, this->options.listen});
        }
        this->prepare(this->server, [this](const Handle &handle) { this->onAccepted(handle); });
        this->prepare(this->client, [this](const Handle &handle) { this->onConnected(handle); });
        this->server.set_reuse_addr(true);
        this->server.set_max_http_body_size(0);
        this->server.set_max_message_size(std::min(this->options.maxFirstMessageBytes, this->options.maxMessageBytes));
        this->server.set_tcp_pre_init_handler([this](const Handle &handle) { this->onConnecting(handle); });
        this->server.set_validate_handler(
            [this](const Handle &) { return this->links.size() < this->options.maxLinks; });
    }

    // Connections that have ended stay in the list until the next one comes.
    void onConnecting(const Handle &handle)
    {
        this->opening.remove_if(
            [this](const Handle &other) { return other.expired() || this->byHandle.count(other) > 0; });
        this->opening.push_back(handle);
        while (this->opening.size() > 1 && this->opening.size() + this->links.size() > this->options.maxLinks) {
            error_code gone;
            const auto connection = this->server.get_con_from_hdl(this->opening.front(), gone);
            this->opening.pop_front();
            if (connection) {
                ++this->replaced;
                this->replacements.note(this->options.listen, "too many connections", steadyNow());
                connection->terminate(websocketpp::error::make_error_code(websocketpp::error::general));
            }
        }
    }

    template<typename Endpoint, typename OnOpen>
    void prepare(Endpoint &endpoint, OnOpen onOpen)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        // Without TCP_NODELAY every other message waits up to 40 ms, which delays first tokens: Nagle's algorithm holds
        // a small message until the previous one is acknowledged, and the other end delays its acknowledgement.
        endpoint.set_tcp_post_init_handler([&endpoint](const Handle &handle) {
            websocketpp::lib::error_code gone;
            if (const auto connection = endpoint.get_con_from_hdl(handle, gone)) {
                boost::system::error_code ignored;
                connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), ignored);
            }
        });
        endpoint.init_asio(&this->context);
        endpoint.set_max_message_size(this->options.maxMessageBytes);
        endpoint.set_open_handler(onOpen);
        endpoint.set_close_handler([this](const Handle &handle) { this->onClose(handle); });
        endpoint.set_fail_handler([this](const Handle &handle) { this->onClose(handle); });
        endpoint.set_message_handler([this](const Handle &handle, const typename Endpoint::message_ptr &message) {
            this->onMessage(handle, message->get_payload());
        });
        endpoint.set_ping_handler([this](const Handle &handle, const std::string &) {
            this->onActivity(handle);
            return true;
        });
        endpoint.set_pong_handler([this](const Handle &handle, const std::string &) { this->onActivity(handle); });
    }

    void listen()
    {
        if (this->options.listen.empty()) {
            return;
        }
        const auto address = Address::parse(this->options.listen);
        if (!address) {
            throw WireError(address.error());
        }
        this->server.listen(asio::ip::tcp::endpoint(asio::ip::make_address(address->ip), address->port));
        this->server.start_accept();
    }

    void run()
    {
        this->checkLinks();
        this->thread = std::thread([this] { this->context.run(); });
    }

    void stop()
    {
        this->context.stop();
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    LinkId newLink()
    {
        return static_cast<LinkId>(this->nextLink.fetch_add(1));
    }

    Link *find(LinkId id)
    {
        const auto found = this->links.find(id);
        return found == this->links.end() ? nullptr : &found->second;
    }

    void open(LinkId id)
    {
        Link *link = this->find(id);
        if (link == nullptr) {
            return;
        }
        error_code failed;
        const auto connection = this->client.get_connection("ws://" + link->address, failed);
        if (failed) {
            Log::warning("peer_address_bad", {{"address", link->address}, {"error", failed.message()}});
            return;
        }
        link->handle = connection->get_handle();
        link->lastReceived = Clock::now();
        this->byHandle[link->handle] = id;
        this->client.connect(connection);
    }

    void openLater(LinkId id)
    {
        auto pause = std::make_shared<asio::steady_timer>(this->context, this->options.reconnectPause);
        pause->async_wait([this, id, pause](const boost::system::error_code &failed) {
            if (!failed) {
                this->open(id);
            }
        });
    }

    void onAccepted(const Handle &handle)
    {
        const LinkId id = this->newLink();
        this->byHandle[handle] = id;
        this->links[id].handle = handle;
        this->onOpen(id);
    }

    // A link can be disconnected while it connects, and its connection may open shortly afterwards, under a handle that
    // is no longer known. Treated as an accepted connection it would be used through the server endpoint, which casts
    // it to the wrong type. So only a handle that still belongs to a link is opened, and any other connection is
    // closed.
    void onConnected(const Handle &handle)
    {
        const auto found = this->byHandle.find(handle);
        if (found != this->byHandle.end()) {
            this->onOpen(found->second);
            return;
        }
        error_code ignored;
        this->client.close(handle, websocketpp::close::status::normal, "", ignored);
    }

    void onOpen(LinkId id)
    {
        Link &link = this->links[id];
        link.lastReceived = Clock::now();
        if (!this->guard) {
            this->becomeOpen(id);
            return;
        }
        this->limitMessages(link, LinkAuth::maxOpeningBytes);
        this->transmit(link, this->guard->begin(id, this->connectionOf(link), steadyNow()));
        if (const auto oldest = this->guard->surplus()) {
            this->terminate(*oldest);
        }
    }

    LinkGuard::Connection connectionOf(const Link &link)
    {
        if (link.isOutgoing) {
            return {LinkGuard::Side::Dialled, link.address};
        }
        LinkGuard::Connection accepted;
        this->withConnection(link,
                             [&accepted](auto &connection) { accepted.address = connection.get_remote_endpoint(); });
        return accepted;
    }

    void becomeOpen(LinkId id)
    {
        this->links[id].isOpen = true;
        this->handlers.opened(id);
    }

    void onClose(const Handle &handle)
    {
        const auto found = this->byHandle.find(handle);
        if (found == this->byHandle.end()) {
            return;
        }
        const LinkId id = found->second;
        this->byHandle.erase(found);
        Link *link = this->find(id);
        if (link == nullptr) {
            return;
        }
        const bool wasOpen = link->isOpen;
        link->isOpen = false;
        if (this->guard) {
            this->guard->lost(id, steadyNow());
        }
        if (link->isOutgoing) {
            this->openLater(id);
        } else {
            this->links.erase(id);
        }
        if (wasOpen) {
            this->handlers.closed(id);
        }
    }

    void onActivity(const Handle &handle)
    {
        const auto found = this->byHandle.find(handle);
        if (found != this->byHandle.end()) {
            this->links[found->second].lastReceived = Clock::now();
        }
    }

    void onMessage(const Handle &handle, const std::string &payload)
    {
        this->onActivity(handle);
        const auto found = this->byHandle.find(handle);
        if (found == this->byHandle.end()) {
            return;
        }
        if (this->guard) {
            this->onGuarded(found->second, payload);
        } else {
            this->onPayload(found->second, payload);
        }
    }

    void onGuarded(LinkId id, const std::string &bytes)
    {
        const auto arrival = this->guard->on(id, bytes, steadyNow());
        const Link *link = this->find(id);
        if (!arrival || link == nullptr) {
            this->terminate(id);
            return;
        }
        this->transmit(*link, arrival->reply);
        if (arrival->isNowProven) {
            this->limitMessages(*link, this->options.maxMessageBytes);
            this->becomeOpen(id);
        }
        if (arrival->payload) {
            this->onPayload(id, *arrival->payload);
        }
    }

    void onPayload(LinkId id, std::string_view payload)
    {
        auto message = peer::decodeMessage(payload);
        if (!message) {
            Log::warning("peer_message_bad", {{"error", message.error().what()}});
            this->terminate(id);
            return;
        }
        Link &link = this->links[id];
        if (!link.isTrusted && !link.isOutgoing && !this->guard) {
            this->limitMessages(link, this->options.maxMessageBytes);
        }
        link.isTrusted = true;
        this->handlers.received(id, std::move(*message));
    }

    void limitMessages(const Link &link, std::size_t bytes)
    {
        this->withConnection(link, [bytes](auto &connection) { connection.set_max_message_size(bytes); });
    }

    // Sends a message of the handshake. These are so small that the limit on queued bytes is not checked.
    void transmit(const Link &link, const std::string &bytes)
    {
        if (bytes.empty()) {
            return;
        }
        this->withConnection(link, [&bytes](auto &connection) {
            connection.send(bytes.data(), bytes.size(), websocketpp::frame::opcode::binary);
        });
    }

    template<typename Action>
    void withConnection(const Link &link, Action action)
    {
        error_code failed;
        if (link.isOutgoing) {
            const auto connection = this->client.get_con_from_hdl(link.handle, failed);
            if (!failed && connection) {
                action(*connection);
            }
        } else {
            const auto connection = this->server.get_con_from_hdl(link.handle, failed);
            if (!failed && connection) {
                action(*connection);
            }
        }
    }

    // Drops the connection at once and reports the link closed. Skips the closing handshake, which a silent peer would
    // never complete.
    void terminate(LinkId id)
    {
        const Link *link = this->find(id);
        if (link == nullptr) {
            return;
        }
        const Handle handle = link->handle;
        this->withConnection(*link, [](auto &connection) {
            connection.terminate(websocketpp::error::make_error_code(websocketpp::error::general));
        });
        this->onClose(handle);
    }

    void send(LinkId id, const std::string &bytes)
    {
        Link *link = this->find(id);
        if (link == nullptr || !link->isOpen) {
            return;
        }
        link->lastSent = Clock::now();
        bool isSlow = false;
        this->withConnection(*link, [this, id, &bytes, &isSlow](auto &connection) {
            isSlow = connection.get_buffered_amount() > this->options.maxQueuedBytes;
            if (!isSlow) {
                const std::string &sealed = this->guard ? this->guard->seal(id, bytes) : bytes;
                connection.send(sealed.data(), sealed.size(), websocketpp::frame::opcode::binary);
            }
        });
        if (isSlow) {
            Log::warning("peer_too_slow", {{"link", static_cast<std::uint64_t>(id)}});
            this->terminate(id);
        }
    }

    // A link counts as idle if either direction is. Otherwise, on a link that carries messages in one direction only,
    // the sending end would receive nothing and close the link as silent.
    bool isIdle(const Link &link, Clock::time_point now) const
    {
        return now - std::min(link.lastReceived, link.lastSent) >= this->options.heartbeat;
    }

    // Bytes that have come since the last check, which was a heartbeat ago.
    void noteArrivals(Link &link, Clock::time_point now)
    {
        this->withConnection(link, [this, &link, now](auto &connection) {
            auto &socket = connection.get_raw_socket();
            boost::system::error_code ignored;
            const std::uint64_t received = receivedBytes(socket.native_handle());
            const bool isArriving = received != link.receivedBytes || socket.available(ignored) > 0;
            link.receivedBytes = received;
            const auto lastCheck = now - this->options.heartbeat;
            if (!isArriving || link.lastReceived > lastCheck) {
                return;
            }
            link.lastReceived = lastCheck;
            if (!link.isOutgoing) {
                error_code failed;
                connection.pong("", failed);
            }
        });
    }

    // Runs once per heartbeat.
    void checkLinks()
    {
        const auto now = Clock::now();
        std::vector<LinkId> silent;
        for (auto &[id, link] : this->links) {
            if (link.isOpen) {
                this->noteArrivals(link, now);
            }
            if (link.isOpen && now - link.lastReceived > this->options.silence) {
                silent.push_back(id);
            } else if (link.isOpen && link.isOutgoing && this->isIdle(link, now)) {
                link.lastSent = now;
                this->withConnection(link, [](auto &connection) {
                    error_code ignored;
                    connection.ping("", ignored);
                });
            }
        }
        for (const LinkId id : this->guard ? this->guard->overdue(steadyNow()) : std::vector<LinkId>()) {
            this->terminate(id);
        }
        for (const LinkId id : silent) {
            Log::warning("peer_silent", {{"link", static_cast<std::uint64_t>(id)}});
            this->terminate(id);
        }
        this->timer.expires_after(this->options.heartbeat);
        this->timer.async_wait([this](const boost::system::error_code &failed) {
            if (!failed) {
                this->checkLinks();
            }
        });
    }

    Options options;
    Handlers handlers;
    asio::io_context context{1};
    Server server;
    Client client;
    asio::steady_timer timer;
    std::atomic<std::uint64_t> nextLink{1};
    std::map<LinkId, Link> links;
    std::map<Handle, LinkId, std::owner_less<Handle>> byHandle;
    std::optional<LinkGuard> guard;
    std::list<Handle> opening; // accepted connections that are no links yet, in the order in which they came
    std::atomic<std::uint64_t> replaced{0};
    RefusalLog replacements{"peer_connection_replaced"};
    std::thread thread;
};

PeerNode::PeerNode(std::unique_ptr<Impl> made)
    : impl(std::move(made))
{
}

PeerNode::~PeerNode()
{
    this->impl->stop();
}

tl::expected<std::unique_ptr<PeerNode>, WireError> PeerNode::create(Options options, Handlers handlers)
{
    const std::string address = options.listen;
    // The library detects the byte order on first use, without a lock. This call makes it do so before other threads
    // use it.
    websocketpp::lib::net::_htonll(0);
    auto made = std::make_unique<Impl>(std::move(options), std::move(handlers));
    try {
        made->listen();
    } catch (const std::exception &failed) {
        return tl::unexpected(WireError("peer port " + address + ": " + failed.what()));
    }
    return std::unique_ptr<PeerNode>(new PeerNode(std::move(made)));
}

void PeerNode::start()
{
    this->impl->run();
}

void PeerNode::stop()
{
    this->impl->stop();
}

LinkId PeerNode::connect(const std::string &address)
{
    const LinkId id = this->impl->newLink();
    asio::post(this->impl->context, [impl = this->impl.get(), id, address] {
        Link &link = impl->links[id];
        link.address = address;
        link.isOutgoing = true;
        impl->open(id);
    });
    return id;
}

void PeerNode::disconnect(LinkId link)
{
    asio::post(this->impl->context, [impl = this->impl.get(), link] {
        Link *found = impl->find(link);
        if (found == nullptr) {
            return;
        }
        impl->byHandle.erase(found->handle);
        if (impl->guard) {
            impl->guard->end(link);
        }
        impl->withConnection(*found, [](auto &connection) {
            error_code ignored;
            connection.close(websocketpp::close::status::normal, "", ignored);
        });
        impl->links.erase(link);
    });
}

void PeerNode::send(LinkId link, const peer::Message &message)
{
    asio::post(this->impl->context,
               [impl = this->impl.get(), link, bytes = peer::encodeMessage(message)] { impl->send(link, bytes); });
}

void PeerNode::sendToAll(std::vector<LinkId> links, const peer::Message &message)
{
    if (links.empty()) {
        return;
    }
    asio::post(this->impl->context,
               [impl = this->impl.get(), links = std::move(links), bytes = peer::encodeMessage(message)] {
                   for (const LinkId link : links) {
                       impl->send(link, bytes);
                   }
               });
}

std::uint64_t PeerNode::refusedLinks() const
{
    return this->impl->guard ? this->impl->guard->refused() : 0;
}

std::uint64_t PeerNode::replacedConnections() const
{
    return this->impl->replaced;
}

bool PeerNode::hasRefusedLately() const
{
    return this->impl->guard && this->impl->guard->hasRefusedLately(steadyNow());
}

asio::io_context &PeerNode::context()
{
    return this->impl->context;
}

} // namespace fescuesill
