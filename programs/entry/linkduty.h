#pragma once

// The links of an entry to schedulers: the one of its own host, and the owners of the cells it uses.
//
//     auto links = LinkDuty::create(options, held, deliver).value();
//     links->start();
//     links->view()->declaration;                     // any thread
//     links->send(*route->owner, peer::Submit{...});  // any thread

#include "programs/entry/entryview.h"
#include "programs/entry/heldrequests.h"

#include <functional>
#include <map>
#include <mutex>

namespace fescuesill
{

// What a request hears from its owner; no message: the link to the owner broke.
struct OwnerNews {
    RequestId request;
    std::optional<peer::Message> message;
};
struct OwnerLost {
    LinkId link;
};
using LinkEvent = std::variant<OwnerNews, OwnerLost>;

class LinkDuty
{
public:
    struct Options {
        HostId host;
        DataCentreId dataCentre;
        std::string scheduler; // IP:PORT of this host's own
        std::shared_ptr<const KeyRing> keys = {}; // null: links prove nothing
    };
    // Called on the thread of the links; must not wait.
    using Deliver = std::function<void(LinkEvent)>;

    static tl::expected<std::unique_ptr<LinkDuty>, WireError> create(Options options, const HeldRequests &held,
                                                                     Deliver deliver);

    void start();
    std::shared_ptr<const EntryView> view() const;
    void send(LinkId link, const peer::Message &message);
    // Whether a scheduler and this entry lately failed to prove themselves to each other.
    bool hasRefusedLately() const;

private:
    struct Link {
        LinkId id{};
        bool isUp = false;
        std::set<CellId> cells; // that its scheduler owned when last told
    };

    LinkDuty(Options options, const HeldRequests &held, Deliver deliver);

    void onOpened(LinkId link);
    void onClosed(LinkId link);
    void onReceived(peer::Message message);
    void take(const peer::ConfigInForce &config);
    void take(const peer::AllCells &cells);
    void linkTo(const std::map<std::string, std::set<CellId>> &owners);
    void tellHolding(const Link &link);
    Link *findLink(LinkId link);
    void publish();

    Options options;
    const HeldRequests &held;
    Deliver deliver;
    std::unique_ptr<PeerNode> node;
    std::map<std::string, Link> links; // by address; as many as there are schedulers
    std::vector<peer::CellNews> news;
    std::shared_ptr<const Declaration> declaration;
    ConfigVersion version;
    Instant heard;
    mutable std::mutex viewMutex;
    std::shared_ptr<const EntryView> published;
};

} // namespace fescuesill
