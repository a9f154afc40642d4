// All of this runs on the node's thread but for view() and send(). The configuration is taken from any scheduler that
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

namespace fescuesill
{
namespace
{

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
    return duty;
}

void LinkDuty::start()
{
    this->links[this->options.scheduler].id = this->node->connect(this->options.scheduler);
    this->node->start();
}

std::shared_ptr<const EntryView> LinkDuty::view() const
{
    const std::lock_guard<std::mutex> lock(this->viewMutex);
    return this->published;
}

void LinkDuty::send(LinkId link, const peer::Message &message)
{
    this->node->send(link, message);
}

bool LinkDuty::hasRefusedLately() const
{
    return this->node->hasRefusedLately();
}

LinkDuty::Link *LinkDuty::findLink(LinkId link)
{
    for (auto &[address, one] : this->links) {
        if (one.id == link) {
            return &one;
        }
    }
    return nullptr;
}

void LinkDuty::onOpened(LinkId link)
{
    Link *const found = this->findLink(link);
    if (found == nullptr) {
        return;
    }
    found->isUp = true;
    this->send(link, peer::Hello{this->options.host, this->options.dataCentre, true});
    this->tellHolding(*found);
    this->publish();
}

void LinkDuty::onClosed(LinkId link)
{
    if (Link *const found = this->findLink(link)) {
        found->isUp = false;
    }
    this->publish();
    this->deliver(OwnerLost{link});
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
    for (const peer::CellNews &one : this->news) {
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
        const LinkId id = link->second.id;
        link = this->links.erase(link);
        this->node->disconnect(id);
        this->deliver(OwnerLost{id});
    }
    for (const auto &[address, cells] : owners) {
        const bool isNew = this->links.count(address) == 0;
        Link &link = this->links[address];
        if (isNew) {
            link.id = this->node->connect(address);
        }
        const bool hasMore = !std::includes(link.cells.begin(), link.cells.end(), cells.begin(), cells.end());
        link.cells = cells;
        if (link.isUp && hasMore) {
            this->tellHolding(link);
        }
    }
}

void LinkDuty::tellHolding(const Link &link)
{
    if (!link.cells.empty()) {
        this->send(link.id, peer::Holding{this->held.inCells(link.cells)});
    }
}

void LinkDuty::publish()
{
    auto made = std::make_shared<EntryView>();
    made->declaration = this->declaration;
    made->version = this->version;
    made->heard = this->heard;
    for (const peer::CellNews &one : this->news) {
        CellRoute route{one, std::nullopt};
        const auto link = this->links.find(one.ownerAddress);
        if (link != this->links.end() && link->second.isUp) {
            route.owner = link->second.id;
        }
        made->cells.push_back(std::move(route));
    }
    const std::lock_guard<std::mutex> lock(this->viewMutex);
    this->published = std::move(made);
}

} // namespace fescuesill
