// All of this runs on the node's thread but for view() and send(), which posts to it; so a message that is sent while
// its link is closed as idle comes after the close and opens the link again.
//
// A link has an id of its own that outlives its connections: what a request is given must stay valid while the link is
// closed and opened.
//
// The configuration is taken from any scheduler that
// is linked, by version alone: a higher one wins whoever brings it, so nothing reverts and a dead local scheduler does
// not cut its entry off while owners elsewhere are linked.
//
// Failure: the owner of a cell dies or changes. Its reservations for our requests are lost with it and the next owner
// would hand the same engine memory out again. It shows as decodes refused for lack of memory. So whoever takes a cell
// is told what we hold in it, on every new link and on every change of owner.

#include "programs/entry/linkduty.h"

#include "promise/configrecord.h"
#include "wire/clock.h"
#include "wire/log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace fescuesill
{
namespace
{

namespace asio = boost::asio;

std::optional<RequestId> requestOf(const peer::Message &message)
{
    return std::visit(
        [](const auto &given) -> std::optional<RequestId> {
            using Given = std::decay_t<decltype(given)>;
            if constexpr (
                std::is_same_v<
                    Given,
                    peer::Placed> || std::is_same_v<Given, peer::StartDecode> || std::is_same_v<Given, peer::Refused>) {
                return given.request;
            } else {
                return std::nullopt;
            }
        },
        message);
}

} // namespace

LinkDuty::LinkDuty(Options given, const HeldRequests &heldRequests, Deliver callback)
    : options(std::move(given))
    , held(heldRequests)
    , deliver(std::move(callback))
    , published(std::make_shared<EntryView>())
{
}

tl::expected<std::unique_ptr<LinkDuty>, WireError> LinkDuty::create(Options options, const HeldRequests &held,
                                                                    Deliver deliver)
{
    std::unique_ptr<LinkDuty> duty(new LinkDuty(std::move(options), held, std::move(deliver)));
    PeerNode::Handlers handlers;
    handlers.opened = [raw = duty.get()](LinkId link) {
        raw->onOpened(link);
    };
    handlers.closed = [raw = duty.get()](LinkId link) {
        raw->onClosed(link);
    };
    handlers.received = [raw = duty.get()](LinkId, peer::Message message) {
        raw->onReceived(std::move(message));
    };
    PeerNode::Options node;
    node.keys = duty->options.keys;
    node.host = duty->options.host;
    auto made = PeerNode::create(std::move(node), std::move(handlers));
    if (!made) {
        return tl::make_unexpected(made.error());
    }
    duty->node = std::move(*made);
    duty->timer = std::make_unique<asio::steady_timer>(duty->node->context());
    return duty;
}

LinkDuty::~LinkDuty()
{
    if (this->node) {
        this->node->stop();
    }
}

void LinkDuty::start()
{
    asio::post(this->node->context(), [this] {
        Link &own = this->addLink(this->options.scheduler);
        own.use.onMessage(steadyNow());
        this->open(this->options.scheduler, own);
        this->tick();
    });
    this->node->start();
}

std::shared_ptr<const EntryView> LinkDuty::view() const
{
    const std::lock_guard<std::mutex> lock(this->viewMutex);
    return this->published;
}

void LinkDuty::send(LinkId link, peer::Message message)
{
    asio::post(this->node->context(),
               [this, link, given = std::move(message)]() mutable { this->sendNow(link, std::move(given)); });
}

bool LinkDuty::hasRefusedLately() const
{
    return this->node->hasRefusedLately();
}

std::size_t LinkDuty::openLinks() const
{
    return this->opened;
}

void LinkDuty::sendNow(LinkId id, peer::Message message)
{
    for (auto &[address, link] : this->links) {
        if (link.id != id) {
            continue;
        }
        switch (link.use.onMessage(steadyNow())) {
        case LinkUse::Way::Open:
            link.waiting.push_back(std::move(message));
            this->open(address, link);
            return;
        case LinkUse::Way::Queue:
            link.waiting.push_back(std::move(message));
            return;
        case LinkUse::Way::Send:
            this->node->send(*link.connection, message);
            return;
        case LinkUse::Way::Drop:
            return;
        }
    }
}

void LinkDuty::tick()
{
    const Instant now = steadyNow();
    for (auto &[address, link] : this->links) {
        this->tick(address, link, now);
    }
    this->timer->expires_after(this->options.tick);
    this->timer->async_wait([this](const boost::system::error_code &failed) {
        if (!failed) {
            this->tick();
        }
    });
}

// Failure: the own scheduler dies and no other link happens to be open, so nobody tells of changes, and what a resumed
// caller reads here is taken for an orphan's. While it is out of reach every owner's link is kept open.
void LinkDuty::tick(const std::string &address, Link &link, Instant now)
{
    const bool isOwn = address == this->options.scheduler;
    const bool keepsAll = !this->isOwnSchedulerUp();
    if (keepsAll && !isOwn && !link.connection && !link.cells.empty()) {
        link.use.onMessage(now);
        this->open(address, link);
    }
    switch (link.use.tick(isOwn || keepsAll || this->held.areUsed(link.cells), now)) {
    case LinkUse::Step::None:
        return;
    case LinkUse::Step::Close:
        this->close(link);
        return;
    case LinkUse::Step::GiveUp:
        Log::warning("owner_out_of_reach", {{"address", address}});
        this->dropWaiting(link);
        this->publish();
        return;
    }
}

void LinkDuty::open(const std::string &address, Link &link)
{
    link.connection = this->node->connect(address);
}

void LinkDuty::close(Link &link)
{
    if (link.connection) {
        this->node->disconnect(*link.connection);
        link.connection.reset();
    }
    this->publish();
}

bool LinkDuty::isOwnSchedulerUp() const
{
    const auto own = this->links.find(this->options.scheduler);
    return own != this->links.end() && own->second.use.isOpen();
}

// The news come from the own scheduler; while it is out of reach, from every owner.
void LinkDuty::follow(bool wanted)
{
    for (const auto &[address, link] : this->links) {
        if (address != this->options.scheduler && link.use.isOpen()) {
            this->node->send(*link.connection, peer::Follow{wanted});
        }
    }
}

LinkDuty::Link &LinkDuty::addLink(const std::string &address)
{
    const auto [found, isNew] = this->links.try_emplace(address, this->options.use);
    if (isNew) {
        found->second.id = static_cast<LinkId>(++this->lastLink);
    }
    return found->second;
}

LinkDuty::Link *LinkDuty::findConnection(LinkId connection)
{
    for (auto &[address, one] : this->links) {
        if (one.connection == connection) {
            return &one;
        }
    }
    return nullptr;
}

void LinkDuty::dropWaiting(Link &link)
{
    link.waiting.clear();
    this->deliver(OwnerLost{link.id});
}

void LinkDuty::onOpened(LinkId connection)
{
    Link *const found = this->findConnection(connection);
    if (found == nullptr) {
        return;
    }
    found->use.onOpened(steadyNow());
    this->node->send(connection, peer::Hello{this->options.host, this->options.dataCentre, true});
    const bool isOwn = found == &this->links.at(this->options.scheduler);
    if (isOwn || !this->isOwnSchedulerUp()) {
        this->node->send(connection, peer::Follow{true});
    }
    if (isOwn) {
        this->follow(false);
    }
    this->tellHolding(*found);
    for (const peer::Message &message : std::exchange(found->waiting, {})) {
        this->node->send(connection, message);
    }
    this->publish();
}

void LinkDuty::onClosed(LinkId connection)
{
    if (Link *const found = this->findConnection(connection)) {
        found->use.onClosed();
        this->dropWaiting(*found);
        if (found == &this->links.at(this->options.scheduler)) {
            this->follow(true);
        }
    }
    this->publish();
}

void LinkDuty::onReceived(peer::Message message)
{
    if (const auto request = requestOf(message)) {
        this->deliver(OwnerNews{*request, std::move(message)});
    } else if (const auto *config = std::get_if<peer::ConfigInForce>(&message)) {
        this->take(*config);
    } else if (const auto *cells = std::get_if<peer::AllCells>(&message)) {
        this->take(*cells);
    }
}

void LinkDuty::take(const peer::ConfigInForce &config)
{
    if (config.serving) {
        this->heard = steadyNow();
    }
    const auto record =
        config.record.empty() ? tl::make_unexpected(ConfigRecordError{}) : decodeConfigRecord(config.record);
    if (record && this->version < record->version) {
        auto parsed = Declaration::parse(record->text, "version " + std::to_string(record->version.value()));
        if (parsed) {
            this->declaration = std::make_shared<const Declaration>(std::move(*parsed));
            this->version = record->version;
            Log::info("config_in_force", {{"version", this->version.value()}});
        } else {
            Log::error("declaration_malformed", {{"version", record->version.value()}});
        }
    }
    this->publish();
}

void LinkDuty::take(const peer::AllCells &cells)
{
    this->news = cells.cells;
    std::map<std::string, std::set<CellId>> owners;
    owners[this->options.scheduler]; // its link stays whatever it owns
    for (const peer::CellUpdate &one : this->news) {
        if (!one.ownerAddress.empty()) {
            owners[one.ownerAddress].insert(one.cell);
        }
    }
    this->linkTo(owners);
    this->publish();
}

void LinkDuty::linkTo(const std::map<std::string, std::set<CellId>> &owners)
{
    for (auto link = this->links.begin(); link != this->links.end();) {
        if (owners.count(link->first) != 0) {
            ++link;
            continue;
        }
        this->close(link->second);
        this->dropWaiting(link->second);
        link = this->links.erase(link);
    }
    for (const auto &[address, cells] : owners) {
        Link &link = this->addLink(address);
        const bool hasMore = !std::includes(link.cells.begin(), link.cells.end(), cells.begin(), cells.end());
        link.cells = cells;
        if (hasMore) {
            this->tellNewOwner(address, link);
        }
    }
}

void LinkDuty::tellNewOwner(const std::string &address, Link &link)
{
    if (link.use.isOpen()) {
        this->tellHolding(link);
    } else if (!link.connection && this->held.areUsed(link.cells)) {
        link.use.onMessage(steadyNow());
        this->open(address, link);
    }
}

void LinkDuty::tellHolding(const Link &link)
{
    if (!link.cells.empty()) {
        this->node->send(*link.connection, peer::Holding{this->held.inCells(link.cells)});
    }
}

void LinkDuty::publish()
{
    auto made = std::make_shared<EntryView>();
    made->declaration = this->declaration;
    made->version = this->version;
    made->heard = this->heard;
    for (const peer::CellUpdate &one : this->news) {
        CellRoute route{one, std::nullopt};
        const auto link = this->links.find(one.ownerAddress);
        if (link != this->links.end() && link->second.use.isOffered()) {
            route.owner = link->second.id;
        }
        made->cells.push_back(std::move(route));
    }
    this->opened = std::count_if(this->links.begin(), this->links.end(),
                                 [](const auto &item) { return item.second.use.isOpen(); });
    const std::lock_guard<std::mutex> lock(this->viewMutex);
    this->published = std::move(made);
}

} // namespace fescuesill
